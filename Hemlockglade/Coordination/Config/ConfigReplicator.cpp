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
  bool readDue = false;
  bool needsReport = false;
  {
    std::lock_guard lock(Mutex);
    auto now = Hooks.Now();
    readDue = now >= NextHeadRead;
    if (readDue)
      NextHeadRead = now + Settings.TableInterval;
    needsReport = !HasReport;
  }
  if (readDue)
    readTableHead();
  // Before the first report, peers are asked too: the table may be
  // unreachable.
  if (needsReport) {
    if (auto peer = Hooks.AnyPeer())
      startFetch(Source::Peer, peer);
  }
  catchUp();
}

void ConfigReplicator::onPeerRevision(Revision number,
                                      const std::string &peer) {
  {
    std::lock_guard lock(Mutex);
    HasReport = true;
    if (number <= Target)
      return;
    Target = number;
    TargetPeer = peer;
  }
  catchUp();
}

Revision ConfigReplicator::newestReported() const {
  auto inForce = current()->number();
  std::lock_guard lock(Mutex);
  return std::max(Target, inForce);
}

bool ConfigReplicator::caughtUp() const {
  auto inForce = current()->number();
  std::lock_guard lock(Mutex);
  return HasReport && inForce >= Target;
}

void ConfigReplicator::readTableHead() {
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
    HasReport = true;
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
    if (!TargetPeer.empty())
      peer = std::exchange(TargetPeer, {});
  }
  if (source == Source::Peer && !peer)
    peer = Hooks.AnyPeer();
  startFetch(peer ? source : Source::Table, std::move(peer));
}

void ConfigReplicator::startFetch(Source source,
                                  std::optional<std::string> peer) {
  std::uint64_t token = 0;
  {
    std::lock_guard lock(Mutex);
    if (Fetching)
      return;
    Fetching = true;
    token = ++Token;
    FetchDeadline = Hooks.Now() + Settings.FetchTimeout;
    NextSource = source == Source::Peer ? Source::Table : Source::Peer;
  }
  Hooks.After(Settings.FetchTimeout,
              [self = shared_from_this(), token] { self->onTimeout(token); });
  if (source == Source::Peer)
    fetchFromPeer(token, *peer);
  else
    fetchFromTable(token);
}

void ConfigReplicator::restartTimeout(std::uint64_t token) {
  std::lock_guard lock(Mutex);
  if (Token == token)
    FetchDeadline = Hooks.Now() + Settings.FetchTimeout;
}

ConfigHooks ConfigReplicator::timeoutExtendingHooks(std::uint64_t token) {
  ConfigHooks hooks = Hooks;
  hooks.FetchFromPeer = [self = shared_from_this(),
                         token](auto peer, auto fetch, auto done) {
    self->restartTimeout(token);
    self->Hooks.FetchFromPeer(std::move(peer), fetch, std::move(done));
  };
  hooks.GetObject = [self = shared_from_this(), token](auto name, auto done) {
    self->restartTimeout(token);
    self->Hooks.GetObject(std::move(name), std::move(done));
  };
  return hooks;
}

void ConfigReplicator::onTimeout(std::uint64_t token) {
  Span left{};
  {
    std::lock_guard lock(Mutex);
    if (!Fetching || Token != token)
      return;
    left = FetchDeadline - Hooks.Now();
  }
  if (left <= Span(0))
    return finishFetch(token, false);
  Hooks.After(left,
              [self = shared_from_this(), token] { self->onTimeout(token); });
}

bool ConfigReplicator::isStale(std::uint64_t token) const {
  std::lock_guard lock(Mutex);
  return !Fetching || Token != token;
}

void ConfigReplicator::finishFetch(std::uint64_t token, bool progress) {
  {
    std::lock_guard lock(Mutex);
    if (!Fetching || Token != token)
      return;
    Fetching = false;
    if (progress)
      NextSource = Source::Peer;
  }
  // Without progress the next fetch starts in the next round, so that a peer or
  // a table that fails at once isn't queried in a tight loop.
  if (progress)
    catchUp();
}

void ConfigReplicator::fetchFromPeer(std::uint64_t token,
                                     const std::string &peer) {
  Hooks.FetchFromPeer(peer, {current()->number(), -1},
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
    return finishFetch(token, false);
  {
    std::lock_guard lock(Mutex);
    HasReport = true;
    Target = std::max(Target, answer->Number);
  }
  if (answer->TooOld)
    return transferAll(token, peer);
  bool progress = false;
  for (const auto &text : answer->Deltas)
    progress = applyEncoded(text) || progress;
  finishFetch(token, progress);
}

void ConfigReplicator::transferAll(std::uint64_t token,
                                   const std::string &peer) {
  auto onView = [self = shared_from_this(),
                 token](std::optional<CatalogView> view) {
    bool progress = view && self->replace(std::move(*view));
    self->finishFetch(token, progress);
  };
  std::make_shared<ConfigTransfer>(timeoutExtendingHooks(token), peer, onView)
      ->start();
}

void ConfigReplicator::fetchFromTable(std::uint64_t token) {
  Hooks.Table.Get(std::string(ConfigHeadKey),
                  [self = shared_from_this(), token](auto row) {
                    if (self->isStale(token))
                      return;
                    auto head = row && *row ? decodeHead((*row)->Value)
                                            : std::optional<ConfigHead>();
                    if (!head)
                      return self->finishFetch(token, false);
                    self->readMissing(token, *head);
                  });
}

void ConfigReplicator::readMissing(std::uint64_t token,
                                   const ConfigHead &head) {
  auto inForce = current()->number();
  if (head.Number <= inForce)
    return finishFetch(token, false);
  // Rows further behind the snapshot may have been removed.
  if (inForce + Settings.RetainedRows < head.Snapshot)
    return readSnapshot(token, head.Snapshot);
  if (head.Number - inForce <= Settings.MaxRowReads)
    return readRow(token);
  readRows(token);
}

void ConfigReplicator::readRow(std::uint64_t token) {
  Hooks.Table.Get(configDeltaKey(current()->number() + 1),
                  [self = shared_from_this(), token](auto row) {
                    if (self->isStale(token))
                      return;
                    if (!row || !*row)
                      return self->finishFetch(token, false);
                    self->applyRows(token, {(*row)->Value}, 0, false);
                  });
}

void ConfigReplicator::readRows(std::uint64_t token) {
  Hooks.Table.Scan(std::string(ConfigDeltaPrefix),
                   [self = shared_from_this(), token](auto rows) {
                     if (self->isStale(token))
                       return;
                     if (!rows)
                       return self->finishFetch(token, false);
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
    progress = applyEncoded(rows[index]) || progress;
  if (index == rows.size())
    return finishFetch(token, progress);
  auto row = std::move(rows[index]);
  loadDeltaText(timeoutExtendingHooks(token), std::move(row),
                [self = shared_from_this(), token, rows = std::move(rows),
                 index, progress](auto text) mutable {
                  if (self->isStale(token))
                    return;
                  if (!text)
                    return self->finishFetch(token, progress);
                  bool applied = self->applyEncoded(*text);
                  self->applyRows(token, std::move(rows), index + 1,
                                  progress || applied);
                });
}

void ConfigReplicator::readSnapshot(std::uint64_t token, Revision number) {
  getObjects(Hooks, configSnapshotName(number), CatalogView::PieceCount,
             [self = shared_from_this(), token, number](auto pieces) {
               if (!pieces)
                 return self->finishFetch(token, false);
               std::vector<ConfigChange> all;
               for (const auto &text : *pieces) {
                 auto piece = decodePiece(text);
                 if (!piece)
                   return self->finishFetch(token, false);
                 std::move(piece->begin(), piece->end(),
                           std::back_inserter(all));
               }
               self->finishFetch(
                   token, self->replace(CatalogView().with(number, all)));
             });
}

bool ConfigReplicator::applyEncoded(const std::string &text) {
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
    History.clearDeltas();
  }
  publish();
  return true;
}

void ConfigReplicator::publish() {
  std::unique_lock lock(PublishMutex);
  if (Publishing)
    return;
  Publishing = true;
  // One thread calls the hook at a time; it also reports revisions that other
  // threads put in force meanwhile.
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
  auto deltas = History.deltasAfter(fetch.From);
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
  auto onDone = [self = shared_from_this(), record, done = std::move(done)](
                    ConfigCommit::Completion completion) mutable {
    if (completion.Result) {
      record.Number = completion.Result->Number;
      self->onCommitted(record, completion.DeltaText, completion.Head);
    }
    done(std::move(completion.Result));
  };
  std::make_shared<ConfigCommit>(Settings, Hooks, std::move(proposal),
                                 current()->number(), std::move(onDone))
      ->start();
}

void ConfigReplicator::onCommitted(const ConfigCommitRecord &record,
                                   const std::string &text,
                                   const ConfigHead &head) {
  if (!text.empty())
    applyEncoded(text);
  {
    std::lock_guard lock(Mutex);
    HasReport = true;
    Target = std::max({Target, record.Number, head.Number});
  }
  catchUp();
  auto view = current();
  if (view->number() >= head.Snapshot + Settings.SnapshotInterval)
    Snapshots->write(view);
}

} // namespace hemlockglade
