#pragma once

#include "Hemlockglade/Coordination/Claim/ClaimRow.h"

#include <map>

namespace hemlockglade {

/// Claims the keys of requests that must not run twice, before the first byte
/// of a request is sent. A claim inserts a row if there is none. The attempt id
/// in the row identifies its claim if the answer to the write was lost. A key
/// whose request is recorded as not run may be claimed again. Safe to call from
/// several threads.
class ClaimStore : public std::enable_shared_from_this<ClaimStore> {
public:
  /// `name` must be unique among all claim stores of the deployment, also after
  /// a restart: the node's name and incarnation.
  ClaimStore(const ClaimSettings &settings, std::string name, TableHooks table,
             ClaimHooks hooks);

  using OnAnswer = std::function<void(ClaimAnswer)>;

  /// Claims a key. `done` is called once, on any thread.
  void claim(const ClaimRequest &request, OnAnswer done);
  /// Records how a claimed request ended. Without a record, later claims of the
  /// key get `Unknown`.
  void record(const ClaimTicket &ticket, Outcome outcome);
  /// Removes some expired rows of one slice of the rows. The slices are divided
  /// among `nodes` nodes, of which this one has index `index`, from 0. Each
  /// call does one scan and at most one transaction.
  void cleanUp(std::size_t index, std::size_t nodes);
  ClaimCounts counts() const;

private:
  /// A claim that has no answer yet.
  struct Attempt {
    std::string Row;
    ClaimRow Value;
    OnAnswer Done;
    /// Version that the row must have for the write to succeed.
    std::uint64_t Expected = 0;
    int TimesSent = 0;
    /// A write may have taken effect, or may still do so.
    bool MayBeWritten = false;
  };
  /// An outcome that is not recorded yet.
  struct Record {
    std::string Row;
    ClaimRow Value;
    std::uint64_t Expected = 0;
    int TimesSent = 0;
  };
  using AttemptPtr = std::shared_ptr<Attempt>;
  using RecordPtr = std::shared_ptr<Record>;

  void sendClaim(const AttemptPtr &attempt);
  void onClaimSent(const AttemptPtr &attempt,
                   tl::expected<std::uint64_t, TableError> result);
  void readBack(const AttemptPtr &attempt);
  void onReadBack(const AttemptPtr &attempt,
                  const std::optional<TableRow> &row);
  void finishClaim(const AttemptPtr &attempt, ClaimAnswer answer);
  void sendRecord(const RecordPtr &record);
  void onRecordSent(const RecordPtr &record,
                    tl::expected<std::uint64_t, TableError> result);
  void readRecord(const RecordPtr &record);
  void retryRecord(const RecordPtr &record);
  void finishRecord(bool dropped);
  void removeExpired(const std::vector<TableRow> &rows);
  std::string nextAttemptId();

  const ClaimSettings Settings;
  const std::string Name;
  const TableHooks Table;
  const ClaimHooks Hooks;
  const std::shared_ptr<GroupCommit> Claims;
  const std::shared_ptr<GroupCommit> Records;

  mutable std::mutex Mutex;
  std::uint64_t LastAttempt = 0;
  std::size_t PendingRecords = 0;
  std::size_t NextSlice = 0;
  /// Claims that wait for a claim of the same row from this node, by row.
  std::map<std::string, std::vector<AttemptPtr>> InFlight;
  ClaimCounts Counts;
};

} // namespace hemlockglade
