#include "Hemlockglade/Coordination/Orders/CellPlacement.h"

#include <algorithm>
#include <cmath>

namespace hemlockglade {

namespace {

/// What is left of a weight that halves in each half life.
double faded(double weight, Span age, Span halfLife) {
  return weight * std::exp2(-inSeconds(age) / inSeconds(halfLife));
}

/// Something is due then, unless it is due before.
void bringForward(std::optional<Instant> &due, Instant at) {
  due = std::min(due.value_or(at), at);
}

/// Requests a second that keep a fading count at a weight.
double rateOfWeight(double weight, Span halfLife) {
  constexpr double Ln2 = 0.6931471805599453;
  return weight * Ln2 / inSeconds(halfLife);
}

} // namespace

void CellPlacement::setReplicas(const std::vector<ReplicaPtr> &replicas,
                                const std::shared_ptr<const RoutePlan> &plan,
                                Instant now) {
  std::map<std::string, Book> kept;
  double rate = 0;
  for (const auto &record : replicas) {
    const auto *service = plan ? plan->service(record->Service) : nullptr;
    if (!service || !service->Engine)
      continue;
    auto it = Books.find(record->Incarnation.text());
    bool isNew = it == Books.end();
    auto &book = kept[record->Incarnation.text()];
    if (!isNew)
      book = std::move(it->second);
    book.Record = record;
    book.Plan = plan;
    book.Engine = &*service->Engine;
    rate = std::max(rate, book.Engine->LoadsPerSecond);
    if (isNew) {
      // A heartbeat does not tell how many orders the engine has accepted.
      adopt(book, record->Held, {}, 0, now);
      book.ReportDue = now;
    }
  }
  if (kept.size() != Books.size())
    changed();
  Books = std::move(kept);
  Pace.setRate(rate);
}

Span CellPlacement::Book::modelLoadTime(const ModelSpec &model) const {
  if (Local.InMemory.contains(model.Name))
    return model.LoadTimeFromMemory;
  if (Local.OnDisk.contains(model.Name))
    return model.LoadTimeFromDisk;
  return model.LoadTime;
}

void CellPlacement::forget() {
  for (auto &[id, book] : Books) {
    book.OrderOpen = false;
    book.ReportOpen = false;
    book.ReportDue = Instant{};
  }
}

void CellPlacement::adopt(Book &book, const HeldWeights &held,
                          const HeldWeights &pending, std::uint64_t count,
                          Instant now) {
  Residency next;
  for (const auto &[weights, version] : held) {
    auto it = book.Held.find(weights);
    bool same = it != book.Held.end() && it->second.Version == version;
    next[weights] = same ? it->second : ResidentWeights{version, now, false};
    next[weights].ReadyAt = std::min(next[weights].ReadyAt, now);
  }
  for (const auto &[weights, version] : pending) {
    auto it = book.Held.find(weights);
    if (it != book.Held.end() && it->second.ReadyAt > now)
      next[weights] = it->second;
    else
      next[weights] = {version, now + Setup.AdapterLoad, false};
  }
  book.Count = count;
  if (next != book.Held)
    changed();
  book.Held = std::move(next);
}

void CellPlacement::setVersion(const WeightsRef &weights,
                               std::uint64_t version) {
  auto &known = Versions[weights];
  known = std::max(known, version);
  CopiesKnown = false;
}

bool CellPlacement::current(const WeightsRef &weights,
                            std::uint64_t version) const {
  auto it = Versions.find(weights);
  // Base models are replaced in place, one after the other; an older version
  // goes on serving until then.
  return weights.Adapter.empty() || it == Versions.end() ||
         version >= it->second;
}

double CellPlacement::rate(const Demand &demand, Instant now) const {
  auto age = now - demand.At;
  double slow = rateOfWeight(faded(demand.Weight, age, Setup.DemandHalfLife),
                             Setup.DemandHalfLife);
  if (Setup.FastHalfLife <= Span(0))
    return slow;
  double fast = faded(demand.FastWeight, age, Setup.FastHalfLife);
  bool sure = fast >= Setup.FastLeast;
  return sure ? std::max(slow, rateOfWeight(fast, Setup.FastHalfLife)) : slow;
}

double CellPlacement::rateOf(const DemandKey &key, Instant now) const {
  auto it = Demands.find(key);
  return it == Demands.end() ? 0 : rate(it->second, now);
}

void CellPlacement::onDemand(const std::string &service,
                             const WeightsRef &weights, double requests,
                             Instant now) {
  auto &demand = Demands[{service, weights}];
  auto age = now - demand.At;
  demand.Weight = faded(demand.Weight, age, Setup.DemandHalfLife) + requests;
  if (Setup.FastHalfLife > Span(0))
    demand.FastWeight =
        faded(demand.FastWeight, age, Setup.FastHalfLife) + requests;
  demand.At = now;
  demand.LastAsked = now;
}

void CellPlacement::onWaiting(const std::string &service,
                              const WeightsRef &weights, Instant now) {
  auto &demand = Demands[{service, weights}];
  if (!demand.WantedAt)
    demand.WantedAt = now;
  demand.RemindedAt = now;
  Wanted.insert({service, weights});
  demand.LastAsked = now;
}

void CellPlacement::onCongested(const std::string &service,
                                const WeightsRef &weights, Instant now) {
  Demands[{service, weights}].PressedAt = now;
}

void CellPlacement::onUse(const std::string &replica, const WeightsRef &weights,
                          std::int32_t change) {
  auto [it, isNew] = Uses.try_emplace({replica, weights}, 0);
  it->second += change;
  if (it->second <= 0)
    Uses.erase(it);
}

void CellPlacement::setRunning(const std::string &replica,
                               std::uint32_t running) {
  auto it = Books.find(replica);
  if (it != Books.end())
    it->second.Running = running;
}

void CellPlacement::noteLate(const ResidentWeights &held, Instant now) {
  // Only a load that was due just now tells of the weight store's speed; what
  // was due long ago has been dropped or lost.
  constexpr auto JustDue = std::chrono::milliseconds(150);
  if (now - held.ReadyAt < JustDue)
    Pace.onLate(now);
}

void CellPlacement::onRefusedEarly(const std::string &replica,
                                   const WeightsRef &weights, Instant now) {
  constexpr auto Again = std::chrono::milliseconds(60);
  auto it = Books.find(replica);
  if (it == Books.end())
    return;
  auto held = it->second.Held.find(weights);
  if (held == it->second.Held.end())
    return;
  noteLate(held->second, now);
  held->second.ReadyAt = std::max(held->second.ReadyAt, now + Again);
  changed();
}

void CellPlacement::onMissing(const std::string &replica,
                              const WeightsRef &weights, Instant now) {
  auto it = Books.find(replica);
  if (it == Books.end())
    return;
  auto held = it->second.Held.find(weights);
  if (held == it->second.Held.end())
    return;
  noteLate(held->second, now);
  it->second.ReportDue = now;
}

const Residency &CellPlacement::residency(const std::string &replica) const {
  static const Residency None;
  auto it = Books.find(replica);
  return it == Books.end() ? None : it->second.Held;
}

std::vector<std::string> CellPlacement::replicas() const {
  std::vector<std::string> out;
  for (const auto &[id, book] : Books)
    out.push_back(id);
  return out;
}

std::size_t CellPlacement::adapters(const Book &book) const {
  std::size_t n = 0;
  for (const auto &[weights, held] : book.Held)
    n += weights.Adapter.empty() ? 0 : 1;
  return n;
}

std::size_t CellPlacement::loading(const Book &book, Instant now) const {
  std::size_t n = book.Making && !book.Held.contains(*book.Making) ? 1 : 0;
  for (const auto &[weights, held] : book.Held)
    n += !weights.Adapter.empty() && held.ReadyAt > now ? 1 : 0;
  return n;
}

std::size_t CellPlacement::loading(Instant now) const {
  std::size_t n = 0;
  for (const auto &[id, book] : Books)
    n += loading(book, now);
  return n;
}

bool CellPlacement::mayLoad(Instant now) {
  if (loading(now) + LoadingElsewhere < Pace.limit())
    return true;
  Pace.onLoadDelayed(now);
  return false;
}

bool CellPlacement::orderable(const Book &book, Instant now) const {
  return !book.Replaced && !book.OrderOpen && !book.ReportOpen &&
         !book.ReportDue && book.ModelBusyUntil <= now &&
         book.RestsUntil <= now;
}

void CellPlacement::countCopies() {
  CopiesKnown = true;
  Copies.clear();
  for (const auto &[id, book] : Books) {
    if (book.Replaced)
      continue;
    for (const auto &[weights, held] : book.Held)
      if (!held.Leaving && current(weights, held.Version))
        ++Copies[{book.Record->Service, weights}];
    if (book.Making && !book.Held.contains(*book.Making))
      ++Copies[{book.Record->Service, *book.Making}];
  }
}

std::size_t CellPlacement::copies(const DemandKey &key) {
  if (!CopiesKnown)
    countCopies();
  auto it = Copies.find(key);
  return it == Copies.end() ? 0 : it->second;
}

Span CellPlacement::loadTime(const Book &book, const WeightsRef &weights,
                             Instant now) const {
  bool quick = std::find(book.Quick.begin(), book.Quick.end(), weights) !=
               book.Quick.end();
  // Loads beyond those at full speed share it.
  double share =
      std::max(1.0, static_cast<double>(loading(now) + LoadingElsewhere + 1) /
                        static_cast<double>(Pace.limit()));
  double us = static_cast<double>(Setup.AdapterLoad.count());
  us *= quick ? Setup.QuickShare : share;
  constexpr double SlackUs = 12'000;
  return Span(static_cast<std::int64_t>(us + SlackUs));
}

void CellPlacement::remember(Book &book, const WeightsRef &weights) {
  book.Quick.remove(weights);
  book.Quick.push_front(weights);
  if (book.Quick.size() > Setup.QuickMemory)
    book.Quick.pop_back();
}

void CellPlacement::rest(Book &book, Instant now) {
  constexpr std::uint32_t MostDoublings = 10;
  auto doublings = std::min(book.Unanswered++, MostDoublings);
  book.RestsUntil =
      now + std::min(Setup.LongestRest, Setup.FirstRest * (1 << doublings));
}

void CellPlacement::onOrderAnswer(const std::string &replica,
                                  const EngineOrder &order, OrderAnswer answer,
                                  Instant now) {
  auto it = Books.find(replica);
  if (it == Books.end())
    return;
  auto &book = it->second;
  book.OrderOpen = false;
  changed();
  bool isModel = order.Weights.Adapter.empty();
  bool load = order.Kind == OrderKind::Load;
  if (answer == OrderAnswer::Unknown)
    rest(book, now);
  else
    book.Unanswered = 0;
  bool madeRoom = !load && answer == OrderAnswer::Holds;
  if (!madeRoom)
    book.Making.reset();
  CopiesKnown = false;
  switch (answer) {
  case OrderAnswer::Accepted:
  case OrderAnswer::Holds:
    if (load) {
      bool holds = answer == OrderAnswer::Holds;
      Span takes = holds ? Span(0) : loadTime(book, order.Weights, now);
      if (isModel && !holds) {
        // The time that the plan names holds for a load from the store alone;
        // the engine's own report tells when it is over.
        const auto *model = book.Engine->model(order.Weights.Model);
        takes = model ? book.modelLoadTime(*model) : Span(0);
        book.FromStore = !book.hasCopy(order.Weights.Model);
        book.ModelBusyUntil = now + takes;
        bringForward(book.ReportDue,
                     now + (book.FromStore ? takes / 4 : takes));
      }
      book.Held[order.Weights] = {order.Version, now + takes, false};
      book.Count += holds ? 0 : 1;
    } else {
      remember(book, order.Weights);
      if (answer == OrderAnswer::Holds) {
        book.Held.erase(order.Weights);
        book.Count += 1;
      } else {
        // It goes once its requests are over.
        book.Count += 1;
        bringForward(book.CheckDue, now + Setup.DoubtDelay);
      }
    }
    return;
  case OrderAnswer::Conflict:
  case OrderAnswer::Rejected:
  case OrderAnswer::Fenced:
  case OrderAnswer::Unknown:
    if (!load && book.Held.contains(order.Weights))
      book.Held[order.Weights].Leaving = false;
    // An order without an answer may be carried out at any time, but not after
    // another one that expects the same count: the next order settles which of
    // the two holds, so that nothing has to wait.
    if (answer != OrderAnswer::Unknown)
      book.ReportDue = now;
    return;
  case OrderAnswer::OtherIncarnation:
    book.Replaced = true;
    return;
  }
}

bool CellPlacement::reportsThisStart(Book &book, const HoldingsReport &report,
                                     Instant now) const {
  auto ours = book.Record->Incarnation.startedAtMs();
  auto its = report.StartedAtMs;
  if (!ours || !its || ours == its)
    return true;
  // A later start is in the registry within a heartbeat; until then the books
  // of this one order nothing. An earlier one's report was on its way.
  if (its > ours)
    book.Replaced = true;
  else
    book.ReportDue = now + Setup.DoubtDelay;
  return false;
}

void CellPlacement::onReport(const std::string &replica,
                             const std::optional<HoldingsReport> &report,
                             Instant now) {
  auto it = Books.find(replica);
  if (it == Books.end())
    return;
  auto &book = it->second;
  book.ReportOpen = false;
  if (!report) {
    rest(book, now);
    book.ReportDue = book.RestsUntil;
    // That look settles what leaves as well.
    book.CheckDue.reset();
    return;
  }
  book.Unanswered = 0;
  if (!reportsThisStart(book, *report, now))
    return;
  book.Local = report->Local;
  book.ReportDue.reset();
  book.CheckDue.reset();
  Residency before = book.Held;
  adopt(book, report->Held, report->Pending, report->OrderCount, now);
  if (report->Busy) {
    book.ReportDue = now + Setup.DoubtDelay;
    return;
  }
  book.ModelBusyUntil = std::min(book.ModelBusyUntil, now);
  for (const auto &[weights, held] : before) {
    bool stays = held.Leaving && book.Held.contains(weights);
    if (!stays)
      continue;
    book.Held[weights].Leaving = true;
    book.CheckDue = now + Setup.DoubtDelay;
  }
}

} // namespace hemlockglade
