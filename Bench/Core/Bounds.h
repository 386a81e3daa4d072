#pragma once

#include <filesystem>
#include <functional>
#include <iosfwd>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>
#include <vector>

namespace hemlockglade::bench {

/// Limit of a figure.
struct Bound {
  std::string Figure;
  bool IsMaximum = true;
  double Value = 0;
  /// If not empty, the limit is `Value` times this policy's figure in the same
  /// scenario with the same seeds.
  std::string Versus;
};

/// Runs of a policy in a scenario, and the bounds of the means of their
/// figures.
struct BoundRow {
  std::string Scenario;
  std::string Policy;
  std::vector<std::uint64_t> Seeds;
  std::vector<Bound> Bounds;
};

/// Runs a scenario with a policy and a seed, and returns the figures.
using RunFunction = std::function<nlohmann::json(
    const std::string &, const std::string &, std::uint64_t)>;

/// Reads a file of bounds; throws `std::runtime_error` with the file and the
/// cause if it is invalid.
std::vector<BoundRow> readBounds(const std::filesystem::path &path);

/// Runs the rows and compares their figures with the bounds. Figures of
/// correctness must be 0 in every row that doesn't bound them itself. Each run
/// is done once.
class BoundsCheck {
public:
  BoundsCheck(RunFunction run, std::ostream &out);

  /// Checks all rows and prints a line for each. Returns whether all hold.
  bool check(const std::vector<BoundRow> &rows);

private:
  bool checkRow(const BoundRow &row);
  bool holds(const Bound &bound, const BoundRow &row);
  double mean(const std::string &figure, const BoundRow &row,
              const std::string &policy);
  const nlohmann::json &figures(const std::string &scenario,
                                const std::string &policy, std::uint64_t seed);

  RunFunction Run;
  std::ostream &Out;
  std::map<std::tuple<std::string, std::string, std::uint64_t>, nlohmann::json>
      Results;
};

} // namespace hemlockglade::bench
