#pragma once

#include "Hemlockglade/Coordination/Config/ConfigTypes.h"

#include <deque>
#include <unordered_map>

namespace hemlockglade {

/// The last deltas that were put in force on this node, for peers that request
/// them, and the commands that made them. Bounded. Not thread-safe.
class ConfigHistory {
public:
  explicit ConfigHistory(const ConfigSettings &settings) : Settings(settings) {}

  /// Adds the delta that follows the last one.
  void add(const ConfigDelta &delta, std::string text);
  /// Removes all deltas, after which the next one may have any revision.
  void clearDeltas();

  /// Returns the deltas after `from` without a gap, up to `MaxAnswerBytes`;
  /// nothing if the first of them is no longer kept.
  std::optional<std::vector<std::string>> deltasAfter(Revision from) const;
  /// Returns the revision that a command made; 0 if it isn't known.
  Revision revisionOf(const std::string &commandId) const;
  /// Bytes of the deltas that are kept.
  std::size_t bytes() const { return Bytes; }

private:
  struct EncodedDelta {
    Revision Number = 0;
    std::string Text;
  };

  ConfigSettings Settings;
  std::deque<EncodedDelta> Deltas;
  std::size_t Bytes = 0;
  std::deque<std::string> CommandOrder;
  std::unordered_map<std::string, Revision> Commands;
};

} // namespace hemlockglade
