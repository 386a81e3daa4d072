#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace hemlockglade::bench {

/// One measurement at one size.
struct Point {
  double Size = 0;
  double Value = 0;
};

/// A quantity measured at several sizes.
struct Slope {
  /// What was measured, and its unit.
  std::string What;
  std::string Unit;
  /// What the sizes count.
  std::string By;
  /// The size that the page asks about; 0 if only the slope counts.
  double Planned = 0;
  std::vector<Point> Points;
};

/// Value = Base + PerSize * size, by least squares.
struct Fit {
  double Base = 0;
  double PerSize = 0;
  /// Root mean square of the residuals, as a part of the mean value.
  double Residual = 0;
};

Fit fit(const std::vector<Point> &points);

/// Reads `what|unit|by|planned|size:value,size:value`, as a script gives it.
Slope readSlope(const std::string &text);

/// Prints the head of the table, and one slope as a row of it.
void printHead(std::ostream &out);
void print(std::ostream &out, const Slope &slope);

/// Measures at each size and prints the row.
void measureSlope(std::ostream &out, Slope slope,
                  const std::vector<std::size_t> &sizes,
                  const std::function<double(std::size_t)> &value);

/// Microseconds that a call takes, the least of a few tries: others use the
/// machine too.
double microsOf(const std::function<void()> &call, int tries = 3);

} // namespace hemlockglade::bench
