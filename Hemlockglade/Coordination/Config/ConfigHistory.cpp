#include "Hemlockglade/Coordination/Config/ConfigHistory.h"

#include <cassert>

namespace hemlockglade {

namespace {
constexpr std::size_t MaxCommands = 4096;
} // namespace

void ConfigHistory::add(const ConfigDelta &delta, std::string text) {
  assert(Deltas.empty() || Deltas.back().Number + 1 == delta.Number);
  Bytes += text.size();
  Deltas.push_back({delta.Number, std::move(text)});
  while (Bytes > Settings.MaxHistoryBytes) {
    Bytes -= Deltas.front().Text.size();
    Deltas.pop_front();
  }
  if (!Commands.emplace(delta.CommandId, delta.Number).second)
    return;
  CommandOrder.push_back(delta.CommandId);
  if (CommandOrder.size() <= MaxCommands)
    return;
  Commands.erase(CommandOrder.front());
  CommandOrder.pop_front();
}

void ConfigHistory::clearDeltas() {
  Deltas.clear();
  Bytes = 0;
}

std::optional<std::vector<std::string>>
ConfigHistory::deltasAfter(Revision from) const {
  std::vector<std::string> out;
  if (Deltas.empty() || Deltas.front().Number > from + 1)
    return std::nullopt;
  std::size_t size = 0;
  for (auto it = from + 1 - Deltas.front().Number; it < Deltas.size(); ++it) {
    const auto &text = Deltas[it].Text;
    if (!out.empty() && size + text.size() > Settings.MaxAnswerBytes)
      break;
    size += text.size();
    out.push_back(text);
  }
  return out;
}

Revision ConfigHistory::revisionOf(const std::string &commandId) const {
  auto it = Commands.find(commandId);
  return it == Commands.end() ? 0 : it->second;
}

} // namespace hemlockglade
