#include "Hemlockglade/Coordination/Membership/MemberTable.h"

#include <algorithm>
#include <bit>
#include <numeric>
#include <xxhash.h>

namespace hemlockglade {

namespace {

bool isLive(MemberState state) {
  return state == MemberState::Alive || state == MemberState::Suspect;
}

std::uint64_t hashOf(const std::string &text, std::uint64_t seed = 0) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t hashOf(const MemberRecord &it) {
  auto hash = hashOf(it.Name, it.Incarnation);
  auto flags = static_cast<std::uint64_t>(it.State) * 2 + it.Leaving;
  return hash ^ (flags * 0x9e3779b97f4a7c15ULL);
}

std::uint64_t hashOf(const CellOwner &it) {
  return hashOf(it.Owner, hashOf(it.Cell, it.Fence));
}

std::size_t bucketOf(const std::string &name) {
  return hashOf(name) % MemberTable::BucketCount;
}

} // namespace

void MemberTable::setRecord(Member &member, const MemberRecord &record,
                            MemberState state, Instant now) {
  LiveCount -= isLive(member.Record.State);
  LiveCount += isLive(state);
  if (member.Record.State != state)
    member.StateSince = now;
  member.Record = record;
  member.Record.State = state;
}

MemberTable::MergeResult MemberTable::merge(const MemberRecord &record,
                                            Instant now) {
  auto it = Members.find(record.Name);
  if (it == Members.end()) {
    // Nodes erase dead members at different times; one that this node has
    // erased must not be added again.
    if (!isLive(record.State) || Members.size() >= Settings.MaxMembers)
      return MergeResult::Ignored;
    Members.emplace(record.Name, Member{record, now, 0});
    ++LiveCount;
    return MergeResult::Changed;
  }
  auto &known = it->second;
  auto old = known.Record.State;
  if (record.Incarnation < known.Record.Incarnation)
    return MergeResult::Ignored;
  bool newer = record.Incarnation > known.Record.Incarnation;
  // Another node's report alone never marks a member dead: it is probed first.
  if (record.State == MemberState::Dead)
    return isLive(old) ? MergeResult::MustProbe : MergeResult::Ignored;
  if (!newer && old == MemberState::Dead && record.State == MemberState::Alive)
    return MergeResult::MustProbe;
  if (!newer && record.State <= old)
    return MergeResult::Ignored;
  setRecord(known, record, record.State, now);
  return MergeResult::Changed;
}

MemberTable::MergeResult MemberTable::merge(const CellOwner &cell) {
  auto it = Cells.find(cell.Cell);
  if (it == Cells.end()) {
    if (Cells.size() >= Settings.MaxCells)
      return MergeResult::Ignored;
    Cells.emplace(cell.Cell, cell);
    return MergeResult::Changed;
  }
  auto &known = it->second;
  // Within one epoch the only change possible is the owner's release.
  bool released =
      cell.Fence == known.Fence && cell.Owner.empty() && !known.Owner.empty();
  if (cell.Fence <= known.Fence && !released)
    return MergeResult::Ignored;
  known = cell;
  return MergeResult::Changed;
}

bool MemberTable::suspect(const std::string &name, Instant now) {
  auto it = Members.find(name);
  if (it == Members.end() || it->second.Record.State != MemberState::Alive)
    return false;
  setRecord(it->second, it->second.Record, MemberState::Suspect, now);
  return true;
}

Span MemberTable::suspectTime() const {
  return std::max(Settings.MinSuspectTime, Settings.SuspectTime * logCount());
}

std::vector<MemberRecord> MemberTable::expire(Instant now) {
  std::vector<MemberRecord> dead;
  auto suspectUntil = suspectTime();
  for (auto it = Members.begin(); it != Members.end();) {
    auto &member = it->second;
    auto age = now - member.StateSince;
    auto state = member.Record.State;
    if (state == MemberState::Suspect && age >= suspectUntil) {
      setRecord(member, member.Record, MemberState::Dead, now);
      dead.push_back(member.Record);
    }
    bool forget = !isLive(state) && age >= Settings.DeadRetention;
    it = forget ? Members.erase(it) : std::next(it);
  }
  return dead;
}

void MemberTable::postpone(Span span) {
  for (auto &[name, member] : Members)
    member.StateSince += span;
}

void MemberTable::setInForce(const std::string &name, Revision revision) {
  auto it = Members.find(name);
  if (it != Members.end())
    it->second.InForce = revision;
}

void MemberTable::keepCells(
    const std::function<bool(const std::string &)> &keep) {
  std::erase_if(Cells, [&](const auto &it) { return !keep(it.first); });
}

const MemberTable::Member *MemberTable::find(const std::string &name) const {
  auto it = Members.find(name);
  return it == Members.end() ? nullptr : &it->second;
}

const CellOwner *MemberTable::cell(const std::string &name) const {
  auto it = Cells.find(name);
  return it == Cells.end() ? nullptr : &it->second;
}

std::uint32_t MemberTable::logCount() const {
  return std::max<std::uint32_t>(1, std::bit_width(LiveCount + 1));
}

std::vector<const MemberTable::Member *>
MemberTable::choose(std::size_t n,
                    const std::function<bool(const Member &)> &fits) {
  std::vector<const Member *> all;
  for (const auto &[name, member] : Members) {
    if (fits(member))
      all.push_back(&member);
  }
  for (std::size_t it = 0; it < std::min(n, all.size()); ++it)
    std::swap(all[it], all[it + Random() % (all.size() - it)]);
  all.resize(std::min(n, all.size()));
  return all;
}

std::vector<std::uint64_t> MemberTable::hashes(const MemberRecord &self) const {
  std::vector<std::uint64_t> out(2 * BucketCount);
  out[bucketOf(self.Name)] ^= hashOf(self);
  for (const auto &[name, it] : Members) {
    if (isLive(it.Record.State))
      out[bucketOf(name)] ^= hashOf(it.Record);
  }
  for (const auto &[name, it] : Cells)
    out[BucketCount + bucketOf(name)] ^= hashOf(it);
  return out;
}

bool MemberTable::addDifferent(const MemberRecord &self,
                               const std::vector<std::uint64_t> &hashes,
                               std::size_t bytes, MemberMessage &message) {
  auto own = this->hashes(self);
  std::vector<std::size_t> buckets(own.size());
  std::iota(buckets.begin(), buckets.end(), 0);
  std::shuffle(buckets.begin(), buckets.end(), Random);
  for (auto bucket : buckets) {
    bool same = bucket < hashes.size() && hashes[bucket] == own[bucket];
    if (!same && !addBucket(bucket, bytes, message))
      return true;
  }
  return false;
}

bool MemberTable::addBucket(std::size_t bucket, std::size_t &left,
                            MemberMessage &message) {
  // In random order, so that over several exchanges all records are sent of a
  // bucket that is too large for one message.
  auto add = [&](auto &records, auto &list) {
    std::shuffle(records.begin(), records.end(), Random);
    for (const auto *it : records) {
      auto size = wireSize(*it);
      if (size > left)
        return false;
      left -= size;
      list.push_back(*it);
    }
    return true;
  };
  std::vector<const MemberRecord *> members;
  for (const auto &[name, it] : Members) {
    if (bucketOf(name) == bucket)
      members.push_back(&it.Record);
  }
  std::vector<const CellOwner *> cells;
  for (const auto &[name, it] : Cells) {
    if (BucketCount + bucketOf(name) == bucket)
      cells.push_back(&it);
  }
  return add(members, message.Members) && add(cells, message.Cells);
}

} // namespace hemlockglade
