#pragma once

#include "UnitTests/History/HistoryEvent.h"

#include <vector>

namespace hemlockglade::soak {

/// A history in which gateways send requests to the replica `i-1`.
struct SentHistory {
  HistoryEvent &add(std::string who, std::string event, Instant at) {
    HistoryEvent out;
    out.Who = std::move(who);
    out.Event = std::move(event);
    out.At = at;
    return Events.emplace_back(std::move(out));
  }

  void send(const std::string &gateway, Instant at) {
    auto tag = "t" + std::to_string(++Sent);
    auto &sent = add("caller", "sent", at);
    sent.Tag = tag;
    sent.To = gateway;
    add("i-1", "arrived", at).Tag = tag;
  }

  std::vector<HistoryEvent> Events;
  int Sent = 0;
};

} // namespace hemlockglade::soak
