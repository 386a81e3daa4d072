#pragma once

#include "Hemlockglade/Coordination/Quota/QuotaAccount.h"
#include "Hemlockglade/Protocol/Message/PeerMessages.h"

namespace hemlockglade {

/// `QuotaAsk` between nodes.
struct QuotaAskNotice {
  std::string Workspace;
  std::vector<double> Needs;
  double Ahead = 0;
  double Unused = 0;
  double Spent = 0;
  MSGPACK_DEFINE(Workspace, Needs, Ahead, Unused, Spent)
};

/// Entry to owner, again and again on `/quota/NAME`.
struct QuotaAskMessage {
  /// Rises with each message of the entry.
  std::uint64_t Number = 0;
  std::vector<QuotaAskNotice> Asks;
  MSGPACK_DEFINE(Number, Asks)
};

/// `QuotaGrant` between nodes.
struct QuotaGrantNotice {
  std::string Workspace;
  bool Kept = false;
  std::uint32_t Passed = 0;
  double Ahead = 0;
  std::int64_t EmptyForUs = 0;
  MSGPACK_DEFINE(Workspace, Kept, Passed, Ahead, EmptyForUs)
};

/// Owner to entry: the answer to the ask of that number.
struct QuotaGrantMessage {
  std::uint64_t Number = 0;
  std::vector<QuotaGrantNotice> Grants;
  MSGPACK_DEFINE(Number, Grants)
};

QuotaAskMessage messageOf(const QuotaAccount::Message &message);
std::vector<QuotaAsk> asksOf(const QuotaAskMessage &message);
QuotaGrantMessage messageOf(std::uint64_t number,
                            std::span<const QuotaGrant> grants);
std::vector<QuotaGrant> grantsOf(const QuotaGrantMessage &message);

} // namespace hemlockglade
