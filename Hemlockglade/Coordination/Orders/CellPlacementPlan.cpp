// What a desk orders, and why.

#include "Hemlockglade/Coordination/Orders/CellPlacement.h"

#include <algorithm>
#include <cmath>

namespace hemlockglade {

namespace {

/// Demand below this is forgotten: one request some 60 s ago.
constexpr double LeastDemand = 0.005;
/// Copies for demand alone that are ordered in one round.
constexpr int CopiesARound = 3;

/// Loads of base models a second that a plan is taken to allow at least.
constexpr double LeastRate = 0.1;

std::uint64_t mix(std::string_view a, std::string_view b) {
  return std::hash<std::string_view>{}(a)*31 + std::hash<std::string_view>{}(b);
}

} // namespace

std::vector<PlacementAction> CellPlacement::plan(bool mayOrder, Instant now) {
  std::vector<PlacementAction> actions;
  // The owner before may have ordered just before its end.
  if (mayOrder && !MayOrder)
    NextModelLoad = std::max(NextModelLoad, now + Setup.ModelPauseOfNewOwner);
  MayOrder = mayOrder;
  if (!mayOrder)
    return actions;
  for (auto &[id, book] : Books) {
    bool due = (book.ReportDue && *book.ReportDue <= now) ||
               (book.CheckDue && *book.CheckDue <= now);
    if (book.ReportOpen || book.OrderOpen || !due)
      continue;
    book.ReportOpen = true;
    actions.push_back(
        {PlacementAction::Kind::Report, id, {}, "books in doubt"});
  }
  planModels(actions, now);
  planAdapters(actions, now);
  return actions;
}

bool CellPlacement::holdsAllModels(const Book &book) {
  const auto &models = book.Engine->Models;
  return std::all_of(models.begin(), models.end(), [&](const auto &it) {
    return book.Held.contains({it.Name, {}});
  });
}

std::size_t CellPlacement::modelsFromStore(Instant now) const {
  auto n = std::count_if(Books.begin(), Books.end(), [now](const auto &it) {
    return it.second.FromStore && it.second.ModelBusyUntil > now;
  });
  return static_cast<std::size_t>(n) + ModelsElsewhere;
}

const ModelSpec *CellPlacement::missingModel(const Book &book, Instant now) {
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
  return best;
}

void CellPlacement::planModels(std::vector<PlacementAction> &actions,
                               Instant now) {
  std::vector<std::pair<Book *, const ModelSpec *>> needy;
  for (auto &[id, book] : Books) {
    if (holdsAllModels(book) || !orderable(book, now))
      continue;
    const auto *model = missingModel(book, now);
    if (!model)
      continue;
    // A copy on the engine's own host costs the weight store nothing: such
    // loads need not wait for each other. Engines that come back together serve
    // again after 2 s, not one after the other.
    if (book.hasCopy(model->Name))
      order(book, OrderKind::Load, {model->Name, {}}, "model missing", actions);
    else
      needy.emplace_back(&book, model);
  }
  auto rate = LeastRate;
  for (const auto &[book, model] : needy)
    rate = std::max(rate, book->Engine->LoadsPerSecond);
  if (needy.empty() || !mayLoadFromStore(rate, now))
    return;
  auto &[book, model] = needy.front();
  order(*book, OrderKind::Load, {model->Name, {}}, "model missing", actions);
  NextModelLoad = now + spanOf(Setup.CellCount / rate);
  StoreFreeSince.reset();
}

bool CellPlacement::mayLoadFromStore(double rate, Instant now) {
  auto most = std::max(1.0, std::floor(Setup.ModelLoadsPerRate * rate));
  auto fromStore = static_cast<double>(modelsFromStore(now));
  if (now < NextModelLoad || fromStore >= most) {
    StoreFreeSince.reset();
    return false;
  }
  if (!StoreFreeSince)
    StoreFreeSince = now;
  auto turn = std::min(Setup.HeardWithin, spanOf(1 / rate)) * Setup.CellIndex;
  return now >= *StoreFreeSince + turn;
}

void CellPlacement::planAdapters(std::vector<PlacementAction> &actions,
                                 Instant now) {
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

void CellPlacement::planWanted(std::vector<PlacementAction> &actions,
                               Instant now) {
  // Loads are few a second: the most wanted first, others as they grow old.
  std::vector<std::pair<double, DemandKey>> waiting;
  for (auto it = Wanted.begin(); it != Wanted.end();) {
    auto &demand = Demands[*it];
    bool served = it->second.Adapter.empty() || copies(*it) > 0;
    bool givenUp = now - demand.RemindedAt > Setup.WantLasts;
    if (served || givenUp) {
      demand.WantedAt.reset();
      it = Wanted.erase(it);
      continue;
    }
    double age = inSeconds(now - demand.WantedAt.value_or(now));
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

void CellPlacement::planScarce(std::vector<PlacementAction> &actions,
                               Instant now) {
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
    auto perCopy = pressed ? Setup.PressedRatePerCopy : Setup.RatePerCopy;
    if (n == 0 || rateNow > perCopy * n)
      scarce.emplace_back(rateNow / (n + 1), key);
  }
  // What gains most first.
  std::sort(scarce.rbegin(), scarce.rend());
  int left = CopiesARound;
  for (const auto &[worth, key] : scarce) {
    if (left == 0 || !mayLoad(now))
      return;
    if (place(key, worth / Setup.GainOverVictim, "demand", actions, now))
      --left;
  }
}

bool CellPlacement::place(const DemandKey &key, double worth,
                          std::string_view reason,
                          std::vector<PlacementAction> &actions, Instant now) {
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
    constexpr std::uint64_t Steps = 1024;
    cost -= quick ? Setup.QuickGain : 0;
    cost += Setup.SamePlaceGain *
            static_cast<double>(mix(id, key.second.Adapter) % Steps) / Steps;
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

const WeightsRef *CellPlacement::victim(const Book &book, double below,
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
    bool used = Uses.contains({book.Record->Incarnation.text(), weights});
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

double CellPlacement::worthOf(const Book &book, const WeightsRef &weights,
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

void CellPlacement::order(Book &book, OrderKind kind, const WeightsRef &weights,
                          std::string_view reason,
                          std::vector<PlacementAction> &actions) {
  PlacementAction action;
  action.Replica = book.Record->Incarnation.text();
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

} // namespace hemlockglade
