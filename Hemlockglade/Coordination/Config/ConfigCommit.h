#pragma once

#include "Hemlockglade/Coordination/Config/ConfigFormat.h"

namespace hemlockglade {

/// Commits one proposal to the table. It lives until the outcome is known or
/// its attempts are used up.
class ConfigCommit : public std::enable_shared_from_this<ConfigCommit> {
public:
  /// The outcome, the encoded delta if a new revision was made, and the head
  /// that was last read.
  struct Completion {
    tl::expected<ConfigAccepted, ConfigError> Result;
    std::string DeltaText;
    ConfigHead Head;
  };
  using Done = std::function<void(Completion)>;

  /// `inForce` is the revision in force on this node. The commit fails if the
  /// table's revision is lower.
  ConfigCommit(const ConfigSettings &settings, ConfigHooks hooks,
               ConfigProposal proposal, Revision inForce, Done done);

  void start();

private:
  void onFirstHead(tl::expected<std::optional<TableRow>, TableError> row);
  void prepare();
  void putDelta();
  void submit();
  void onSubmitted(tl::expected<std::uint64_t, TableError> result);
  void readBack();
  void onReadBack(tl::expected<std::optional<TableRow>, TableError> row);
  /// Finds out which command made the revision after the base: this or another.
  void findFirstCommit();
  void readDeltaRow();
  void onDeltaRow(std::string row);
  /// Decodes the head row, if there is one; false if it is malformed.
  bool decodeHeadRow(const std::optional<TableRow> &row);
  void retry();
  void accept(Revision number, bool alreadyAccepted);
  void conflict(const ConfigCommitRecord &first);
  void fail(ConfigErrorKind kind);
  const ConfigCommitRecord *findOwnRecord() const;

  ConfigSettings Settings;
  ConfigHooks Hooks;
  ConfigProposal Proposal;
  Revision InForce = 0;
  Revision Base = 0;
  Done OnDone;

  // One step runs at a time, so the members below need no lock.
  ConfigHead Head;
  std::uint64_t HeadVersion = 0;
  std::string DeltaText;
  std::string DeltaRow;
  std::uint32_t Attempts = 0;
};

} // namespace hemlockglade
