#pragma once

#include "Hemlockglade/Coordination/Config/ConfigFormat.h"

namespace hemlockglade {

/// One proposal on its way into the table. It lives until its outcome is
/// known or its tries are used up.
class ConfigCommit : public std::enable_shared_from_this<ConfigCommit> {
public:
  /// How a commit ended: the outcome, and for a new revision its delta as
  /// text and the head that came with it.
  struct Ending {
    tl::expected<ConfigAccepted, ConfigError> Result;
    std::string DeltaText;
    ConfigHead Head;
  };
  using Done = std::function<void(Ending)>;

  /// `inForce`: the revision in force here; the table must not be behind it.
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
  /// Finds out what came after our base: this command or another.
  void findFirst();
  void readDeltaRow();
  void onDeltaRow(std::string row);
  /// False if there is a row that can't be read.
  bool takeHead(const std::optional<TableRow> &row);
  void retry();
  void accept(Revision number, bool repeated);
  void conflict(const ConfigCommitRecord &first);
  void fail(ConfigErrorKind kind);
  const ConfigCommitRecord *ownRecord() const;

  ConfigSettings Settings;
  ConfigHooks Hooks;
  ConfigProposal Proposal;
  Revision InForce = 0;
  Revision Base = 0;
  Done Finish;

  // One step runs at a time, so what follows needs no lock.
  ConfigHead Head;
  std::uint64_t HeadVersion = 0;
  std::string DeltaText;
  std::string DeltaRow;
  std::uint32_t Tries = 0;
};

} // namespace hemlockglade
