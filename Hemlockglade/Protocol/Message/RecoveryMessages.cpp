#include "Hemlockglade/Protocol/Message/RecoveryMessages.h"

namespace hemlockglade {

RecoverReply toReply(const RunningAnswer &answer) {
  RecoverReply reply;
  reply.Refused = answer.Refused;
  reply.Promised = answer.Promised;
  for (const auto &it : answer.Requests)
    reply.Requests.push_back({it.Id, it.Replica, it.Adapter, it.Admitted});
  return reply;
}

RunningAnswer toAnswer(const RecoverReply &reply, const std::string &cell) {
  RunningAnswer answer;
  answer.Refused = reply.Refused;
  answer.Promised = reply.Promised;
  for (const auto &it : reply.Requests)
    answer.Requests.push_back(
        {it.Id, cell, it.Replica, it.Adapter, it.Admitted});
  return answer;
}

} // namespace hemlockglade
