#include "Hemlockglade/Coordination/Directory/Directory.h"

#include "Hemlockglade/State/Catalog.h"

#include <algorithm>

namespace hemlockglade {

namespace {

/// Preference of an address for the caller; the lowest tier comes first.
enum class Tier : std::uint8_t {
  Owner,
  SameDomain,
  SameRegion,
  OtherRegion,
  Suspect,
};

struct Candidate {
  const MemberRecord *Record = nullptr;
  Tier Rank = Tier::OtherRegion;
  /// Differs between callers, so that they spread over candidates of one tier.
  std::uint64_t Weight = 0;
};

bool acceptsCallers(const MemberRecord &record) {
  bool isAlive = record.State == MemberState::Alive ||
                 record.State == MemberState::Suspect;
  return isAlive && !record.Leaving;
}

struct Location {
  std::string_view FailureDomain;
  std::string_view Region;
};

Location locationOf(const DirectoryQuery &query,
                    std::span<const MemberRecord> members) {
  if (!query.FailureDomain.empty() || !query.Region.empty())
    return {query.FailureDomain, query.Region};
  for (const auto &it : members) {
    if (it.Name == query.Owner)
      return {it.FailureDomain, it.Region};
  }
  return {};
}

Tier tierOf(const MemberRecord &record, const DirectoryQuery &query,
            const Location &location) {
  if (record.State == MemberState::Suspect)
    return Tier::Suspect;
  if (record.Name == query.Owner)
    return Tier::Owner;
  if (record.FailureDomain == location.FailureDomain)
    return Tier::SameDomain;
  return record.Region == location.Region ? Tier::SameRegion
                                          : Tier::OtherRegion;
}

/// If the first `n` candidates share one failure domain, replaces the last of
/// them by the best candidate of another domain that isn't suspected.
void mixDomains(std::vector<Candidate> &all, std::size_t n) {
  if (n < 2 || all.size() <= n)
    return;
  auto differs = [&](const Candidate &it) {
    return it.Record->FailureDomain != all.front().Record->FailureDomain &&
           it.Rank != Tier::Suspect;
  };
  auto end = all.begin() + static_cast<std::ptrdiff_t>(n);
  if (std::any_of(all.begin(), end, differs))
    return;
  auto other = std::find_if(end, all.end(), differs);
  if (other != all.end())
    std::iter_swap(end - 1, other);
}

} // namespace

DirectoryAnswer chooseAddresses(const DirectorySettings &settings,
                                const DirectoryQuery &query,
                                std::span<const MemberRecord> members) {
  auto location = locationOf(query, members);
  std::vector<Candidate> all;
  all.reserve(members.size());
  for (const auto &it : members) {
    if (acceptsCallers(it))
      all.push_back({&it, tierOf(it, query, location),
                     rendezvousWeight(it.Name, query.Caller)});
  }
  std::sort(all.begin(), all.end(), [](const auto &a, const auto &b) {
    return a.Rank != b.Rank ? a.Rank < b.Rank : a.Weight > b.Weight;
  });
  mixDomains(all, settings.MaxAddresses);
  if (all.size() > settings.MaxAddresses)
    all.resize(settings.MaxAddresses);
  DirectoryAnswer answer;
  answer.TimeToLive = settings.TimeToLive;
  for (const auto &it : all)
    answer.Addresses.push_back(it.Record->CallerAddress);
  return answer;
}

} // namespace hemlockglade
