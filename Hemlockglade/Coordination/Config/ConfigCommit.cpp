#include "Hemlockglade/Coordination/Config/ConfigCommit.h"

#include "Hemlockglade/Coordination/Config/ConfigObjects.h"

namespace hemlockglade {

ConfigCommit::ConfigCommit(const ConfigSettings &settings, ConfigHooks hooks,
                           ConfigProposal proposal, Revision inForce, Done done)
    : Settings(settings), Hooks(std::move(hooks)),
      Proposal(std::move(proposal)), InForce(inForce), Base(Proposal.Base),
      OnDone(std::move(done)) {}

void ConfigCommit::start() {
  Hooks.Table.Get(std::string(ConfigHeadKey),
                  [self = shared_from_this()](auto row) {
                    self->onFirstHead(std::move(row));
                  });
}

void ConfigCommit::onFirstHead(
    tl::expected<std::optional<TableRow>, TableError> row) {
  if (!row)
    return fail(ConfigErrorKind::Unavailable);
  if (!decodeHeadRow(*row))
    return fail(ConfigErrorKind::StoreBehind);
  if (const auto *own = findOwnRecord())
    return accept(own->Number, true);
  if (Head.Number < InForce)
    return fail(ConfigErrorKind::StoreBehind);
  if (Head.Number > Base)
    return findFirstCommit();
  if (Head.Number < Base)
    return fail(ConfigErrorKind::StoreBehind);
  if (Head.Number - Head.Snapshot >= Settings.MaxRows)
    return fail(ConfigErrorKind::Full);
  prepare();
}

void ConfigCommit::prepare() {
  ConfigDelta delta{Base + 1, Proposal.CommandId, Proposal.Operator,
                    std::move(Proposal.Changes)};
  DeltaText = encodeDelta(delta);
  DeltaRow = DeltaText;
  if (DeltaText.size() > Settings.MaxRowBytes)
    return putDelta();
  submit();
}

void ConfigCommit::putDelta() {
  auto pieces = std::make_shared<std::vector<std::string>>();
  for (std::size_t it = 0; it < DeltaText.size(); it += Settings.MaxRowBytes)
    pieces->push_back(DeltaText.substr(it, Settings.MaxRowBytes));
  // The base is part of the name, so that objects of a failed commit aren't
  // mixed with those of a later one under the same command id.
  ConfigDeltaObjects objects{"config/delta/" + std::to_string(Base + 1) + '/' +
                                 Proposal.CommandId,
                             pieces->size()};
  DeltaRow = encodeDeltaObjects(objects);
  putObjects(Hooks, objects.Name, pieces,
             [self = shared_from_this()](bool stored) {
               if (!stored)
                 return self->fail(ConfigErrorKind::Unavailable);
               self->submit();
             });
}

void ConfigCommit::submit() {
  ConfigHead next = Head;
  next.Number = Base + 1;
  next.Commits.push_back({next.Number, Proposal.CommandId, Proposal.Operator});
  if (next.Commits.size() > Settings.MaxHeadCommits)
    next.Commits.erase(next.Commits.begin());
  TableTransaction transaction;
  // The same head version and command make the same transaction, so a retry
  // has the same attempt id.
  transaction.AttemptId =
      "config/" + Proposal.CommandId + '/' + std::to_string(HeadVersion);
  transaction.Writes.push_back(
      {std::string(ConfigHeadKey), HeadVersion, encodeHead(next)});
  transaction.Writes.push_back({configDeltaKey(Base + 1), 0, DeltaRow});
  ++Attempts;
  Hooks.Table.Commit(std::move(transaction),
                     [self = shared_from_this()](auto result) {
                       self->onSubmitted(std::move(result));
                     });
}

void ConfigCommit::onSubmitted(tl::expected<std::uint64_t, TableError> result) {
  if (result)
    return accept(Base + 1, false);
  readBack();
}

void ConfigCommit::readBack() {
  Hooks.Table.Get(std::string(ConfigHeadKey),
                  [self = shared_from_this()](auto row) {
                    self->onReadBack(std::move(row));
                  });
}

void ConfigCommit::onReadBack(
    tl::expected<std::optional<TableRow>, TableError> row) {
  if (!row)
    return retry();
  if (!decodeHeadRow(*row))
    return fail(ConfigErrorKind::Unknown);
  if (const auto *own = findOwnRecord())
    return accept(own->Number, false);
  // There is no commit after the base. Submitting again takes effect once, even
  // if the first transaction is still in transit.
  if (Head.Number == Base)
    return Attempts < Settings.MaxCommitAttempts
               ? submit()
               : fail(ConfigErrorKind::Unknown);
  if (Head.Number < Base)
    return fail(ConfigErrorKind::Unknown);
  findFirstCommit();
}

void ConfigCommit::findFirstCommit() {
  for (const auto &it : Head.Commits) {
    if (it.Number == Base + 1)
      return conflict(it);
  }
  readDeltaRow();
}

void ConfigCommit::readDeltaRow() {
  Hooks.Table.Get(configDeltaKey(Base + 1),
                  [self = shared_from_this()](auto row) {
                    if (row && *row)
                      return self->onDeltaRow(std::move((*row)->Value));
                    // Trimmed, or no answer: the commit after the base isn't
                    // known.
                    self->fail(ConfigErrorKind::Unknown);
                  });
}

void ConfigCommit::onDeltaRow(std::string row) {
  loadDeltaText(Hooks, std::move(row), [self = shared_from_this()](auto text) {
    auto delta = text ? decodeDelta(*text) : std::nullopt;
    if (!delta)
      return self->fail(ConfigErrorKind::Unknown);
    if (delta->CommandId == self->Proposal.CommandId)
      return self->accept(delta->Number, self->Attempts == 0);
    self->conflict({delta->Number, delta->CommandId, delta->Operator});
  });
}

bool ConfigCommit::decodeHeadRow(const std::optional<TableRow> &row) {
  Head = {};
  HeadVersion = row ? row->Version : 0;
  if (!row)
    return true;
  auto head = decodeHead(row->Value);
  if (!head)
    return false;
  Head = std::move(*head);
  return true;
}

void ConfigCommit::retry() {
  if (++Attempts >= Settings.MaxCommitAttempts)
    return fail(ConfigErrorKind::Unknown);
  Hooks.After(Settings.RetryDelay,
              [self = shared_from_this()] { self->readBack(); });
}

void ConfigCommit::accept(Revision number, bool alreadyAccepted) {
  OnDone({ConfigAccepted{number, alreadyAccepted},
          alreadyAccepted ? "" : DeltaText, Head});
}

void ConfigCommit::conflict(const ConfigCommitRecord &first) {
  ConfigError error{ConfigErrorKind::Conflict, first};
  OnDone({tl::unexpected(std::move(error)), {}, Head});
}

void ConfigCommit::fail(ConfigErrorKind kind) {
  OnDone({tl::unexpected(ConfigError{kind, std::nullopt}), {}, Head});
}

const ConfigCommitRecord *ConfigCommit::findOwnRecord() const {
  for (const auto &it : Head.Commits) {
    if (it.CommandId == Proposal.CommandId)
      return &it;
  }
  return nullptr;
}

} // namespace hemlockglade
