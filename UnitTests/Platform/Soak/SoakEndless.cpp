#include "UnitTests/Platform/Soak/SoakEndless.h"

#include "UnitTests/Platform/Soak/SoakDisturbances.h"

namespace hemlockglade::soak {

EndlessFindings checkEndless(const std::vector<HistoryEvent> &events) {
  DisturbanceLog disturbances(events);
  EndlessFindings out;
  std::map<std::pair<std::string, std::uint64_t>, HistoryEvent> begun;
  auto check = [&](const HistoryEvent &began, Instant until, bool isClosed) {
    auto open = until - began.At;
    // An answer that was not closed, but not open for long either, shows
    // nothing.
    bool isKnown = isClosed || open > EndlessBound;
    if (!isKnown ||
        !disturbances.wasNodeRunning(began.To, began.At,
                                     began.At + std::min(open, EndlessBound)))
      return;
    ++out.Checked;
    out.MaxOpen = std::max(out.MaxOpen, open);
    if (open > EndlessBound)
      out.Open.push_back(began.Who + " answered " + began.To + " at " +
                         std::to_string(began.At.count() / 1000) + " for " +
                         std::to_string(open.count() / 1000) + " ms" +
                         (isClosed ? "" : " and more") + ": " + began.Change);
  };
  for (const auto &it : events) {
    if (it.Event == "got_endless")
      out.Delivered.push_back(it.To + " answered " + it.Tag + " by some at " +
                              std::to_string(it.At.count() / 1000));
    if (it.Event == "endless_began")
      begun[{it.Who, it.Run}] = it;
    if (it.Event != "endless_ended")
      continue;
    auto began = begun.find({it.Who, it.Run});
    if (began == begun.end())
      continue;
    check(began->second, it.At, it.Whole);
    if (it.Whole)
      out.MaxBytes = std::max(out.MaxBytes, it.Running);
    begun.erase(began);
  }
  for (const auto &[key, began] : begun)
    check(began, events.back().At, false);
  return out;
}

} // namespace hemlockglade::soak
