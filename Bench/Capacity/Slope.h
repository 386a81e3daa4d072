#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace hemlockglade::bench {

/// A measurement at one size.
struct Point {
  double Size = 0;
  double Value = 0;
};

/// A quantity measured at several sizes.
struct Slope {
  /// Name of the measured quantity; `Unit` is its unit.
  std::string What;
  std::string Unit;
  /// The things that the sizes count.
  std::string By;
  /// The size to extrapolate to; 0 if only the slope is of interest.
  double Planned = 0;
  std::vector<Point> Points;
};

/// Value = Base + PerSize * size, by least squares.
struct Fit {
  double Base = 0;
  double PerSize = 0;
  /// Root mean square of the residuals, as a fraction of the mean value.
  double Residual = 0;
};

Fit fit(const std::vector<Point> &points);

/// Parses `what|unit|by|planned|size:value,size:value`, the format that scripts
/// pass.
Slope readSlope(const std::string &text);

/// Print the header of the table, and one slope with its fit as a row of it.
void printHead(std::ostream &out);
void print(std::ostream &out, const Slope &slope);

/// Measures at each size and prints the row.
void measureSlope(std::ostream &out, Slope slope,
                  const std::vector<std::size_t> &sizes,
                  const std::function<double(std::size_t)> &value);

/// Returns the processor time of a call in microseconds, as the minimum of a
/// few runs, since other load of the machine makes single runs slower.
double microsOf(const std::function<void()> &call, int runs = 3);

} // namespace hemlockglade::bench
