#pragma once

#include "Hemlockglade/Coordination/Coordination.h"
#include "UnitTests/Coordination/FakeTable.h"

#include <algorithm>

namespace hemlockglade::test {

/// Mechanisms that a test can disable, to show that its check then fails.
enum class DisabledMechanism : std::uint8_t {
  None,
  /// The table writes rows regardless of their version.
  CompareAndSet,
  /// Rows that are read have no command ids.
  ReadBack,
  /// The deltas of a peer's answer get the revisions that were requested.
  PeerRevisions,
  /// There are no peers to ask.
  Peers,
};

/// Replicators on virtual time with a failing table, an object store, and peers
/// that can be isolated, late, or repeat old answers. Checks the revisions in
/// force and the results of commands.
class ConfigWorld {
public:
  struct Node {
    std::shared_ptr<ConfigReplicator> Replicator;
    bool Isolated = false;
    std::vector<ConfigAnswer> OldAnswers;
    Revision InForce = 0;
    /// Number of the node's start; hooks of earlier starts are ignored.
    std::uint64_t StartNumber = 0;
  };
  struct Command {
    ConfigProposal Proposal;
    std::vector<tl::expected<ConfigAccepted, ConfigError>> Results;
  };

  ConfigWorld(std::uint64_t seed,
              DisabledMechanism disabled = DisabledMechanism::None)
      : Table(Time, seed), Random(seed), Disabled(disabled) {
    Settings.SnapshotInterval = 8;
    Settings.RetainedRows = 4;
    Settings.MaxHeadCommits = 4;
    Settings.MaxRowBytes = 400;
    Settings.MaxHistoryBytes = 2000;
    Settings.MaxAnswerBytes = 600;
    Table.OnCommitted = [this](const TableTransaction &it) { onRows(it); };
  }

  VirtualTime Time;
  FakeTable Table;
  std::mt19937_64 Random;
  ConfigSettings Settings;
  std::map<std::string, Node> Nodes;
  std::map<std::string, std::string> Objects;
  std::map<std::string, Command> Commands;
  double ObjectLoss = 0;
  double ReplayProbability = 0;
  /// Violations found; empty if there were none.
  std::vector<std::string> Violations;

  bool chance(double p) {
    return std::uniform_real_distribution<double>(0, 1)(Random) < p;
  }

  /// Starts a node, or restarts it without its state.
  Node &start(const std::string &name) {
    auto &node = Nodes[name];
    node = {};
    node.StartNumber = ++Starts;
    node.Replicator = std::make_shared<ConfigReplicator>(Settings, hooks(name));
    return node;
  }

  /// Proposes changes under a command id at a node; a retry of the id sends the
  /// first proposal again.
  void propose(const std::string &node, const std::string &id,
               std::vector<ConfigChange> changes = {},
               std::optional<Revision> base = std::nullopt) {
    if (!base)
      base = Nodes[node].Replicator->current()->number();
    auto &command = Commands[id];
    if (command.Proposal.CommandId.empty())
      command.Proposal = {id, "operator-of-" + id, *base, std::move(changes)};
    Nodes[node].Replicator->propose(command.Proposal, [this, id](auto result) {
      Commands[id].Results.push_back(std::move(result));
    });
  }

  /// Advances the time, with a round each second in which each node gets the
  /// revision of a random peer.
  void run(int seconds) {
    for (int it = 0; it < seconds; ++it) {
      for (auto &[name, node] : Nodes) {
        node.Replicator->round();
        auto peer = anyPeer(name);
        if (peer && !node.Isolated && !Nodes[*peer].Isolated)
          node.Replicator->onPeerRevision(
              Nodes[*peer].Replicator->current()->number(), *peer);
      }
      Time.advance(std::chrono::seconds(1));
    }
  }

  /// Ends all faults, waits, and checks that all nodes have the same revision.
  void settle() {
    Table.Faults = {};
    Table.Down = false;
    ObjectLoss = ReplayProbability = 0;
    for (auto &[name, node] : Nodes)
      node.Isolated = false;
    run(90);
    for (auto &[name, node] : Nodes) {
      if (node.InForce != Accepted.size())
        addViolation(name + " stays at an old revision");
      if (!node.Replicator->caughtUp())
        addViolation(name + " isn't caught up");
    }
    for (auto &[id, command] : Commands)
      checkCommand(id, command);
    auto rows =
        std::count_if(Table.Rows.begin(), Table.Rows.end(), [](const auto &it) {
          return it.first.starts_with(ConfigDeltaPrefix);
        });
    if (static_cast<std::uint64_t>(rows) >
        3 * Settings.SnapshotInterval + Settings.RetainedRows)
      addViolation("delta rows aren't bounded");
  }

private:
  void addViolation(std::string text) { Violations.push_back(std::move(text)); }

  static std::string content(const CatalogView &view) {
    std::string out;
    for (std::size_t it = 0; it < CatalogView::PieceCount; ++it)
      out += encodePiece(view, it);
    return out;
  }

  /// Checks that the table accepts each revision once, and records it as the
  /// expected state.
  void onRows(const TableTransaction &transaction) {
    for (const auto &write : transaction.Writes) {
      if (!write.Key.starts_with(ConfigDeltaPrefix) || !write.Value)
        continue;
      auto text = *write.Value;
      if (auto objects = decodeDeltaObjects(text)) {
        text.clear();
        for (std::size_t it = 0; it < objects->Pieces; ++it)
          text += Objects[objects->Name + '/' + std::to_string(it)];
      }
      auto delta = decodeDelta(text);
      if (!delta || delta->Number != Accepted.size() + 1)
        return addViolation("a revision was written twice or out of order");
      auto base = Accepted.empty() ? CatalogView() : Views.back();
      Views.push_back(base.with(delta->Number, delta->Changes));
      Accepted.push_back(delta->CommandId);
    }
  }

  void onInForce(const std::string &name, const CatalogView &view) {
    auto &node = Nodes[name];
    if (view.number() <= node.InForce)
      addViolation(name + " has a lower revision than before");
    node.InForce = view.number();
    if (view.number() > Views.size())
      return addViolation(name + " is ahead of the table");
    if (content(Views[view.number() - 1]) != content(view))
      addViolation(name + " has wrong content");
  }

  void checkCommand(const std::string &id, const Command &command) {
    auto times = std::count(Accepted.begin(), Accepted.end(), id);
    if (times > 1)
      addViolation(id + " took effect twice");
    bool retried = command.Results.size() > 1;
    for (const auto &it : command.Results) {
      if (it && (times == 0 || Accepted[it->Number - 1] != id))
        addViolation(id + " is reported as accepted and isn't");
      // With retries an earlier or later submission may have been accepted.
      bool refused = !it && it.error().Kind != ConfigErrorKind::Unknown;
      if (refused && times > 0 && !retried)
        addViolation(id + " is reported as refused and took effect");
      if (!it && it.error().Kind == ConfigErrorKind::Conflict)
        checkFirst(id, command.Proposal.Base + 1, it.error().First);
    }
  }

  void checkFirst(const std::string &id, Revision number,
                  const std::optional<ConfigCommitRecord> &first) {
    if (!first || first->Number != number || number > Accepted.size() ||
        first->CommandId != Accepted[number - 1] || first->CommandId == id)
      addViolation(id + " doesn't get the commit that came first");
  }

  std::optional<std::string> anyPeer(const std::string &name) {
    if (Nodes.size() < 2 || Disabled == DisabledMechanism::Peers)
      return std::nullopt;
    auto it = Nodes.begin();
    do {
      it = std::next(Nodes.begin(),
                     static_cast<std::ptrdiff_t>(Random() % Nodes.size()));
    } while (it->first == name);
    return it->first;
  }

  ConfigHooks hooks(const std::string &name) {
    ConfigHooks hooks;
    hooks.Now = [this] { return Time.now(); };
    hooks.After = [this](Span span, std::function<void()> call) {
      Time.after(span, std::move(call));
    };
    hooks.Table = tableHooks();
    hooks.PutObject = [this](const std::string &key, const std::string &data,
                             auto done) {
      bool lost = Table.Down || chance(ObjectLoss);
      if (!lost)
        Objects[key] = data;
      Time.after(std::chrono::milliseconds(2), [done, lost] { done(!lost); });
    };
    hooks.GetObject = [this](const std::string &key, auto done) {
      auto it = Objects.find(key);
      bool lost = Table.Down || chance(ObjectLoss) || it == Objects.end();
      auto data = lost ? std::nullopt : std::optional(it->second);
      Time.after(std::chrono::milliseconds(2), [done, data] { done(data); });
    };
    hooks.RemoveObject = [this](const std::string &key) { Objects.erase(key); };
    hooks.AnyPeer = [this, name] { return anyPeer(name); };
    hooks.FetchFromPeer = [this, name](const std::string &peer,
                                       ConfigFetch fetch, auto done) {
      ask(name, peer, fetch, done);
    };
    hooks.OnInForce = [this, name, start = Starts](auto view) {
      if (Nodes[name].StartNumber == start)
        onInForce(name, *view);
    };
    return hooks;
  }

  TableHooks tableHooks() {
    auto hooks = Table.hooks();
    if (Disabled == DisabledMechanism::CompareAndSet)
      hooks.Commit = [this, inner = hooks.Commit](TableTransaction transaction,
                                                  auto done) {
        for (auto &it : transaction.Writes)
          it.ExpectedVersion =
              Table.Rows.contains(it.Key) ? Table.Rows[it.Key].Version : 0;
        inner(std::move(transaction), std::move(done));
      };
    if (Disabled == DisabledMechanism::ReadBack)
      hooks.Get = [inner = hooks.Get](std::string key, auto done) {
        inner(std::move(key), [done](auto row) {
          if (row && *row)
            clearCommandIds((*row)->Value);
          done(std::move(row));
        });
      };
    return hooks;
  }

  static void clearCommandIds(std::string &value) {
    if (auto delta = decodeDelta(value)) {
      delta->CommandId.clear();
      value = encodeDelta(*delta);
    } else if (auto head = decodeHead(value)) {
      for (auto &it : head->Commits)
        it.CommandId.clear();
      value = encodeHead(*head);
    }
  }

  void ask(const std::string &name, const std::string &peer, ConfigFetch fetch,
           std::function<void(std::optional<ConfigAnswer>)> done) {
    auto delay = std::chrono::milliseconds(1 + Random() % 50);
    // Some answers come after the fetch has timed out.
    if (chance(ReplayProbability / 20))
      delay += std::chrono::seconds(1 + Random() % 20);
    Time.after(delay, [this, name, peer, fetch, done] {
      auto &node = Nodes[peer];
      if (Nodes[name].Isolated || node.Isolated)
        return; // No answer.
      auto answer = node.Replicator->answer(fetch);
      if (fetch.Piece < 0 && !answer.Deltas.empty())
        node.OldAnswers.push_back(answer);
      if (!node.OldAnswers.empty() && chance(ReplayProbability))
        answer = node.OldAnswers[Random() % node.OldAnswers.size()];
      if (Disabled == DisabledMechanism::PeerRevisions)
        renumber(answer, fetch);
      done(answer);
      if (chance(ReplayProbability))
        done(answer); // Duplicate answer.
    });
  }

  /// Gives the deltas of an answer the revisions that were requested.
  static void renumber(ConfigAnswer &answer, const ConfigFetch &fetch) {
    auto number = fetch.From;
    for (auto &text : answer.Deltas) {
      auto delta = decodeDelta(text);
      delta->Number = ++number;
      text = encodeDelta(*delta);
    }
  }

  DisabledMechanism Disabled;
  std::uint64_t Starts = 0;
  /// Command of each revision that the table has accepted, from 1 on.
  std::vector<std::string> Accepted;
  std::vector<CatalogView> Views;
};

} // namespace hemlockglade::test
