#pragma once

#include "Hemlockglade/Coordination/Membership/MemberTypes.h"

#include <map>
#include <random>

namespace hemlockglade {

/// One node's records of all other members and of the cells' owners, and the
/// rules for merging received records into them. Not thread-safe.
class MemberTable {
public:
  /// Number of buckets that members, and likewise cells, are hashed into for
  /// comparison with another node.
  static constexpr std::size_t BucketCount = 32;

  /// Result of merging a received record.
  enum class MergeResult : std::uint8_t {
    Ignored,
    /// The record was taken over and must be passed on.
    Changed,
    /// The record says that a live member is dead, or that a dead one is alive
    /// at the same incarnation. The member itself must be probed.
    MustProbe,
  };

  struct Member {
    MemberRecord Record;
    /// When the record got its present state.
    Instant StateSince{};
    /// Revision that it last reported to have in force.
    Revision InForce = 0;
  };

  MemberTable(const MembershipSettings &settings, std::uint64_t seed)
      : Settings(settings), Random(seed) {}

  MergeResult merge(const MemberRecord &record, Instant now);
  MergeResult merge(const CellOwner &cell);
  /// Marks an alive member suspect; false if it isn't alive.
  bool suspect(const std::string &name, Instant now);
  /// Marks suspects dead whose timeout has passed, and erases members that have
  /// been dead or stopped for `DeadRetention`. Returns the newly dead members.
  std::vector<MemberRecord> expire(Instant now);
  /// Adds `span` to the timeouts of all members, after this node itself was
  /// paused.
  void postpone(Span span);
  /// Records the revision that the member has in force.
  void setInForce(const std::string &name, Revision revision);
  /// Erases the cells for which `keep` returns false.
  void keepCells(const std::function<bool(const std::string &)> &keep);

  const Member *find(const std::string &name) const;
  const CellOwner *cell(const std::string &name) const;
  const std::map<std::string, Member> &members() const { return Members; }
  const std::map<std::string, CellOwner> &cells() const { return Cells; }
  /// Members that are alive or suspect.
  std::size_t liveCount() const { return LiveCount; }
  /// Binary logarithm of the number of live members and this node, at least 1.
  std::uint32_t logCount() const;

  /// Returns up to `n` different random members for which `fits` is true.
  std::vector<const Member *>
  choose(std::size_t n, const std::function<bool(const Member &)> &fits);

  /// Returns the hash of each bucket: first of the live members, `self` among
  /// them, then of the cells.
  std::vector<std::uint64_t> hashes(const MemberRecord &self) const;
  /// Adds to `message` the records of buckets whose hash differs from `hashes`,
  /// up to `bytes`. The order of buckets is random each time. Returns true if
  /// not all fitted.
  bool addDifferent(const MemberRecord &self,
                    const std::vector<std::uint64_t> &hashes, std::size_t bytes,
                    MemberMessage &message);

private:
  void setRecord(Member &member, const MemberRecord &record, MemberState state,
                 Instant now);
  Span suspectTime() const;
  bool addBucket(std::size_t bucket, std::size_t &left, MemberMessage &message);

  MembershipSettings Settings;
  std::mt19937_64 Random;
  std::map<std::string, Member> Members;
  std::map<std::string, CellOwner> Cells;
  std::size_t LiveCount = 0;
};

} // namespace hemlockglade
