#pragma once

#include "Hemlockglade/Coordination/Membership/MemberTypes.h"

#include <map>
#include <random>

namespace hemlockglade {

/// What one node knows of all others and of the cells, and the rules by which
/// news override it. Not safe to share by itself.
class MemberTable {
public:
  /// Parts that members, and likewise cells, are hashed in for comparison.
  static constexpr std::size_t PartCount = 32;

  /// What came of a piece of news.
  enum class News : std::uint8_t {
    Nothing,
    /// It changed what is known and is worth telling on.
    Changed,
    /// It contradicts what is known here at the same incarnation: ask the
    /// member itself.
    Doubtful,
  };

  struct Member {
    MemberRecord Record;
    /// When it became suspect or dead.
    Instant Since{};
    /// Revision that it was last heard to have in force.
    Revision InForce = 0;
  };

  MemberTable(const MembershipSettings &settings, std::uint64_t seed)
      : Settings(settings), Random(seed) {}

  News merge(const MemberRecord &record, Instant now);
  News merge(const CellOwner &cell);
  /// Marks an alive member suspect; false if it isn't alive.
  bool suspect(const std::string &name, Instant now);
  /// Suspects whose time is up become dead, and the dead of long ago are
  /// forgotten. Gives the new dead.
  std::vector<MemberRecord> expire(Instant now);
  /// Moves all suspicions on, after a pause of this node itself.
  void postpone(Span span);
  /// The member has that revision in force.
  void setInForce(const std::string &name, Revision revision);
  /// Forgets cells that `keep` refuses.
  void keepCells(const std::function<bool(const std::string &)> &keep);

  const Member *find(const std::string &name) const;
  const CellOwner *cell(const std::string &name) const;
  const std::map<std::string, Member> &members() const { return Members; }
  const std::map<std::string, CellOwner> &cells() const { return Cells; }
  /// Members that are alive or suspect.
  std::size_t liveCount() const { return LiveCount; }
  /// Binary logarithm of the number of live members and this node, at least 1.
  std::uint32_t logCount() const;

  /// Up to `n` different members that `fits` accepts, at random.
  std::vector<const Member *>
  choose(std::size_t n, const std::function<bool(const Member &)> &fits);

  /// Hash of each part: of members that aren't dead, `self` among them, then
  /// of cells.
  std::vector<std::uint64_t> hashes(const MemberRecord &self) const;
  /// Adds records of parts whose hash differs, up to `bytes`; parts come in
  /// an order of their own each time. True if not all fitted.
  bool addDifferent(const MemberRecord &self,
                    const std::vector<std::uint64_t> &hashes, std::size_t bytes,
                    MemberMessage &message);

private:
  void put(Member &member, const MemberRecord &record, MemberState state,
           Instant now);
  Span suspectTime() const;
  bool addPart(std::size_t part, std::size_t &left, MemberMessage &message);

  MembershipSettings Settings;
  std::mt19937_64 Random;
  std::map<std::string, Member> Members;
  std::map<std::string, CellOwner> Cells;
  std::size_t LiveCount = 0;
};

} // namespace hemlockglade
