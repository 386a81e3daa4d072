#pragma once

#include "Hemlockglade/Protocol/Exchange/RequestLabels.h"
#include "Hemlockglade/Transport/Http1/HttpMessage.h"

namespace hemlockglade::gateway {

/// HTTP statuses that the gateway sends or interprets.
inline constexpr std::uint16_t Ok = 200;
inline constexpr std::uint16_t FirstRedirect = 300;
inline constexpr std::uint16_t BadRequest = 400;
inline constexpr std::uint16_t Unauthorized = 401;
inline constexpr std::uint16_t NotFound = 404;
inline constexpr std::uint16_t RequestTimeout = 408;
inline constexpr std::uint16_t OtherIncarnation = 421;
inline constexpr std::uint16_t TooMany = 429;
inline constexpr std::uint16_t ServerError = 500;
inline constexpr std::uint16_t BadGateway = 502;
inline constexpr std::uint16_t Unavailable = 503;
inline constexpr std::uint16_t GatewayTimeout = 504;

/// Whether the status means success (2xx).
inline bool isSuccess(std::uint16_t status) {
  return status >= Ok && status < FirstRedirect;
}

/// Whether a caller may conclude from the status that its request has not run.
inline bool impliesNotRun(std::uint16_t status) {
  return status == RequestTimeout || status == OtherIncarnation ||
         status == TooMany || status == Unavailable;
}

/// Returns views of the fields, for the label hooks. They are valid as long as
/// `fields`.
inline LabelFields viewsOf(const HeaderFields &fields) {
  LabelFields out;
  out.reserve(fields.size());
  for (const auto &it : fields)
    out.emplace_back(it.Name, it.Value);
  return out;
}

/// Returns the fields in the transport's form.
inline HeaderFields fieldsOf(const OwnedFields &fields) {
  HeaderFields out;
  for (const auto &[name, value] : fields)
    out.push_back({name, value});
  return out;
}

/// Returns a `Retry-After` field, in seconds with two decimals.
inline HeaderField retryAfterField(Span span) {
  constexpr std::size_t FractionLength = 3;
  auto text = std::to_string(inSeconds(span));
  return {"Retry-After", text.substr(0, text.find('.') + FractionLength)};
}

} // namespace hemlockglade::gateway
