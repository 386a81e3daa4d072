// GatewayExchange: what a stream is bound to, in an answer and over a caller's
// requests.

#include "Hemlockglade/Transport/Time/TimerService.h"
#include "Programs/hemlockgladed/Gateway/GatewayExchange.h"
#include "Programs/hemlockgladed/Gateway/GatewayStatus.h"

#include <algorithm>

namespace hemlockglade {

using namespace gateway;

bool GatewayExchange::takesUpStream() const {
  bool namesStream = Labels.MalformedResumes || !Labels.Resumes.empty() ||
                     !Labels.ResumeBehind.empty();
  return MatchedRoute.Kind == RouteKind::Stream && namesStream;
}

void GatewayExchange::findOrigin() {
  if (Labels.MalformedResumes)
    return answerWithError(BadRequest, "the stream to take up is not named by "
                                       "one request id");
  if (!Shared.Streams.Find)
    return onOriginFound(std::nullopt);
  bool isOnlyService = MatchedRoute.Targets.size() == 1;
  Shared.Streams.Find(
      Labels.Resumes, isOnlyService ? Query.Service : std::string(),
      [weak = weak_from_this()](const std::optional<StreamOrigin> &origin) {
        if (auto self = weak.lock())
          self->onOriginFound(origin);
      });
}

void GatewayExchange::onOriginFound(const std::optional<StreamOrigin> &origin) {
  if (Done)
    return;
  // A node that was told of the stream may be reached by the next try.
  constexpr auto RetryAfterUnknown = std::chrono::milliseconds(200);
  if (!origin)
    return refuse(
        {"what began the stream is not known", Span(RetryAfterUnknown)});
  const auto &targets = MatchedRoute.Targets;
  bool isTarget =
      std::any_of(targets.begin(), targets.end(), [&origin](const auto &it) {
        return it.Service == origin->Service;
      });
  if (!isTarget)
    return refuse({"the route has left the stream's service", retryAfter()});
  setService(origin->Service);
  Query.SoftwareVersion = origin->SoftwareVersion;
  begin();
}

bool GatewayExchange::mayBeginStream() const {
  return MatchedRoute.Kind == RouteKind::Stream && !AnswerBegun;
}

void GatewayExchange::reportOrigin() {
  if (!mayBeginStream() || streamId().empty() || !Shared.Streams.Tell)
    return;
  StreamOrigin origin{Query.Service, Current->Replica->SoftwareVersion};
  if (takesUpStream())
    return Shared.Streams.Confirm(streamId(), origin);
  Shared.Streams.Tell(streamId(), origin, Told);
}

bool GatewayExchange::changesSoftware(const RouteChoice &choice) const {
  return mayBeginStream() && Told.Origin &&
         Told.Origin->SoftwareVersion != choice.Replica->SoftwareVersion;
}

void GatewayExchange::withdrawOrigin() {
  WithdrawalPending = true;
  if (!Current) {
    Waiting = true;
    WaitsForCapacity = false;
    WaitReason = "software changes";
    WakeAt = Instant::max();
    armTimer();
    leaveHeld();
  }
  Shared.Streams.Withdraw(
      streamId(), Told,
      [self = shared_from_this(), software = Told.Origin->SoftwareVersion,
       askedAt = TimerService::now()](bool confirmed) {
        self->onOriginWithdrawn(software, askedAt, confirmed);
      });
}

void GatewayExchange::onOriginWithdrawn(const std::string &software,
                                        Instant askedAt, bool confirmed) {
  WithdrawalPending = false;
  Shared.Log.write(
      LogClass::Request, "origin-withdrawn",
      {{"request", Labels.Id},
       {"software", software},
       {"holders", static_cast<std::uint64_t>(Told.Holders.size())},
       {"confirmed", confirmed},
       {"took_ms", TimerService::now() - askedAt}});
  if (Done || AnswerBegun)
    return;
  // A holder that has not confirmed would let the stream go on at what it was
  // told, so the request is bound to that as if it had begun there.
  if (!confirmed)
    Query.SoftwareVersion = software;
  if (!Current)
    return sendOrHold();
  if (!confirmed)
    reportOrigin();
  if (Current->IsSlow)
    onSlow();
}

void GatewayExchange::refuseOtherSoftware() {
  constexpr std::string_view Why = "no replica of the stream's software";
  refuse({Why, retryAfter()});
}

} // namespace hemlockglade
