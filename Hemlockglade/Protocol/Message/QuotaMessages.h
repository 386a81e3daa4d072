#pragma once

#include "Hemlockglade/Coordination/Quota/QuotaClient.h"
#include "Hemlockglade/Protocol/Message/PeerMessages.h"

namespace hemlockglade {

/// `QuotaRequest` between nodes.
struct QuotaRequestNotice {
  std::string Workspace;
  std::vector<double> Requested;
  double Ahead = 0;
  double Unused = 0;
  double Charged = 0;
  MSGPACK_DEFINE(Workspace, Requested, Ahead, Unused, Charged)
};

/// Entry to owner, again and again on `/quota/NAME`.
struct QuotaRequestMessage {
  /// Rises with each message of the entry.
  std::uint64_t Number = 0;
  std::vector<QuotaRequestNotice> Requests;
  MSGPACK_DEFINE(Number, Requests)
};

/// `QuotaGrant` between nodes.
struct QuotaGrantNotice {
  std::string Workspace;
  bool Managed = false;
  std::uint32_t GrantedCount = 0;
  double Ahead = 0;
  std::int64_t EmptyForUs = 0;
  MSGPACK_DEFINE(Workspace, Managed, GrantedCount, Ahead, EmptyForUs)
};

/// Owner to entry: the answer to the ask of that number.
struct QuotaGrantMessage {
  std::uint64_t Number = 0;
  std::vector<QuotaGrantNotice> Grants;
  MSGPACK_DEFINE(Number, Grants)
};

QuotaRequestMessage messageOf(const QuotaClient::Message &message);
std::vector<QuotaRequest> requestsOf(const QuotaRequestMessage &message);
QuotaGrantMessage messageOf(std::uint64_t number,
                            std::span<const QuotaGrant> grants);
std::vector<QuotaGrant> grantsOf(const QuotaGrantMessage &message);

} // namespace hemlockglade
