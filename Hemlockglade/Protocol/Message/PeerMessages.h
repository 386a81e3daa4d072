#pragma once

#include "Hemlockglade/Protocol/ProtocolError.h"
#include "Hemlockglade/State/Ids.h"

#include <msgpack.hpp>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace hemlockglade {

/// Paths of the streams between nodes; each names one kind of exchange.
namespace peer_path {
/// An entry requests admission from a cell's owner. The stream stays open for
/// as long as the request runs; its end releases the slot.
inline constexpr std::string_view Admit = "/admit";
} // namespace peer_path

/// Entry to owner, first message on `/admit`.
struct AdmitRequest {
  /// Request id, as given to the caller.
  std::string Id;
  std::uint32_t Attempt = 1;
  /// The cell, `service/number`.
  std::string Cell;
  /// `name@version`; empty for a plain service.
  std::string Adapter;
  /// Name of the service class.
  std::string Class;
  /// Time left until the first byte is due, in microseconds.
  std::int64_t DeadlineUs = 0;
  /// Hash of the start of the prompt; 0 for none.
  std::uint64_t PrefixHash = 0;
  /// Approximate length of the prompt in tokens.
  std::uint32_t PromptTokens = 0;
  /// Name of the caller, for limits.
  std::string Caller;
  /// Replica that already runs the request, to resume its stream; empty for a
  /// new request.
  std::string ResumeOn;
  MSGPACK_DEFINE(Id, Attempt, Cell, Adapter, Class, DeadlineUs, PrefixHash,
                 PromptTokens, Caller, ResumeOn)
};

/// Owner to entry: the answer to AdmitRequest.
struct AdmitReply {
  bool Granted = false;
  std::string Replica;
  /// `ip:port` of the replica.
  std::string Address;
  Epoch Fence = 0;
  /// Why the request was refused.
  std::string Reason;
  /// Time after which the caller may retry, in microseconds; for refusals.
  std::int64_t RetryAfterUs = 0;
  /// Time the request waited for its adapter to load, in microseconds.
  std::int64_t LoadStallUs = 0;
  MSGPACK_DEFINE(Granted, Replica, Address, Fence, Reason, RetryAfterUs,
                 LoadStallUs)
};

/// Entry to owner, last message on `/admit`: how the request ended.
struct FinishNotice {
  std::uint8_t Result = 0;
  MSGPACK_DEFINE(Result)
};

/// Packs a message for the wire.
template <typename T> std::string pack(const T &message) {
  msgpack::sbuffer buf;
  msgpack::pack(buf, message);
  return {buf.data(), buf.size()};
}

/// Reads a message from the wire.
template <typename T>
tl::expected<T, ProtocolError> unpack(std::string_view data) {
  try {
    // Limits lengths to the bytes that are there, so that a wrong length
    // allocates no memory.
    auto n = data.size();
    std::size_t end = 0;
    auto handle = msgpack::unpack(data.data(), n, end, nullptr, nullptr,
                                  msgpack::unpack_limit(n, n, n, n, n, n));
    if (end != n)
      return tl::unexpected(
          ProtocolError{ProtocolErrorKind::Malformed, "bytes are left over"});
    T message;
    handle.get().convert(message);
    return message;
  } catch (const std::exception &error) {
    return tl::unexpected(
        ProtocolError{ProtocolErrorKind::Malformed, error.what()});
  }
}

} // namespace hemlockglade
