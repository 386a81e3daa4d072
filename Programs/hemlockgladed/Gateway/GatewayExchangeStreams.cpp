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

void GatewayExchange::reportOrigin() {
  bool mayBegin = MatchedRoute.Kind == RouteKind::Stream && !AnswerBegun;
  if (!mayBegin || streamId().empty() || !Shared.Streams.OnSent)
    return;
  Shared.Streams.OnSent(streamId(),
                        {Query.Service, Current->Replica->SoftwareVersion},
                        Query.SoftwareVersion ? 0 : Sendings.count());
}

void GatewayExchange::refuseOtherSoftware() {
  constexpr std::string_view Why = "no replica of the stream's software";
  refuse({Why, retryAfter()});
}

} // namespace hemlockglade
