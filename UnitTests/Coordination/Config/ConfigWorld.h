#pragma once

#include "Hemlockglade/Coordination/Coordination.h"
#include "UnitTests/Coordination/FakeTable.h"

#include <algorithm>

namespace hemlockglade::test {

/// Mechanisms that a test can take away, to see that its check then fails.
enum class Without : std::uint8_t {
  Nothing,
  /// The table writes whatever version a row is at.
  CompareAndSet,
  /// What is read back never names a commit.
  ReadBack,
  /// A peer that is behind answers as if it were not.
  PeerRevisions,
  /// No peer can be asked.
  Peers,
};

/// Keepers on virtual time with a failing table, an object store and peers
/// that can be cut, late, or repeat old answers; and a check of what came of
/// it.
class ConfigWorld {
public:
  struct Node {
    std::shared_ptr<ConfigReplicator> Keeper;
    bool Cut = false;
    std::vector<ConfigAnswer> OldAnswers;
    Revision InForce = 0;
    /// What a node of an earlier start still does is not this node's.
    std::uint64_t Start = 0;
  };
  struct Command {
    ConfigProposal Proposal;
    std::vector<tl::expected<ConfigAccepted, ConfigError>> Results;
  };

  ConfigWorld(std::uint64_t seed, Without without = Without::Nothing)
      : Table(Time, seed), Random(seed), Off(without) {
    Settings.SnapshotEvery = 8;
    Settings.KeepRows = 4;
    Settings.HeadCommits = 4;
    Settings.MaxRowBytes = 400;
    Settings.KeepBytes = 2000;
    Settings.AnswerBytes = 600;
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
  double OldAnswers = 0;
  /// What was found to be wrong; empty if nothing was.
  std::vector<std::string> Wrong;

  bool chance(double p) {
    return std::uniform_real_distribution<double>(0, 1)(Random) < p;
  }

  /// Starts a node, or starts it anew with nothing kept.
  Node &start(const std::string &name) {
    auto &node = Nodes[name];
    node = {};
    node.Start = ++Starts;
    node.Keeper = std::make_shared<ConfigReplicator>(Settings, hooks(name));
    return node;
  }

  /// Proposes under that id at a node; a repeat takes the first proposal.
  void propose(const std::string &node, const std::string &id,
               std::vector<ConfigChange> changes = {},
               std::optional<Revision> base = std::nullopt) {
    if (!base)
      base = Nodes[node].Keeper->current()->number();
    auto &command = Commands[id];
    if (command.Proposal.CommandId.empty())
      command.Proposal = {id, "operator-of-" + id, *base, std::move(changes)};
    Nodes[node].Keeper->propose(command.Proposal, [this, id](auto result) {
      Commands[id].Results.push_back(std::move(result));
    });
  }

  /// Lets time pass with rounds each second and heads told around.
  void run(int seconds) {
    for (int it = 0; it < seconds; ++it) {
      for (auto &[name, node] : Nodes) {
        node.Keeper->round();
        auto peer = anyPeer(name);
        if (peer && !node.Cut && !Nodes[*peer].Cut)
          node.Keeper->learn(Nodes[*peer].Keeper->current()->number(), *peer);
      }
      Time.advance(std::chrono::seconds(1));
    }
  }

  /// Ends all faults, waits, and looks whether everybody came to the same.
  void settle() {
    Table.Faults = {};
    Table.Down = false;
    ObjectLoss = OldAnswers = 0;
    for (auto &[name, node] : Nodes)
      node.Cut = false;
    run(90);
    for (auto &[name, node] : Nodes) {
      if (node.InForce != Accepted.size())
        wrong(name + " stays behind");
      if (!node.Keeper->caughtUp())
        wrong(name + " isn't caught up");
    }
    for (auto &[id, command] : Commands)
      checkCommand(id, command);
    auto rows =
        std::count_if(Table.Rows.begin(), Table.Rows.end(), [](const auto &it) {
          return it.first.starts_with(ConfigDeltaPrefix);
        });
    if (static_cast<std::uint64_t>(rows) >
        3 * Settings.SnapshotEvery + Settings.KeepRows)
      wrong("delta rows aren't bounded");
  }

private:
  void wrong(std::string text) { Wrong.push_back(std::move(text)); }

  static std::string content(const CatalogView &view) {
    std::string out;
    for (std::size_t it = 0; it < CatalogView::PieceCount; ++it)
      out += encodePiece(view, it);
    return out;
  }

  /// The table's own history is the truth: each revision is accepted once.
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
        return wrong("a revision was written twice or out of order");
      auto base = Accepted.empty() ? CatalogView() : Views.back();
      Views.push_back(base.with(delta->Number, delta->Changes));
      Accepted.push_back(delta->CommandId);
    }
  }

  void onInForce(const std::string &name, const CatalogView &view) {
    auto &node = Nodes[name];
    if (view.number() <= node.InForce)
      wrong(name + " went back");
    node.InForce = view.number();
    if (view.number() > Views.size())
      return wrong(name + " is ahead of the table");
    if (content(Views[view.number() - 1]) != content(view))
      wrong(name + " has another content");
  }

  void checkCommand(const std::string &id, const Command &command) {
    auto times = std::count(Accepted.begin(), Accepted.end(), id);
    if (times > 1)
      wrong(id + " took effect twice");
    bool repeated = command.Results.size() > 1;
    for (const auto &it : command.Results) {
      if (it && (times == 0 || Accepted[it->Number - 1] != id))
        wrong(id + " is said to be accepted and isn't");
      // With repeats under way an earlier or later try may have gone through.
      bool refused = !it && it.error().Kind != ConfigErrorKind::Unknown;
      if (refused && times > 0 && !repeated)
        wrong(id + " is said to be refused and took effect");
      if (!it && it.error().Kind == ConfigErrorKind::Conflict)
        checkFirst(id, command.Proposal.Base + 1, it.error().First);
    }
  }

  void checkFirst(const std::string &id, Revision number,
                  const std::optional<ConfigCommitRecord> &first) {
    if (!first || first->Number != number || number > Accepted.size() ||
        first->CommandId != Accepted[number - 1] || first->CommandId == id)
      wrong(id + " isn't told who came first");
  }

  std::optional<std::string> anyPeer(const std::string &name) {
    if (Nodes.size() < 2 || Off == Without::Peers)
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
    hooks.DropObject = [this](const std::string &key) { Objects.erase(key); };
    hooks.AnyPeer = [this, name] { return anyPeer(name); };
    hooks.AskPeer = [this, name](const std::string &peer, ConfigFetch fetch,
                                 auto done) { ask(name, peer, fetch, done); };
    hooks.OnInForce = [this, name, start = Starts](auto view) {
      if (Nodes[name].Start == start)
        onInForce(name, *view);
    };
    return hooks;
  }

  TableHooks tableHooks() {
    auto hooks = Table.hooks();
    if (Off == Without::CompareAndSet)
      hooks.Commit = [this, inner = hooks.Commit](TableTransaction transaction,
                                                  auto done) {
        for (auto &it : transaction.Writes)
          it.ExpectedVersion =
              Table.Rows.contains(it.Key) ? Table.Rows[it.Key].Version : 0;
        inner(std::move(transaction), std::move(done));
      };
    if (Off == Without::ReadBack)
      hooks.Get = [inner = hooks.Get](std::string key, auto done) {
        inner(std::move(key), [done](auto row) {
          if (row && *row)
            forgetCommits((*row)->Value);
          done(std::move(row));
        });
      };
    return hooks;
  }

  static void forgetCommits(std::string &value) {
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
    // Now and then so late that the fetch has been given up.
    if (chance(OldAnswers / 20))
      delay += std::chrono::seconds(1 + Random() % 20);
    Time.after(delay, [this, name, peer, fetch, done] {
      auto &node = Nodes[peer];
      if (Nodes[name].Cut || node.Cut)
        return; // Never answered.
      auto answer = node.Keeper->answer(fetch);
      if (fetch.Piece < 0 && !answer.Deltas.empty())
        node.OldAnswers.push_back(answer);
      if (!node.OldAnswers.empty() && chance(OldAnswers))
        answer = node.OldAnswers[Random() % node.OldAnswers.size()];
      if (Off == Without::PeerRevisions)
        renumber(answer, fetch);
      done(answer);
      if (chance(OldAnswers))
        done(answer); // Doubled.
    });
  }

  /// Gives the deltas of an answer the numbers that were asked for.
  static void renumber(ConfigAnswer &answer, const ConfigFetch &fetch) {
    auto number = fetch.From;
    for (auto &text : answer.Deltas) {
      auto delta = decodeDelta(text);
      delta->Number = ++number;
      text = encodeDelta(*delta);
    }
  }

  Without Off;
  std::uint64_t Starts = 0;
  /// Command of each revision that the table has accepted, from 1 on.
  std::vector<std::string> Accepted;
  std::vector<CatalogView> Views;
};

} // namespace hemlockglade::test
