#include "Hemlockglade/Coordination/Lease/LeaseKeeper.h"

#include "Hemlockglade/State/Catalog.h"

#include <nlohmann/json.hpp>

namespace hemlockglade {

using nlohmann::json;

namespace {

constexpr std::string_view NodePrefix = "node/";
constexpr std::string_view CellPrefix = "cell/";

std::string nodeValue(const NodeRecord &node) {
  return json{{"name", node.Name},
              {"incarnation", node.Incarnation},
              {"callers", node.CallerAddress},
              {"peers", node.PeerAddress},
              {"failure_domain", node.FailureDomain},
              {"leaving", node.Leaving}}
      .dump();
}

std::optional<NodeRecord> readNode(const std::string &value) {
  auto node = json::parse(value, nullptr, false);
  if (!node.is_object())
    return std::nullopt;
  return NodeRecord{
      node.value("name", ""),           node.value("incarnation", ""),
      node.value("callers", ""),        node.value("peers", ""),
      node.value("failure_domain", ""), node.value("leaving", false)};
}

std::string cellValue(const CellRecord &cell) {
  return json{{"owner", cell.Owner}, {"epoch", cell.Fence}}.dump();
}

std::optional<CellRecord> readCell(const std::string &value) {
  auto node = json::parse(value, nullptr, false);
  if (!node.is_object())
    return std::nullopt;
  return CellRecord{node.value("owner", ""), node.value("epoch", Epoch{0})};
}

} // namespace

LeaseKeeper::LeaseKeeper(const LeaseSettings &settings, NodeRecord self,
                         TableHooks table, LeaseHooks hooks)
    : Settings(settings), Self(std::move(self)), Table(std::move(table)),
      Hooks(std::move(hooks)) {}

void LeaseKeeper::round(const std::vector<std::string> &cells) {
  renew();
  look(cells);
}

void LeaseKeeper::renew() {
  TableTransaction transaction;
  Instant sent = Hooks.Now();
  std::string key = std::string(NodePrefix) + Self.Name;
  {
    std::lock_guard lock(Mutex);
    if (Releasing)
      return;
    transaction.AttemptId = Self.Incarnation + '-' + std::to_string(++Attempts);
    transaction.Writes.push_back({key, OwnVersion, nodeValue(Self)});
  }
  Table.Commit(std::move(transaction), [self = shared_from_this(), sent,
                                        key](auto result) {
    if (result) {
      std::lock_guard lock(self->Mutex);
      ++self->OwnVersion;
      self->LeaseEnd = sent + self->Settings.Duration - self->Settings.Margin;
      return;
    }
    if (result.error() == TableError::NotSent)
      return;
    // Whether the write took effect is unknown: read the version back.
    self->Table.Get(key, [self](auto row) {
      if (!row)
        return;
      std::lock_guard lock(self->Mutex);
      self->OwnVersion = *row ? (*row)->Version : 0;
    });
  });
}

void LeaseKeeper::look(const std::vector<std::string> &wanted) {
  Table.Scan(
      std::string(NodePrefix), [self = shared_from_this(), wanted](auto nodes) {
        if (!nodes)
          return;
        self->takeNodes(*nodes);
        self->Table.Scan(std::string(CellPrefix), [self, wanted](auto cells) {
          if (cells)
            self->takeCells(*cells, wanted);
        });
      });
}

void LeaseKeeper::takeNodes(const std::vector<TableRow> &rows) {
  std::lock_guard lock(Mutex);
  Instant now = Hooks.Now();
  std::map<std::string, SeenNode> seen;
  for (const auto &row : rows) {
    auto record = readNode(row.Value);
    if (!record)
      continue;
    SeenNode node{*record, row.Version, now};
    auto it = Nodes.find(record->Name);
    if (it != Nodes.end() && it->second.Version == row.Version)
      node.ChangedAt = it->second.ChangedAt;
    seen.emplace(record->Name, node);
  }
  Nodes = std::move(seen);
}

void LeaseKeeper::takeCells(const std::vector<TableRow> &rows,
                            const std::vector<std::string> &wanted) {
  std::vector<std::string> lost;
  std::vector<std::string> due;
  {
    std::lock_guard lock(Mutex);
    for (const auto &row : rows) {
      auto record = readCell(row.Value);
      if (!record)
        continue;
      auto name = row.Key.substr(CellPrefix.size());
      auto &cell = Cells[name];
      if (cell.Version > row.Version)
        continue;
      if (cell.Record.Owner == Self.Name && record->Owner != Self.Name)
        lost.push_back(name);
      cell = {*record, row.Version};
    }
    for (const auto &cell : wanted) {
      if (!Releasing && dueToUs(cell))
        due.push_back(cell);
    }
  }
  for (const auto &cell : lost)
    Hooks.OnLost(cell);
  for (const auto &cell : due)
    claim(cell);
}

bool LeaseKeeper::lives(const SeenNode &node) const {
  return Hooks.Now() - node.ChangedAt < Settings.Duration + Settings.Margin;
}

bool LeaseKeeper::dueToUs(const std::string &cell) const {
  auto it = Cells.find(cell);
  if (it != Cells.end() && !it->second.Record.Owner.empty()) {
    auto owner = Nodes.find(it->second.Record.Owner);
    if (owner != Nodes.end() && lives(owner->second))
      return false;
  }
  std::string best;
  std::uint64_t bestWeight = 0;
  for (const auto &[name, node] : Nodes) {
    auto weight = rendezvousWeight(name, cell);
    if (!lives(node) || node.Record.Leaving || weight < bestWeight)
      continue;
    best = name;
    bestWeight = weight;
  }
  return best == Self.Name && Hooks.Now() < LeaseEnd;
}

void LeaseKeeper::claim(const std::string &cell) {
  TableTransaction transaction;
  CellRecord record;
  std::uint64_t version = 0;
  {
    std::lock_guard lock(Mutex);
    auto it = Cells.find(cell);
    if (it != Cells.end()) {
      version = it->second.Version;
      record = it->second.Record;
    }
    record.Owner = Self.Name;
    ++record.Fence;
    transaction.AttemptId = Self.Incarnation + '-' + std::to_string(++Attempts);
    transaction.Writes.push_back(
        {std::string(CellPrefix) + cell, version, cellValue(record)});
  }
  Table.Commit(std::move(transaction),
               [self = shared_from_this(), cell, record, version](auto result) {
                 if (!result)
                   return;
                 {
                   std::lock_guard lock(self->Mutex);
                   self->Cells[cell] = {record, version + 1};
                 }
                 self->Hooks.OnOwned(cell, record.Fence);
               });
}

void LeaseKeeper::release(std::function<void()> done) {
  TableTransaction transaction;
  std::vector<std::string> owned;
  {
    std::lock_guard lock(Mutex);
    Releasing = true;
    Self.Leaving = true;
    transaction.AttemptId = Self.Incarnation + '-' + std::to_string(++Attempts);
    for (auto &[name, cell] : Cells) {
      if (cell.Record.Owner != Self.Name)
        continue;
      owned.push_back(name);
      CellRecord record{"", cell.Record.Fence};
      transaction.Writes.push_back(
          {std::string(CellPrefix) + name, cell.Version, cellValue(record)});
      cell = {record, cell.Version + 1};
    }
    transaction.Writes.push_back(
        {std::string(NodePrefix) + Self.Name, OwnVersion, std::nullopt});
  }
  for (const auto &cell : owned)
    Hooks.OnLost(cell);
  Table.Commit(std::move(transaction),
               [done = std::move(done)](auto) { done(); });
}

bool LeaseKeeper::holds(const std::string &cell) const {
  std::lock_guard lock(Mutex);
  auto it = Cells.find(cell);
  return it != Cells.end() && it->second.Record.Owner == Self.Name &&
         Hooks.Now() < LeaseEnd;
}

std::optional<NodeRecord> LeaseKeeper::ownerOf(const std::string &cell) const {
  std::lock_guard lock(Mutex);
  auto it = Cells.find(cell);
  if (it == Cells.end())
    return std::nullopt;
  auto node = Nodes.find(it->second.Record.Owner);
  if (node == Nodes.end())
    return std::nullopt;
  return node->second.Record;
}

std::vector<NodeRecord> LeaseKeeper::nodes() const {
  std::lock_guard lock(Mutex);
  std::vector<NodeRecord> out;
  for (const auto &[name, node] : Nodes) {
    if (lives(node))
      out.push_back(node.Record);
  }
  return out;
}

Epoch LeaseKeeper::fenceOf(const std::string &cell) const {
  std::lock_guard lock(Mutex);
  auto it = Cells.find(cell);
  bool ours = it != Cells.end() && it->second.Record.Owner == Self.Name;
  return ours ? it->second.Record.Fence : 0;
}

std::map<std::string, CellRecord> LeaseKeeper::cells() const {
  std::lock_guard lock(Mutex);
  std::map<std::string, CellRecord> out;
  for (const auto &[name, cell] : Cells)
    out.emplace(name, cell.Record);
  return out;
}

} // namespace hemlockglade
