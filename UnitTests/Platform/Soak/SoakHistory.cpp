#include "UnitTests/Platform/Soak/SoakHistory.h"

#include <sstream>

namespace hemlockglade::soak {

std::vector<HistoryEvent> SoakHistory::take() {
  for (auto &it : Events) {
    std::ostringstream line;
    line << it.At.count() << ' ' << it.Who << ' ' << it.Event;
    auto add = [&line](const char *name, const std::string &value) {
      if (!value.empty())
        line << ' ' << name << '=' << value;
    };
    add("tag", it.Tag);
    add("sending", it.Sending);
    add("adapter", it.Adapter);
    add("outcome", it.Outcome);
    add("fault", it.Fault);
    add("to", it.To);
    add("endpoint", it.Endpoint);
    add("holder", it.Holder);
    if (it.Status)
      line << " status=" << it.Status;
    if (it.Revision)
      line << " revision=" << it.Revision;
    if (it.Fence)
      line << " fence=" << it.Fence;
    it.Line = line.str();
  }
  return std::move(Events);
}

} // namespace hemlockglade::soak
