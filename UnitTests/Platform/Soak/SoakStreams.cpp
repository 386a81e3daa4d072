#include "UnitTests/Platform/Soak/SoakStreams.h"

#include "UnitTests/Platform/Soak/SoakDisturbances.h"

#include <map>

namespace hemlockglade::soak {

bool StreamFindings::goOn() const {
  constexpr int MinTakenUp = 12;
  constexpr double MinRatio = 0.5;
  return TakenUp < MinTakenUp || Sent == 0 ||
         double(GoneOn) / TakenUp >= MinRatio * Begun / Sent;
}

StreamFindings checkStreams(const std::vector<HistoryEvent> &events,
                            Span contact) {
  DisturbanceLog disturbances(events);
  std::map<std::string, Instant> sentAt;
  StreamFindings out;
  for (const auto &it : events) {
    if (it.Event == "sent")
      sentAt[it.Sending] = it.At;
    if (it.Event == "streamed") {
      ++out.Streams;
      if (it.Change.find(' ') != std::string::npos)
        out.Mixed.push_back(it.Tag + ": " + it.Change);
    }
    if (it.Event != "answered" || it.StreamPart.empty() ||
        !disturbances.wasConnected(it.Tag, sentAt[it.Sending] - contact, it.At))
      continue;
    int events = it.BroughtEvents ? 1 : 0;
    bool begins = it.StreamPart == "begins";
    (begins ? out.Sent : out.TakenUp) += 1;
    (begins ? out.Begun : out.GoneOn) += events;
  }
  return out;
}

} // namespace hemlockglade::soak
