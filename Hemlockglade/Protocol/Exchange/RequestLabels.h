#pragma once

#include "Hemlockglade/State/Routing/ReplicaRecord.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hemlockglade {

/// A part of a prompt that other requests may share.
struct PromptPart {
  std::uint64_t Id = 0;
  std::uint32_t Tokens = 0;
};

/// What a caller's request says about itself beside method, target and body.
struct RequestLabels {
  /// Names the request; empty if the caller sent none.
  std::string Id;
  /// Secret by which the caller shows who it is; empty if it shows none. Never
  /// logged.
  std::string Caller;
  /// How long the caller will wait, if it said so.
  std::optional<Span> TimeLeft;
  /// Weights that it wants, if any.
  std::optional<WeightsRef> Weights;
  /// Whether it tells its tokens; both counts are 0 if it does not.
  bool TellsTokens = false;
  std::uint32_t PromptTokens = 0;
  std::uint32_t MaxOutputTokens = 0;
  /// In order; the last part is the request's own.
  std::vector<PromptPart> Prompt;
  /// A stream is to go on behind this event, if the caller resumes one.
  std::string ResumeBehind;
};

/// What the product adds when it sends a request to a replica.
struct ForwardLabels {
  Span TimeLeft{0};
  /// The replica must be this incarnation.
  std::string Incarnation;
  /// 0 is first, 9 last.
  std::optional<std::uint32_t> Priority;
  /// The weights must be of this version.
  std::optional<std::uint64_t> Version;
  /// A stream is to go on behind this event.
  std::string ResumeBehind;
  /// Name of the caller's workspace; empty on routes that are open to all.
  std::string Workspace;
};

/// What an answer of a replica says about itself.
struct AnswerLabels {
  /// Id of the request that it answers; empty if it names none.
  std::string Id;
  /// Incarnation that answers, where the answer names it.
  std::string Incarnation;
  /// It bears the replica's signature.
  bool Sealed = false;
  /// The replica says that it did not run the request.
  bool NotRun = false;
  /// Its body was re-encoded, so it isn't the replica's own.
  bool Encoded = false;
  /// Its body is a stream of events.
  bool Events = false;
};

/// Fields of a request or an answer, as the transport has them.
using LabelFields = std::vector<std::pair<std::string_view, std::string_view>>;
using OwnedFields = std::vector<std::pair<std::string, std::string>>;

/// How requests and answers name these things on the wire.
struct LabelHooks {
  std::function<RequestLabels(const LabelFields &fields)> ReadRequest;
  /// The fields that go to a replica: what the caller sent less what only the
  /// product may set, and what the product sets.
  std::function<OwnedFields(const LabelFields &fields,
                            const ForwardLabels &labels)>
      Forward;
  std::function<AnswerLabels(std::uint16_t status, const LabelFields &fields)>
      ReadAnswer;
  /// Fields of an answer of our own to a request of that id.
  std::function<OwnedFields(std::string_view requestId)> OwnAnswer;
};

} // namespace hemlockglade
