#pragma once

#include "Hemlockglade/State/Routing/ReplicaRecord.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hemlockglade {

/// A part of a prompt that other requests may have in common.
struct PromptPart {
  std::uint64_t Id = 0;
  std::uint32_t Tokens = 0;
};

/// Metadata of a caller's request, apart from method, target and body.
struct RequestLabels {
  /// Id of the request; empty if the caller sent none.
  std::string Id;
  /// Secret that authenticates the caller; empty if the request has none. Must
  /// never be logged.
  std::string Caller;
  /// How long the caller will wait, if the request says so.
  std::optional<Span> TimeLeft;
  /// Weights that the request needs, if any.
  std::optional<WeightsRef> Weights;
  /// Whether the request states its token counts; if not, both are 0.
  bool TellsTokens = false;
  std::uint32_t PromptTokens = 0;
  std::uint32_t MaxOutputTokens = 0;
  /// Parts of the prompt, in order; the last part is not shared with other
  /// requests.
  std::vector<PromptPart> Prompt;
  /// Id of the event after which a stream must continue; empty if the caller
  /// does not resume one.
  std::string ResumeBehind;
  /// Id of the request that brought the first event of the stream that this one
  /// takes up; empty if the caller names none.
  std::string Resumes;
  /// The caller names a stream in a way that can't be read.
  bool MalformedResumes = false;
};

/// Metadata that a node adds to a request that it sends to a replica.
struct ForwardLabels {
  Span TimeLeft{0};
  /// Required incarnation of the replica.
  std::string Incarnation;
  /// From 0, which is served first, to 9, which is served last.
  std::optional<std::uint32_t> Priority;
  /// Required version of the weights.
  std::optional<std::uint64_t> Version;
  /// Id of the event after which a stream must continue; empty for a stream
  /// from its start.
  std::string ResumeBehind;
  /// Name of the caller's workspace; empty on routes that are open to all
  /// callers.
  std::string Workspace;
};

/// Metadata of a replica's answer, apart from its body.
struct AnswerLabels {
  /// Id of the answered request; empty if the answer has none.
  std::string Id;
  /// Incarnation of the replica; empty if the answer has none.
  std::string Incarnation;
  /// The answer has the replica's signature.
  bool Sealed = false;
  /// The replica states that it did not run the request.
  bool NotRun = false;
  /// The body was re-encoded, so that it is not the replica's own.
  bool Encoded = false;
  /// The body is a stream of events.
  bool Events = false;
  /// Requests a second that the replica accepts from all nodes together; none
  /// if it states no limit.
  std::optional<double> RequestLimit;
  /// Requests a second that the replica can reject for want of room without
  /// failing; none if it states no such limit.
  std::optional<double> RejectionLimit;
  /// The replica rejects the request, and wants none for this long.
  std::optional<Span> PauseFor;
  /// The replica asks for a pause whose length can't be read.
  bool MalformedPause = false;
  /// The replica is about to leave: it wants no new requests.
  bool Leaving = false;

  /// Returns what an answer that names no request says of its request: it may
  /// be another one's, so neither a success nor "not run" counts.
  AnswerLabels unattributed() const {
    auto out = *this;
    out.Sealed = false;
    out.NotRun = false;
    return out;
  }

  /// Returns what a late answer to an earlier request still says of its
  /// replica: limits may have changed since.
  AnswerLabels withoutLimits() const {
    auto out = *this;
    out.Sealed = false;
    out.RequestLimit.reset();
    out.RejectionLimit.reset();
    return out;
  }
};

/// Called with the status and labels of each answer of a replica, for what the
/// answer says of the replica itself. `sentAt` is when the request was sent.
using OnReplicaAnswer =
    std::function<void(const ReplicaRecord &replica, std::uint16_t status,
                       const AnswerLabels &labels, Instant sentAt)>;

/// Header fields of a request or an answer, as names and values.
using LabelFields = std::vector<std::pair<std::string_view, std::string_view>>;
using OwnedFields = std::vector<std::pair<std::string, std::string>>;

/// Reads and writes the metadata of requests and answers as header fields of
/// the platform.
struct LabelHooks {
  std::function<RequestLabels(const LabelFields &fields)> ReadRequest;
  /// Returns the fields to send to a replica: those of the caller, without the
  /// ones that only a node may set, and those set by the node.
  std::function<OwnedFields(const LabelFields &fields,
                            const ForwardLabels &labels)>
      Forward;
  std::function<AnswerLabels(std::uint16_t status, const LabelFields &fields)>
      ReadAnswer;
  /// Returns the fields of an answer that the node itself gives to the request
  /// with that id.
  std::function<OwnedFields(std::string_view requestId)> OwnAnswer;
};

} // namespace hemlockglade
