#pragma once

#include "Hemlockglade/Coordination/Claim/ClaimRow.h"

#include <map>

namespace hemlockglade {

/// Claims the keys of requests that must not repeat, before their first byte
/// goes out. Each claim inserts a row if there is none; the row's attempt id
/// tells whose it is when an answer was lost. A key whose request is recorded
/// as not run may be claimed again. Safe to call from several threads.
class ClaimStore : public std::enable_shared_from_this<ClaimStore> {
public:
  /// `name` must differ from that of each other book of the deployment, also
  /// after a restart: the node's name and incarnation.
  ClaimStore(const ClaimSettings &settings, std::string name, TableHooks table,
             ClaimHooks hooks);

  using OnAnswer = std::function<void(ClaimAnswer)>;

  /// Claims a key; `done` once, on any thread.
  void claim(const ClaimRequest &request, OnAnswer done);
  /// Records how a claimed request ended. Without it others get `Unknown`.
  void record(const ClaimTicket &ticket, Outcome outcome);
  /// Removes some old rows of one slice of the rows. The slices are shared
  /// out among `nodes` nodes, of which this is number `index` from 0. One
  /// scan and at most one transaction a call.
  void cleanUp(std::size_t index, std::size_t nodes);
  ClaimCounts counts() const;

private:
  /// A claim on its way.
  struct Attempt {
    std::string Row;
    ClaimRow Value;
    OnAnswer Done;
    /// Version that the row must have.
    std::uint64_t Expected = 0;
    int Tries = 0;
    /// A write may take effect yet, or may have.
    bool MayBeWritten = false;
  };
  /// An outcome on its way.
  struct Record {
    std::string Row;
    ClaimRow Value;
    std::uint64_t Expected = 0;
    int Tries = 0;
  };
  using AttemptPtr = std::shared_ptr<Attempt>;
  using RecordPtr = std::shared_ptr<Record>;

  void send(const AttemptPtr &attempt);
  void onSent(const AttemptPtr &attempt,
              tl::expected<std::uint64_t, TableError> result);
  void readBack(const AttemptPtr &attempt);
  void onReadBack(const AttemptPtr &attempt,
                  const std::optional<TableRow> &row);
  void finish(const AttemptPtr &attempt, ClaimAnswer answer);
  void sendRecord(const RecordPtr &record);
  void onRecordSent(const RecordPtr &record,
                    tl::expected<std::uint64_t, TableError> result);
  void readRecord(const RecordPtr &record);
  void retryRecord(const RecordPtr &record);
  void endRecord(bool dropped);
  void removeOld(const std::vector<TableRow> &rows);
  std::string nextAttempt();

  const ClaimSettings Settings;
  const std::string Name;
  const TableHooks Table;
  const ClaimHooks Hooks;
  const std::shared_ptr<GroupCommit> Claims;
  const std::shared_ptr<GroupCommit> Records;

  mutable std::mutex Mutex;
  std::uint64_t Attempts = 0;
  std::size_t Recording = 0;
  std::size_t NextSlice = 0;
  /// Claims of a row that wait for one in flight from here.
  std::map<std::string, std::vector<AttemptPtr>> InFlight;
  ClaimCounts Counts;
};

} // namespace hemlockglade
