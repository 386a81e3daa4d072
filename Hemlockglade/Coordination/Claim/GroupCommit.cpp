#include "Hemlockglade/Coordination/Claim/GroupCommit.h"

namespace hemlockglade {

GroupCommit::GroupCommit(const GroupSettings &settings, std::string name,
                         TableHooks table, GroupHooks hooks)
    : Settings(settings), Name(std::move(name)), Table(std::move(table)),
      Hooks(std::move(hooks)) {}

void GroupCommit::add(TableWrite write, TableCallback<std::uint64_t> done) {
  std::vector<Group> full;
  bool first = false;
  std::uint64_t number = 0;
  auto close = [&] {
    Open.Transaction.AttemptId = Name + '/' + std::to_string(Number++);
    full.push_back(std::exchange(Open, {}));
  };
  {
    std::lock_guard lock(Mutex);
    // A transaction can't write the same row twice.
    if (Open.Keys.contains(write.Key))
      close();
    first = Open.Done.empty();
    number = Number;
    Open.Keys.insert(write.Key);
    Open.Transaction.Writes.push_back(std::move(write));
    Open.Done.push_back(std::move(done));
    if (Open.Done.size() >= Settings.Limit)
      close();
  }
  if (first)
    Hooks.After(Settings.Window, [self = weak_from_this(), number] {
      if (auto group = self.lock())
        group->onWindow(number);
    });
  for (auto &group : full)
    send(std::move(group));
}

void GroupCommit::onWindow(std::uint64_t number) {
  Group group;
  {
    std::lock_guard lock(Mutex);
    // The group was full before the window ended.
    if (number != Number || Open.Done.empty())
      return;
    Open.Transaction.AttemptId = Name + '/' + std::to_string(Number++);
    group = std::exchange(Open, {});
  }
  send(std::move(group));
}

void GroupCommit::send(Group group) {
  Table.Commit(std::move(group.Transaction),
               [done = std::move(group.Done)](auto result) {
                 for (const auto &call : done)
                   call(result);
               });
}

std::uint64_t GroupCommit::sent() const {
  std::lock_guard lock(Mutex);
  return Number - 1;
}

} // namespace hemlockglade
