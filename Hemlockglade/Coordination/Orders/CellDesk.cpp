#include "Hemlockglade/Coordination/Orders/CellDesk.h"

#include <algorithm>
#include <cmath>

namespace hemlockglade {

namespace {

/// Demand below this is forgotten: one request some 60 s ago.
constexpr double LeastDemand = 0.005;
/// A load for demand alone, with nobody waiting, has to gain this much over
/// what it drops.
constexpr double GainOverVictim = 1.5;
/// Copies for demand alone that are ordered in one round.
constexpr int CopiesARound = 3;

double seconds(Span span) {
  return std::chrono::duration<double>(span).count();
}

std::uint64_t mix(std::string_view a, std::string_view b) {
  return std::hash<std::string_view>{}(a)*31 + std::hash<std::string_view>{}(b);
}

} // namespace

void CellDesk::setReplicas(const std::vector<ReplicaPtr> &replicas,
                           const std::shared_ptr<const RoutePlan> &plan,
                           Instant now) {
  std::map<std::string, Book> kept;
  for (const auto &record : replicas) {
    const auto *service = plan ? plan->service(record->Service) : nullptr;
    if (!service || !service->Engine)
      continue;
    auto it = Books.find(record->Incarnation);
    bool isNew = it == Books.end();
    auto &book = kept[record->Incarnation];
    if (!isNew)
      book = std::move(it->second);
    book.Record = record;
    book.Plan = plan;
    book.Engine = &*service->Engine;
    if (isNew) {
      // A heartbeat does not tell how many orders the engine has accepted.
      adopt(book, record->Held, {}, 0, now);
      book.ReportDue = now;
    }
  }
  if (kept.size() != Books.size())
    changed();
  Books = std::move(kept);
}

void CellDesk::forget() {
  for (auto &[id, book] : Books) {
    book.OrderOpen = false;
    book.ReportOpen = false;
    book.ReportDue = Instant{};
  }
}

void CellDesk::adopt(Book &book, const HeldWeights &held,
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

void CellDesk::setVersion(const WeightsRef &weights, std::uint64_t version) {
  auto &known = Versions[weights];
  known = std::max(known, version);
  CopiesKnown = false;
}

bool CellDesk::current(const WeightsRef &weights, std::uint64_t version) const {
  auto it = Versions.find(weights);
  // Base models are replaced in place, one after the other; an older version
  // goes on serving until then.
  return weights.Adapter.empty() || it == Versions.end() ||
         version >= it->second;
}

double CellDesk::rate(const Demand &demand, Instant now) const {
  constexpr double Ln2 = 0.6931471805599453;
  double halfLife = seconds(Setup.DemandHalfLife);
  double age = seconds(now - demand.At);
  return demand.Weight * std::exp2(-age / halfLife) * Ln2 / halfLife;
}

double CellDesk::rateOf(const DemandKey &key, Instant now) const {
  auto it = Demands.find(key);
  return it == Demands.end() ? 0 : rate(it->second, now);
}

double CellDesk::demandOf(const std::string &service, const WeightsRef &weights,
                          Instant now) const {
  return rateOf({service, weights}, now);
}

void CellDesk::onDemand(const std::string &service, const WeightsRef &weights,
                        double requests, Instant now) {
  auto &demand = Demands[{service, weights}];
  double age = seconds(now - demand.At);
  demand.Weight *= std::exp2(-age / seconds(Setup.DemandHalfLife));
  demand.Weight += requests;
  demand.At = now;
  demand.LastAsked = now;
}

void CellDesk::onWant(const std::string &service, const WeightsRef &weights,
                      Instant now) {
  auto &demand = Demands[{service, weights}];
  if (!demand.WantedAt)
    demand.WantedAt = now;
  Wanted.insert({service, weights});
  demand.LastAsked = now;
}

void CellDesk::onPressed(const std::string &service, const WeightsRef &weights,
                         Instant now) {
  Demands[{service, weights}].PressedAt = now;
}

void CellDesk::onUse(const std::string &replica, const WeightsRef &weights,
                     std::int32_t change) {
  auto [it, isNew] = Uses.try_emplace({replica, weights}, 0);
  it->second += change;
  if (it->second <= 0)
    Uses.erase(it);
}

void CellDesk::setRunning(const std::string &replica, std::uint32_t running) {
  auto it = Books.find(replica);
  if (it != Books.end())
    it->second.Running = running;
}

void CellDesk::onRefusedEarly(const std::string &replica,
                              const WeightsRef &weights, Instant now) {
  constexpr auto Again = std::chrono::milliseconds(60);
  auto it = Books.find(replica);
  if (it == Books.end())
    return;
  auto held = it->second.Held.find(weights);
  if (held == it->second.Held.end())
    return;
  held->second.ReadyAt = std::max(held->second.ReadyAt, now + Again);
  changed();
}

void CellDesk::onMissing(const std::string &replica, const WeightsRef &weights,
                         Instant now) {
  auto it = Books.find(replica);
  if (it == Books.end() || !it->second.Held.contains(weights))
    return;
  it->second.ReportDue = now;
}

const Residency &CellDesk::residency(const std::string &replica) const {
  static const Residency None;
  auto it = Books.find(replica);
  return it == Books.end() ? None : it->second.Held;
}

std::vector<std::string> CellDesk::replicas() const {
  std::vector<std::string> out;
  for (const auto &[id, book] : Books)
    out.push_back(id);
  return out;
}

std::size_t CellDesk::adapters(const Book &book) const {
  std::size_t n = 0;
  for (const auto &[weights, held] : book.Held)
    n += weights.Adapter.empty() ? 0 : 1;
  return n;
}

std::size_t CellDesk::loading(const Book &book, Instant now) const {
  std::size_t n = book.Making && !book.Held.contains(*book.Making) ? 1 : 0;
  for (const auto &[weights, held] : book.Held)
    n += !weights.Adapter.empty() && held.ReadyAt > now ? 1 : 0;
  return n;
}

std::size_t CellDesk::loading(Instant now) const {
  std::size_t n = 0;
  for (const auto &[id, book] : Books)
    n += loading(book, now);
  return n;
}

bool CellDesk::orderable(const Book &book, Instant now) const {
  return !book.Replaced && !book.OrderOpen && !book.ReportOpen &&
         !book.ReportDue && book.ModelBusyUntil <= now &&
         book.RestsUntil <= now;
}

void CellDesk::countCopies() {
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

std::size_t CellDesk::copies(const DemandKey &key) {
  if (!CopiesKnown)
    countCopies();
  auto it = Copies.find(key);
  return it == Copies.end() ? 0 : it->second;
}

Span CellDesk::loadTime(const Book &book, const WeightsRef &weights,
                        Instant now) const {
  bool quick = std::find(book.Quick.begin(), book.Quick.end(), weights) !=
               book.Quick.end();
  // Loads beyond those at full speed share it.
  double share =
      std::max(1.0, static_cast<double>(loading(now) + LoadingElsewhere + 1) /
                        static_cast<double>(Setup.LoadsAtFullSpeed));
  double us = static_cast<double>(Setup.AdapterLoad.count());
  us *= quick ? Setup.QuickShare : share;
  constexpr double SlackUs = 12'000;
  return Span(static_cast<std::int64_t>(us + SlackUs));
}

void CellDesk::remember(Book &book, const WeightsRef &weights) {
  book.Quick.remove(weights);
  book.Quick.push_front(weights);
  if (book.Quick.size() > Setup.QuickMemory)
    book.Quick.pop_back();
}

double CellDesk::worthOf(const Book &book, const WeightsRef &weights,
                         const ResidentWeights &held, Instant now) {
  DemandKey key{book.Record->Service, weights};
  if (!current(weights, held.Version))
    return 0;
  auto it = Demands.find(key);
  if (it == Demands.end())
    return 0;
  // A copy is worth the requests that come to it.
  auto n = std::max<std::size_t>(1, copies(key));
  return rate(it->second, now) / static_cast<double>(n);
}

const WeightsRef *CellDesk::victim(const Book &book, double below,
                                   Instant now) {
  const WeightsRef *best = nullptr;
  double least = below;
  for (const auto &[weights, held] : book.Held) {
    if (weights.Adapter.empty() || held.Leaving || held.ReadyAt > now)
      continue;
    DemandKey key{book.Record->Service, weights};
    auto it = Demands.find(key);
    bool wanted = it != Demands.end() && it->second.WantedAt;
    bool recent = it != Demands.end() &&
                  now - it->second.LastAsked < Setup.RecentUse &&
                  copies(key) < 2 && current(weights, held.Version);
    bool used = Uses.contains({book.Record->Incarnation, weights});
    if (wanted || recent || used)
      continue;
    double worth = worthOf(book, weights, held, now);
    if (worth < least) {
      least = worth;
      best = &weights;
    }
  }
  return best;
}

void CellDesk::order(Book &book, OrderKind kind, const WeightsRef &weights,
                     std::string_view reason,
                     std::vector<DeskAction> &actions) {
  DeskAction action;
  action.Replica = book.Record->Incarnation;
  action.Order.Kind = kind;
  action.Order.Weights = weights;
  action.Order.ExpectedCount = book.Count;
  if (kind == OrderKind::Load) {
    auto it = Versions.find(weights);
    action.Order.Version = it == Versions.end() ? 0 : it->second;
  }
  action.Reason = reason;
  book.OrderOpen = true;
  if (kind == OrderKind::Unload) {
    book.Held[weights].Leaving = true;
    changed();
  }
  actions.push_back(std::move(action));
}

std::vector<DeskAction> CellDesk::plan(bool mayOrder, Instant now) {
  std::vector<DeskAction> actions;
  if (!mayOrder)
    return actions;
  for (auto &[id, book] : Books) {
    bool due = (book.ReportDue && *book.ReportDue <= now) ||
               (book.CheckDue && *book.CheckDue <= now);
    if (book.ReportOpen || book.OrderOpen || !due)
      continue;
    book.ReportOpen = true;
    actions.push_back({DeskAction::Kind::Report, id, {}, "books in doubt"});
  }
  planModels(actions, now);
  planAdapters(actions, now);
  return actions;
}

bool CellDesk::holdsAllModels(const Book &book) {
  const auto &models = book.Engine->Models;
  return std::all_of(models.begin(), models.end(), [&](const auto &it) {
    return book.Held.contains({it.Name, {}});
  });
}

void CellDesk::planModels(std::vector<DeskAction> &actions, Instant now) {
  auto busy = std::count_if(Books.begin(), Books.end(), [now](const auto &it) {
    return it.second.ModelBusyUntil > now;
  });
  auto underWay =
      static_cast<double>(busy) + static_cast<double>(ModelsElsewhere);
  for (auto &[id, book] : Books) {
    auto most = std::max(
        1.0, std::floor(Setup.ModelLoadsPerRate * book.Engine->LoadsPerSecond));
    if (now < NextModelLoad || underWay >= most)
      return;
    if (holdsAllModels(book) || !orderable(book, now))
      continue;
    double used = 0;
    for (const auto &[weights, held] : book.Held)
      if (const auto *model = book.Engine->model(weights.Model))
        used += weights.Adapter.empty() ? model->WeightsMb : model->AdapterMb;
    const ModelSpec *best = nullptr;
    double neediest = -1;
    for (const auto &model : book.Engine->Models) {
      WeightsRef weights{model.Name, {}};
      if (book.Held.contains(weights) ||
          used + model.WeightsMb > book.Engine->WeightsMb)
        continue;
      DemandKey key{book.Record->Service, weights};
      auto n = copies(key);
      double need = (rateOf(key, now) + LeastDemand) / (1.0 + double(n));
      if (need > neediest) {
        neediest = need;
        best = &model;
      }
    }
    if (!best)
      continue;
    order(book, OrderKind::Load, {best->Name, {}}, "model missing", actions);
    ++underWay;
    double gap = Setup.Cells / std::max(0.1, book.Engine->LoadsPerSecond);
    constexpr double UsPerS = 1e6;
    NextModelLoad = now + Span(static_cast<std::int64_t>(gap * UsPerS));
  }
}

void CellDesk::planAdapters(std::vector<DeskAction> &actions, Instant now) {
  for (auto &[id, book] : Books) {
    if (!book.Making || !orderable(book, now))
      continue;
    if (adapters(book) < book.Engine->AdapterSlots)
      order(book, OrderKind::Load, *book.Making, book.MakingFor, actions);
    else
      book.Making.reset();
  }
  planWanted(actions, now);
  if (now < NextScan)
    return;
  NextScan = now + Setup.ScanEvery;
  std::erase_if(Demands, [&](const auto &it) {
    return !it.second.WantedAt && rate(it.second, now) < LeastDemand;
  });
  planScarce(actions, now);
}

void CellDesk::planWanted(std::vector<DeskAction> &actions, Instant now) {
  // Loads are few a second: the most wanted first, others as they grow old.
  std::vector<std::pair<double, DemandKey>> waiting;
  for (auto it = Wanted.begin(); it != Wanted.end();) {
    auto &demand = Demands[*it];
    bool served = it->second.Adapter.empty() || copies(*it) > 0;
    if (served) {
      demand.WantedAt.reset();
      it = Wanted.erase(it);
      continue;
    }
    double age = seconds(now - demand.WantedAt.value_or(now));
    waiting.emplace_back(rate(demand, now) + Setup.WaitWeight * age, *it);
    ++it;
  }
  std::sort(waiting.rbegin(), waiting.rend());
  constexpr double Any = 1e9;
  for (const auto &[need, key] : waiting) {
    if (!mayLoad(now))
      return;
    place(key, Any, "requests wait", actions, now);
  }
}

void CellDesk::planScarce(std::vector<DeskAction> &actions, Instant now) {
  std::vector<std::pair<double, DemandKey>> scarce;
  for (const auto &[key, demand] : Demands) {
    if (key.second.Adapter.empty() || demand.WantedAt)
      continue;
    double rateNow = rate(demand, now);
    bool pressed = now - demand.PressedAt < Setup.PressedFor;
    if (pressed)
      rateNow = std::max(rateNow, Setup.RateForCopy);
    if (rateNow < Setup.RateForCopy)
      continue;
    auto n = static_cast<double>(copies(key));
    if (n == 0 || pressed || rateNow > Setup.RatePerCopy * n)
      scarce.emplace_back(rateNow / (n + 1), key);
  }
  // What gains most first.
  std::sort(scarce.rbegin(), scarce.rend());
  int left = CopiesARound;
  for (const auto &[worth, key] : scarce) {
    if (left == 0 || !mayLoad(now))
      return;
    if (place(key, worth / GainOverVictim, "demand", actions, now))
      --left;
  }
}

bool CellDesk::place(const DemandKey &key, double worth,
                     std::string_view reason, std::vector<DeskAction> &actions,
                     Instant now) {
  Book *best = nullptr;
  const WeightsRef *drop = nullptr;
  double lowest = 0;
  for (auto &[id, book] : Books) {
    if (book.Record->Service != key.first || !orderable(book, now) ||
        book.Making || loading(book, now) >= Setup.LoadsPerReplica)
      continue;
    auto model = book.Held.find({key.second.Model, {}});
    auto held = book.Held.find(key.second);
    if (model == book.Held.end() || model->second.ReadyAt > now)
      continue;
    bool older = held != book.Held.end();
    if (older &&
        (held->second.Leaving || current(key.second, held->second.Version)))
      continue;
    bool full = !older && adapters(book) >= book.Engine->AdapterSlots;
    const auto *out = full ? victim(book, worth, now) : nullptr;
    if (full && !out)
      continue;
    double cost = full ? worthOf(book, *out, book.Held.at(*out), now) : 0;
    // The load of a replica counts in shares of its slots; coming back fast
    // outweighs half of them.
    cost += static_cast<double>(book.Running) / book.Engine->Slots;
    bool quick = std::find(book.Quick.begin(), book.Quick.end(), key.second) !=
                 book.Quick.end();
    // Replacing an older version in place waits for what runs on it; another
    // replica is better as long as one has room.
    constexpr double InPlace = 2;
    cost += older ? InPlace : 0;
    constexpr double QuickGain = 0.5;
    // An adapter goes to the same replica again where nothing speaks against
    // it: one that was dropped lately comes back ten times as fast.
    constexpr double Spread = 0.3;
    constexpr std::uint64_t Steps = 1024;
    cost -= quick ? QuickGain : 0;
    cost += Spread * static_cast<double>(mix(id, key.second.Adapter) % Steps) /
            Steps;
    if (best && cost >= lowest)
      continue;
    best = &book;
    drop = out;
    lowest = cost;
  }
  if (!best)
    return false;
  best->Making = key.second;
  best->MakingFor = reason;
  CopiesKnown = false;
  if (drop)
    order(*best, OrderKind::Unload, WeightsRef(*drop), reason, actions);
  else
    order(*best, OrderKind::Load, key.second, reason, actions);
  return true;
}

void CellDesk::rest(Book &book, Instant now) {
  constexpr std::uint32_t MostDoublings = 10;
  auto doublings = std::min(book.Unanswered++, MostDoublings);
  book.RestsUntil =
      now + std::min(Setup.LongestRest, Setup.FirstRest * (1 << doublings));
}

void CellDesk::onOrderAnswer(const std::string &replica,
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
        takes = model ? model->LoadTime : Span(0);
        book.ModelBusyUntil = now + takes;
        book.ReportDue = now + takes / 4;
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
        book.CheckDue = now + Setup.DoubtDelay;
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

void CellDesk::onReport(const std::string &replica,
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
    return;
  }
  book.Unanswered = 0;
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
