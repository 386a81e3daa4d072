#pragma once

#include "Hemlockglade/Coordination/Table.h"
#include "Hemlockglade/State/Ids.h"

#include <memory>
#include <mutex>
#include <set>

namespace hemlockglade {

/// When a group of writes is sent.
struct GroupSettings {
  /// Longest wait of the first write for others.
  Span Window = std::chrono::milliseconds(2);
  /// Most writes of a transaction.
  std::size_t Limit = 32;
};

/// What group commits need of their driver.
struct GroupHooks {
  /// Calls back after a span of time.
  std::function<void(Span delay, std::function<void()> call)> After;
};

/// Puts writes of a short time into one transaction. Each write learns the
/// transaction's end: on a conflict or without an answer its own row must be
/// read to know more. Safe to call from several threads.
class GroupCommit : public std::enable_shared_from_this<GroupCommit> {
public:
  /// `name` must differ from that of each other group of the deployment.
  GroupCommit(const GroupSettings &settings, std::string name, TableHooks table,
              GroupHooks hooks);

  /// Adds a write; `done` when its transaction has ended.
  void add(TableWrite write, TableCallback<std::uint64_t> done);
  /// Transactions sent since the start.
  std::uint64_t sent() const;

private:
  struct Group {
    TableTransaction Transaction;
    std::vector<TableCallback<std::uint64_t>> Done;
    std::set<std::string> Keys;
  };

  void send(Group group);
  void onWindow(std::uint64_t number);

  const GroupSettings Settings;
  const std::string Name;
  const TableHooks Table;
  const GroupHooks Hooks;

  mutable std::mutex Mutex;
  Group Open;
  /// Number of the open group.
  std::uint64_t Number = 1;
};

} // namespace hemlockglade
