#include "Slope.h"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <limits>
#include <sstream>

namespace hemlockglade::bench {

namespace {

/// Returns the processor time of this thread in microseconds, which doesn't
/// include waiting for other threads.
double threadMicros() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e6 +
         static_cast<double>(now.tv_nsec) / 1e3;
}

} // namespace

Fit fit(const std::vector<Point> &points) {
  auto n = static_cast<double>(points.size());
  double x = 0;
  double y = 0;
  for (const auto &it : points) {
    x += it.Size / n;
    y += it.Value / n;
  }
  double xx = 0;
  double xy = 0;
  for (const auto &it : points) {
    xx += (it.Size - x) * (it.Size - x);
    xy += (it.Size - x) * (it.Value - y);
  }
  Fit out;
  out.PerSize = xx > 0 ? xy / xx : 0;
  out.Base = y - out.PerSize * x;
  double squares = 0;
  for (const auto &it : points) {
    auto residual = it.Value - out.Base - out.PerSize * it.Size;
    squares += residual * residual / n;
  }
  out.Residual = y != 0 ? std::sqrt(squares) / std::abs(y) : 0;
  return out;
}

Slope readSlope(const std::string &text) {
  std::istringstream in(text);
  Slope out;
  std::getline(in, out.What, '|');
  std::getline(in, out.Unit, '|');
  std::getline(in, out.By, '|');
  char separator = 0;
  Point point;
  in >> out.Planned >> separator;
  while (in >> point.Size >> separator >> point.Value) {
    out.Points.push_back(point);
    in >> separator;
  }
  return out;
}

void printHead(std::ostream &out) {
  out << "| what | unit | by | size: value | base | per size | residual | at "
         "planned size |\n|---|---|---|---|---|---|---|---|"
      << std::endl;
}

void print(std::ostream &out, const Slope &slope) {
  constexpr double Percent = 100;
  auto line = fit(slope.Points);
  out << "| " << slope.What << " | " << slope.Unit << " | " << slope.By
      << " | ";
  for (const auto &it : slope.Points)
    out << (&it == slope.Points.data() ? "" : ", ") << it.Size << ": "
        << it.Value;
  out << " | " << line.Base << " | " << line.PerSize << " | "
      << std::round(line.Residual * Percent * 10) / 10 << "% | ";
  if (slope.Planned > 0)
    out << line.Base + line.PerSize * slope.Planned << " at " << slope.Planned;
  out << " |" << std::endl;
}

void measureSlope(std::ostream &out, Slope slope,
                  const std::vector<std::size_t> &sizes,
                  const std::function<double(std::size_t)> &value) {
  for (auto size : sizes)
    slope.Points.push_back({static_cast<double>(size), value(size)});
  print(out, slope);
}

double microsOf(const std::function<void()> &call, int runs) {
  double minMicros = std::numeric_limits<double>::max();
  for (int it = 0; it < runs; ++it) {
    auto before = threadMicros();
    call();
    minMicros = std::min(minMicros, threadMicros() - before);
  }
  return minMicros;
}

} // namespace hemlockglade::bench
