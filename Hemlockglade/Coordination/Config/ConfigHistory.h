#pragma once

#include "Hemlockglade/Coordination/Config/ConfigTypes.h"

#include <deque>
#include <unordered_map>

namespace hemlockglade {

/// The last deltas that were put in force here, for peers that ask, and the
/// commands that they came from. Bounded. Not safe to share by itself.
class ConfigHistory {
public:
  explicit ConfigHistory(const ConfigSettings &settings) : Settings(settings) {}

  /// Adds the delta that follows the last one.
  void add(const ConfigDelta &delta, std::string text);
  /// Forgets all deltas: the next one starts anew after a gap.
  void restart();

  /// Deltas after `from`, without a gap, up to the answer's size; nothing if
  /// they are no longer all there.
  std::optional<std::vector<std::string>> after(Revision from) const;
  /// Revision that a command made; 0 if it isn't known.
  Revision revisionOf(const std::string &commandId) const;
  /// Bytes of the deltas that are kept.
  std::size_t bytes() const { return Bytes; }

private:
  struct Kept {
    Revision Number = 0;
    std::string Text;
  };

  ConfigSettings Settings;
  std::deque<Kept> Deltas;
  std::size_t Bytes = 0;
  std::deque<std::string> CommandOrder;
  std::unordered_map<std::string, Revision> Commands;
};

} // namespace hemlockglade
