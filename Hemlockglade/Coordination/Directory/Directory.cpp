#include "Hemlockglade/Coordination/Directory/Directory.h"

#include "Hemlockglade/State/Catalog.h"

#include <algorithm>

namespace hemlockglade {

namespace {

/// How good an address is for the caller; the lowest tier goes first.
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
  /// Differs between callers, so that they spread over equal candidates.
  std::uint64_t Weight = 0;
};

bool takesCallers(const MemberRecord &record) {
  bool lives = record.State == MemberState::Alive ||
               record.State == MemberState::Suspect;
  return lives && !record.Leaving;
}

struct Place {
  std::string_view FailureDomain;
  std::string_view Region;
};

Place placeOf(const DirectoryQuery &query,
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
            const Place &place) {
  if (record.State == MemberState::Suspect)
    return Tier::Suspect;
  if (record.Name == query.Owner)
    return Tier::Owner;
  if (record.FailureDomain == place.FailureDomain)
    return Tier::SameDomain;
  return record.Region == place.Region ? Tier::SameRegion : Tier::OtherRegion;
}

/// If all that is chosen shares one failure domain, lets the best of another
/// one take the last place.
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
  auto place = placeOf(query, members);
  std::vector<Candidate> all;
  all.reserve(members.size());
  for (const auto &it : members) {
    if (takesCallers(it))
      all.push_back({&it, tierOf(it, query, place),
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
