#include "Hemlockglade/Coordination/Config/ConfigReplicator.h"

#include "Hemlockglade/Coordination/Config/ConfigCommit.h"
#include "Hemlockglade/Coordination/Config/ConfigObjects.h"
#include "Hemlockglade/Coordination/Config/ConfigTransfer.h"

namespace hemlockglade {

ConfigReplicator::ConfigReplicator(const ConfigSettings &settings,
                                   ConfigHooks hooks)
    : Settings(settings), Hooks(std::move(hooks)),
      Snapshots(std::make_shared<SnapshotWriter>(Settings, Hooks)),
      History(Settings) {}

void ConfigReplicator::round() {
  bool look = false;
  bool alone = false;
  {
    std::lock_guard lock(Mutex);
    auto now = Hooks.Now();
    look = now >= NextLook;
    if (look)
      NextLook = now + Settings.TableInterval;
    alone = !Heard;
  }
  if (look)
    lookAtTable();
  // Before anything is heard the peers are asked too: the table may be away.
  if (alone) {
    if (auto peer = Hooks.AnyPeer())
      begin(Source::Peer, peer);
  }
  catchUp();
}

void ConfigReplicator::learn(Revision number, const std::string &peer) {
  {
    std::lock_guard lock(Mutex);
    Heard = true;
    if (number <= Target)
      return;
    Target = number;
    Teller = peer;
  }
  catchUp();
}

Revision ConfigReplicator::newestHeard() const {
  auto inForce = current()->number();
  std::lock_guard lock(Mutex);
  return std::max(Target, inForce);
}

bool ConfigReplicator::caughtUp() const {
  auto inForce = current()->number();
  std::lock_guard lock(Mutex);
  return Heard && inForce >= Target;
}

void ConfigReplicator::lookAtTable() {
  Hooks.Table.Get(std::string(ConfigHeadKey),
                  [self = shared_from_this()](auto row) {
                    if (!row)
                      return;
                    ConfigHead head;
                    if (*row)
                      head = decodeHead((*row)->Value).value_or(head);
                    self->onTableHead(head);
                  });
}

void ConfigReplicator::onTableHead(const ConfigHead &head) {
  {
    std::lock_guard lock(Mutex);
    Heard = true;
    Target = std::max(Target, head.Number);
  }
  catchUp();
}

void ConfigReplicator::catchUp() {
  auto inForce = current()->number();
  Source source;
  std::optional<std::string> peer;
  {
    std::lock_guard lock(Mutex);
    if (Fetching || inForce >= Target)
      return;
    source = NextSource;
    if (!Teller.empty())
      peer = std::exchange(Teller, {});
  }
  if (source == Source::Peer && !peer)
    peer = Hooks.AnyPeer();
  begin(peer ? source : Source::Table, std::move(peer));
}

void ConfigReplicator::begin(Source source, std::optional<std::string> peer) {
  std::uint64_t token = 0;
  {
    std::lock_guard lock(Mutex);
    if (Fetching)
      return;
    Fetching = true;
    token = ++Token;
    FetchEnds = Hooks.Now() + Settings.FetchTimeout;
    NextSource = source == Source::Peer ? Source::Table : Source::Peer;
  }
  Hooks.After(Settings.FetchTimeout,
              [self = shared_from_this(), token] { self->expire(token); });
  if (source == Source::Peer)
    askPeer(token, *peer);
  else
    readTable(token);
}

void ConfigReplicator::extend(std::uint64_t token) {
  std::lock_guard lock(Mutex);
  if (Token == token)
    FetchEnds = Hooks.Now() + Settings.FetchTimeout;
}

ConfigHooks ConfigReplicator::watched(std::uint64_t token) {
  ConfigHooks hooks = Hooks;
  hooks.AskPeer = [self = shared_from_this(), token](auto peer, auto fetch,
                                                     auto done) {
    self->extend(token);
    self->Hooks.AskPeer(std::move(peer), fetch, std::move(done));
  };
  hooks.GetObject = [self = shared_from_this(), token](auto name, auto done) {
    self->extend(token);
    self->Hooks.GetObject(std::move(name), std::move(done));
  };
  return hooks;
}

void ConfigReplicator::expire(std::uint64_t token) {
  Span left{};
  {
    std::lock_guard lock(Mutex);
    if (!Fetching || Token != token)
      return;
    left = FetchEnds - Hooks.Now();
  }
  if (left <= Span(0))
    return finish(token, false);
  Hooks.After(left,
              [self = shared_from_this(), token] { self->expire(token); });
}

bool ConfigReplicator::isStale(std::uint64_t token) const {
  std::lock_guard lock(Mutex);
  return !Fetching || Token != token;
}

void ConfigReplicator::finish(std::uint64_t token, bool progress) {
  {
    std::lock_guard lock(Mutex);
    if (!Fetching || Token != token)
      return;
    Fetching = false;
    if (progress)
      NextSource = Source::Peer;
  }
  // Without progress the next round goes on, so that a peer or a table that
  // fails at once isn't asked in a tight loop.
  if (progress)
    catchUp();
}

void ConfigReplicator::askPeer(std::uint64_t token, const std::string &peer) {
  Hooks.AskPeer(peer, {current()->number(), -1},
                [self = shared_from_this(), token, peer](auto answer) {
                  self->onPeerAnswer(token, peer, std::move(answer));
                });
}

void ConfigReplicator::onPeerAnswer(std::uint64_t token,
                                    const std::string &peer,
                                    std::optional<ConfigAnswer> answer) {
  if (isStale(token))
    return;
  if (!answer)
    return finish(token, false);
  {
    std::lock_guard lock(Mutex);
    Heard = true;
    Target = std::max(Target, answer->Number);
  }
  if (answer->TooOld)
    return transferFrom(token, peer);
  bool progress = false;
  for (const auto &text : answer->Deltas)
    progress = applyText(text) || progress;
  finish(token, progress);
}

void ConfigReplicator::transferFrom(std::uint64_t token,
                                    const std::string &peer) {
  auto onView = [self = shared_from_this(),
                 token](std::optional<CatalogView> view) {
    bool progress = view && self->replace(std::move(*view));
    self->finish(token, progress);
  };
  std::make_shared<ConfigTransfer>(watched(token), peer, onView)->start();
}

void ConfigReplicator::readTable(std::uint64_t token) {
  Hooks.Table.Get(std::string(ConfigHeadKey),
                  [self = shared_from_this(), token](auto row) {
                    if (self->isStale(token))
                      return;
                    auto head = row && *row ? decodeHead((*row)->Value)
                                            : std::optional<ConfigHead>();
                    if (!head)
                      return self->finish(token, false);
                    self->readHeadRow(token, *head);
                  });
}

void ConfigReplicator::readHeadRow(std::uint64_t token,
                                   const ConfigHead &head) {
  auto inForce = current()->number();
  if (head.Number <= inForce)
    return finish(token, false);
  // Rows further behind the snapshot may have been removed.
  if (inForce + Settings.KeepRows < head.Snapshot)
    return readSnapshot(token, head.Snapshot);
  if (head.Number - inForce <= Settings.SmallGap)
    return readRow(token);
  readRows(token);
}

void ConfigReplicator::readRow(std::uint64_t token) {
  Hooks.Table.Get(configDeltaKey(current()->number() + 1),
                  [self = shared_from_this(), token](auto row) {
                    if (self->isStale(token))
                      return;
                    if (!row || !*row)
                      return self->finish(token, false);
                    self->applyRows(token, {(*row)->Value}, 0, false);
                  });
}

void ConfigReplicator::readRows(std::uint64_t token) {
  Hooks.Table.Scan(std::string(ConfigDeltaPrefix),
                   [self = shared_from_this(), token](auto rows) {
                     if (self->isStale(token))
                       return;
                     if (!rows)
                       return self->finish(token, false);
                     auto next = configDeltaKey(self->current()->number() + 1);
                     std::vector<std::string> texts;
                     for (auto &row : *rows) {
                       if (row.Key >= next)
                         texts.push_back(std::move(row.Value));
                     }
                     self->applyRows(token, std::move(texts), 0, false);
                   });
}

void ConfigReplicator::applyRows(std::uint64_t token,
                                 std::vector<std::string> rows,
                                 std::size_t index, bool progress) {
  for (; index < rows.size() && !decodeDeltaObjects(rows[index]); ++index)
    progress = applyText(rows[index]) || progress;
  if (index == rows.size())
    return finish(token, progress);
  auto row = std::move(rows[index]);
  loadDeltaText(watched(token), std::move(row),
                [self = shared_from_this(), token, rows = std::move(rows),
                 index, progress](auto text) mutable {
                  if (self->isStale(token))
                    return;
                  if (!text)
                    return self->finish(token, progress);
                  bool applied = self->applyText(*text);
                  self->applyRows(token, std::move(rows), index + 1,
                                  progress || applied);
                });
}

void ConfigReplicator::readSnapshot(std::uint64_t token, Revision number) {
  getObjects(
      Hooks, configSnapshotName(number), CatalogView::PieceCount,
      [self = shared_from_this(), token, number](auto pieces) {
        if (!pieces)
          return self->finish(token, false);
        std::vector<ConfigChange> all;
        for (const auto &text : *pieces) {
          auto piece = decodePiece(text);
          if (!piece)
            return self->finish(token, false);
          std::move(piece->begin(), piece->end(), std::back_inserter(all));
        }
        self->finish(token, self->replace(CatalogView().with(number, all)));
      });
}

bool ConfigReplicator::applyText(const std::string &text) {
  auto delta = decodeDelta(text);
  if (!delta)
    return false;
  {
    std::lock_guard lock(ApplyMutex);
    if (!Store.apply(*delta))
      return false;
    History.add(*delta, text);
  }
  publish();
  return true;
}

bool ConfigReplicator::replace(CatalogView view) {
  {
    std::lock_guard lock(ApplyMutex);
    if (!Store.replace(std::move(view)))
      return false;
    History.restart();
  }
  publish();
  return true;
}

void ConfigReplicator::publish() {
  std::unique_lock lock(PublishMutex);
  if (Publishing)
    return;
  Publishing = true;
  // One thread calls the hook at a time; what comes meanwhile it sees here.
  for (auto view = current(); view->number() > Published; view = current()) {
    Published = view->number();
    lock.unlock();
    if (Hooks.OnInForce)
      Hooks.OnInForce(std::move(view));
    lock.lock();
  }
  Publishing = false;
}

ConfigAnswer ConfigReplicator::answer(const ConfigFetch &fetch) const {
  ConfigAnswer out;
  if (fetch.Piece >= 0) {
    auto view = current();
    out.Number = view->number();
    auto index = static_cast<std::size_t>(fetch.Piece);
    if (index < CatalogView::PieceCount)
      out.Piece = encodePiece(*view, index);
    return out;
  }
  std::lock_guard lock(ApplyMutex);
  out.Number = current()->number();
  if (fetch.From >= out.Number)
    return out;
  auto deltas = History.after(fetch.From);
  out.TooOld = !deltas;
  if (deltas)
    out.Deltas = std::move(*deltas);
  return out;
}

void ConfigReplicator::propose(ConfigProposal proposal, ConfigCallback done) {
  Revision known = 0;
  {
    std::lock_guard lock(ApplyMutex);
    known = History.revisionOf(proposal.CommandId);
  }
  if (known)
    return done(ConfigAccepted{known, true});
  ConfigCommitRecord record{0, proposal.CommandId, proposal.Operator};
  auto onEnded = [self = shared_from_this(), record,
                  done = std::move(done)](ConfigCommit::Ending ending) mutable {
    if (ending.Result) {
      record.Number = ending.Result->Number;
      self->onCommitted(record, ending.DeltaText, ending.Head);
    }
    done(std::move(ending.Result));
  };
  std::make_shared<ConfigCommit>(Settings, Hooks, std::move(proposal),
                                 current()->number(), std::move(onEnded))
      ->start();
}

void ConfigReplicator::onCommitted(const ConfigCommitRecord &record,
                                   const std::string &text,
                                   const ConfigHead &head) {
  if (!text.empty())
    applyText(text);
  {
    std::lock_guard lock(Mutex);
    Heard = true;
    Target = std::max({Target, record.Number, head.Number});
  }
  catchUp();
  auto view = current();
  if (view->number() >= head.Snapshot + Settings.SnapshotEvery)
    Snapshots->write(view);
}

} // namespace hemlockglade
