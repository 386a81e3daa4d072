#pragma once

#include "Hemlockglade/Coordination/Quota/QuotaClient.h"

#include "UnitTests/Coordination/VirtualTime.h"

#include <memory>
#include <random>
#include <utility>

namespace hemlockglade::test {

/// How entries share a limit.
enum class QuotaWay : std::uint8_t {
  /// Keepers grant, ahead where there is demand.
  Granted,
  /// Each request asks its keeper.
  AskEach,
  /// Each entry has an equal part of the limit to itself.
  EvenSplit,
};

/// Entries and owners of cells that share one workspace's limit, in virtual
/// time: messages take time, owners and entries are lost, stand still, and are
/// replaced.
class QuotaWorld {
public:
  struct Settings {
    QuotaWay Way = QuotaWay::Granted;
    std::size_t Entries = 9;
    std::size_t Cells = 3;
    WorkspaceLimit Limit;
    QuotaSettings Quota;
    std::uint32_t Seed = 1;
    /// One way between nodes, at most.
    Span Delay = std::chrono::microseconds(1500);
    /// From the loss of an owner until the next one may grant.
    Span Takeover = std::chrono::milliseconds(7000);
  };
  struct Request {
    Instant SentAt{};
    Instant DecidedAt{};
    double Units = 0;
    QuotaClient::Verdict What = QuotaClient::Verdict::Allowed;
    Span RetryAfter{0};
  };

  explicit QuotaWorld(Settings settings)
      : Setup(settings), Random(settings.Seed) {
    Space.Name = "w";
    Space.Limit = Setup.Limit;
    for (std::size_t it = 0; it < Setup.Cells; ++it)
      CellNames.push_back("cell-" + std::to_string(it));
    for (const auto &it : CellNames)
      beginKeeper(Keepers[it], it);
    for (std::size_t it = 0; it < Setup.Entries; ++it)
      addEntry();
    tick();
  }

  /// Callers ask for so many units a second, in requests of about that size,
  /// at all entries or at the first alone.
  void load(double perSecond, double units, Span span, bool atOne = false) {
    std::exponential_distribution<double> gap(perSecond / units);
    std::uniform_real_distribution<double> size(0.5 * units, 1.5 * units);
    double at = 0;
    while (true) {
      at += gap(Random);
      if (spanOf(at) > span)
        break;
      auto n = size(Random);
      auto entry = atOne ? 0 : Random() % Entries.size();
      Time.after(spanOf(at), [this, entry, n] { ask(entry, n); });
    }
  }

  /// One request at an entry.
  void ask(std::size_t entry, double units) {
    auto &at = *Entries[entry];
    if (at.FrozenUntil > Time.now())
      return;
    auto number = Requests.size();
    Requests.push_back({Time.now(), {}, units});
    if (Setup.Way == QuotaWay::EvenSplit) {
      bool passes = at.Own.tryTake(units, Time.now());
      return decide({number, passes ? QuotaClient::Verdict::Allowed
                                    : QuotaClient::Verdict::Limited});
    }
    if (auto decision = at.Account->reserve(number, Space, units, Time.now()))
      decide(*decision);
    pumpSoon(entry);
  }

  void advance(Span span) { Time.advance(span); }
  Instant now() const { return Time.now(); }

  /// An entry is lost with what it was granted, and comes back knowing nothing.
  void restartEntry(std::size_t entry) {
    auto &it = *Entries[entry];
    ++it.Life;
    newAccount(it);
  }
  /// It stands still for a while; what was granted waits with it.
  void freezeEntry(std::size_t entry, Span span) {
    Entries[entry]->FrozenUntil = Time.now() + span;
  }
  /// The owner of a cell is lost; the next one grants after a while.
  void loseOwner(std::size_t cell) {
    auto &keeper = Keepers[CellNames[cell]];
    keeper.Keeper = nullptr;
    Time.after(Setup.Takeover, [this, &keeper, name = CellNames[cell]] {
      beginKeeper(keeper, name);
    });
  }
  /// The process of an owner starts anew at once.
  void restartOwner(std::size_t cell) {
    beginKeeper(Keepers[CellNames[cell]], CellNames[cell]);
  }
  void setLimit(const WorkspaceLimit &limit) {
    Space.Limit = limit;
    for (auto &[name, it] : Keepers)
      if (it.Keeper)
        it.Keeper->setLimits(directory(), CellNames, Time.now());
  }
  void giveBack(std::size_t entry, double units) {
    Entries[entry]->Account->release(Space, units, Time.now());
  }

  const std::vector<Request> &requests() const { return Requests; }
  std::uint64_t messages() const { return Messages; }
  std::size_t entries() const { return Entries.size(); }

  /// Most units that passed within any window, of those that were sent in it.
  double mostWithin(Span window) const {
    std::vector<std::pair<Instant, double>> passed;
    for (const auto &it : Requests)
      if (it.What == QuotaClient::Verdict::Allowed && it.DecidedAt > Instant{})
        passed.emplace_back(it.DecidedAt, it.Units);
    std::sort(passed.begin(), passed.end());
    double most = 0;
    double sum = 0;
    std::size_t first = 0;
    for (const auto &[at, units] : passed) {
      sum += units;
      while (passed[first].first < at - window)
        sum -= passed[first++].second;
      most = std::max(most, sum);
    }
    return most;
  }

  /// Units that passed, and share of the requests that were refused, of those
  /// sent from a moment on.
  std::pair<double, double> outcome(Instant from) const {
    double passed = 0;
    double refused = 0;
    double all = 0;
    for (const auto &it : Requests) {
      if (it.SentAt < from)
        continue;
      ++all;
      if (it.What == QuotaClient::Verdict::Allowed)
        passed += it.Units;
      else
        ++refused;
    }
    return {passed, all > 0 ? refused / all : 0};
  }

  /// Longest time that a request waited to be decided.
  Span longestWait() const {
    Span out{0};
    for (const auto &it : Requests)
      out = std::max(out, it.DecidedAt - it.SentAt);
    return out;
  }

  const Settings Setup;

private:
  struct Entry {
    std::unique_ptr<QuotaClient> Account;
    TokenBucket Own{TokenBucket::Settings{}, Instant{}};
    std::string Cell;
    Instant FrozenUntil{};
    std::uint64_t Life = 0;
    bool PumpDue = false;
  };
  struct Owner {
    std::unique_ptr<QuotaServer> Keeper;
  };

  WorkspaceDirectory directory() const {
    return WorkspaceDirectory({{Space, {}}});
  }

  void beginKeeper(Owner &owner, const std::string &cell) {
    owner.Keeper = std::make_unique<QuotaServer>(cell, Setup.Quota);
    owner.Keeper->setLimits(directory(), CellNames, Time.now());
  }

  void addEntry() {
    auto it = std::make_unique<Entry>();
    it->Cell = CellNames[Entries.size() % CellNames.size()];
    auto part = Setup.Limit;
    auto n = static_cast<double>(Setup.Entries);
    it->Own = TokenBucket({part.PerSecond / n, part.Burst / n, 0}, Time.now());
    newAccount(*it);
    Entries.push_back(std::move(it));
  }

  void newAccount(Entry &it) {
    QuotaClient::Settings settings;
    if (Setup.Way == QuotaWay::AskEach)
      settings.AheadFor = Span(0);
    it.Account = std::make_unique<QuotaClient>(settings, Setup.Quota);
    it.Account->setCells(CellNames, it.Cell);
    it.Account->setEntries(Setup.Entries);
  }

  void decide(const QuotaClient::Decision &it) {
    auto &request = Requests[it.Number];
    request.What = it.Result;
    request.RetryAfter = it.RetryAfter;
    request.DecidedAt = Time.now();
  }
  void decide(const std::vector<QuotaClient::Decision> &all) {
    for (const auto &it : all)
      decide(it);
  }

  /// Calls back at an entry in the life that it has now, once it runs.
  void atEntry(std::size_t entry, Span delay, std::function<void()> call) {
    auto life = Entries[entry]->Life;
    Time.after(delay, [this, entry, life, call = std::move(call)] {
      auto &it = *Entries[entry];
      if (it.Life != life)
        return;
      if (it.FrozenUntil > Time.now())
        return atEntry(entry, it.FrozenUntil - Time.now(), call);
      call();
    });
  }

  void pumpSoon(std::size_t entry) {
    if (std::exchange(Entries[entry]->PumpDue, true))
      return;
    Time.after(Span(0), [this, entry] {
      Entries[entry]->PumpDue = false;
      if (Entries[entry]->FrozenUntil <= Time.now())
        pump(entry);
    });
  }

  void pump(std::size_t entry) {
    for (const auto &it : Entries[entry]->Account->takeRequests(Time.now())) {
      ++Messages;
      Time.after(delay(), [this, entry, it] { onAsk(entry, it); });
    }
  }

  void onAsk(std::size_t entry, const QuotaClient::Message &message) {
    auto &owner = Keepers[message.Cell];
    if (!owner.Keeper)
      return;
    ++Messages;
    std::vector<QuotaGrant> grants;
    for (const auto &it : message.Requests)
      grants.push_back(owner.Keeper->onRequest(it, Time.now()));
    atEntry(entry, delay(), [this, entry, message, grants] {
      decide(Entries[entry]->Account->onGrants(message.Cell, message.Number,
                                               grants, Time.now()));
      pump(entry);
    });
  }

  void tick() {
    for (std::size_t it = 0; it < Entries.size(); ++it) {
      if (Entries[it]->FrozenUntil > Time.now())
        continue;
      decide(Entries[it]->Account->tick(Time.now()));
      pump(it);
    }
    constexpr Span Every = std::chrono::milliseconds(50);
    Time.after(Every, [this] { tick(); });
  }

  Span delay() {
    std::uniform_int_distribution<std::int64_t> any(50, Setup.Delay.count());
    return Span(any(Random));
  }

  std::mt19937 Random;
  VirtualTime Time;
  Workspace Space;
  std::vector<std::string> CellNames;
  std::map<std::string, Owner> Keepers;
  std::vector<std::unique_ptr<Entry>> Entries;
  std::vector<Request> Requests;
  std::uint64_t Messages = 0;
};

} // namespace hemlockglade::test
