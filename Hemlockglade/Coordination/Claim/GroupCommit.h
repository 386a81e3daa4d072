#pragma once

#include "Hemlockglade/Coordination/Table.h"
#include "Hemlockglade/State/Ids.h"

#include <memory>
#include <mutex>
#include <set>

namespace hemlockglade {

/// Limits that close a group of writes.
struct GroupSettings {
  /// Maximum time that the first write of a group waits for others.
  Span Window = std::chrono::milliseconds(2);
  /// Maximum number of writes in a transaction.
  std::size_t Limit = 32;
};

/// Callbacks that a group commit needs.
struct GroupHooks {
  /// Calls `call` after `delay`.
  std::function<void(Span delay, std::function<void()> call)> After;
};

/// Combines writes that arrive within a short time into one transaction. Each
/// write gets the result of the transaction: after a conflict or a lost answer,
/// its own row must be read to know whether it was written. Safe to call from
/// several threads.
class GroupCommit : public std::enable_shared_from_this<GroupCommit> {
public:
  /// `name` must be unique among all group commits of the deployment.
  GroupCommit(const GroupSettings &settings, std::string name, TableHooks table,
              GroupHooks hooks);

  /// Adds a write. `done` is called with the result of its transaction.
  void add(TableWrite write, TableCallback<std::uint64_t> done);
  /// Returns the number of transactions sent since the start.
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
