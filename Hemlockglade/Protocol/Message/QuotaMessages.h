#pragma once

#include "Hemlockglade/Coordination/Quota/QuotaClient.h"
#include "Hemlockglade/Protocol/Message/PeerMessages.h"

namespace hemlockglade {

/// A `QuotaRequest` as it is sent between nodes.
struct QuotaRequestNotice {
  std::string Workspace;
  std::vector<double> Requested;
  double Ahead = 0;
  double Unused = 0;
  double Charged = 0;
  double ReplicaLimit = 0;
  std::vector<std::int64_t> SentAgoUs;
  double Places = 0;
  double UsedPlaces = 0;
  std::uint64_t Acknowledged = 0;
  std::uint32_t Rejected = 0;
  bool Waits = false;
  MSGPACK_DEFINE(Workspace, Requested, Ahead, Unused, Charged, ReplicaLimit,
                 SentAgoUs, Places, UsedPlaces, Acknowledged, Rejected, Waits)
};

/// Entry to owner, sent repeatedly on `/quota/NAME`.
struct QuotaRequestMessage {
  /// Increases with each message of the entry.
  std::uint64_t Number = 0;
  std::vector<QuotaRequestNotice> Requests;
  /// Identifies the entry's process.
  std::uint64_t Entry = 0;
  MSGPACK_DEFINE(Number, Requests, Entry)
};

/// A `QuotaGrant` as it is sent between nodes.
struct QuotaGrantNotice {
  std::string Workspace;
  bool Managed = false;
  std::uint32_t GrantedCount = 0;
  double Ahead = 0;
  std::int64_t EmptyForUs = 0;
  MSGPACK_DEFINE(Workspace, Managed, GrantedCount, Ahead, EmptyForUs)
};

/// Owner to entry: the answer to the request of that number.
struct QuotaGrantMessage {
  std::uint64_t Number = 0;
  std::vector<QuotaGrantNotice> Grants;
  MSGPACK_DEFINE(Number, Grants)
};

QuotaRequestMessage messageOf(const QuotaClient::Message &message,
                              std::uint64_t entry);
std::vector<QuotaRequest> requestsOf(const QuotaRequestMessage &message);
QuotaGrantMessage messageOf(std::uint64_t number,
                            std::span<const QuotaGrant> grants);
std::vector<QuotaGrant> grantsOf(const QuotaGrantMessage &message);

} // namespace hemlockglade
