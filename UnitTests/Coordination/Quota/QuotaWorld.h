#pragma once

#include "Hemlockglade/Coordination/Quota/QuotaClient.h"

#include "UnitTests/Coordination/VirtualTime.h"

#include <memory>
#include <random>
#include <utility>

namespace hemlockglade::test {

/// How entries share a limit.
enum class QuotaSharing : std::uint8_t {
  /// Quota servers grant units, ahead where there is demand.
  Granted,
  /// Each request is sent to a quota server.
  PerRequest,
  /// Each entry has an equal part of the limit for itself.
  EvenSplit,
};

/// Simulates entries and owners of cells that share one workspace's limit, in
/// virtual time: messages are delayed, and owners and entries fail, freeze and
/// restart.
class QuotaWorld {
public:
  struct Settings {
    QuotaSharing Sharing = QuotaSharing::Granted;
    std::size_t Entries = 9;
    std::size_t Cells = 3;
    WorkspaceLimit Limit;
    QuotaSettings Quota;
    std::uint32_t Seed = 1;
    /// Maximum one-way delay between nodes.
    Span Delay = std::chrono::microseconds(1500);
    /// Time from the failure of an owner until the next one may grant.
    Span Takeover = std::chrono::milliseconds(7000);
  };
  struct Request {
    Instant SentAt{};
    Instant DecidedAt{};
    double Units = 0;
    std::size_t Entry = 0;
    QuotaClient::Verdict Result = QuotaClient::Verdict::Allowed;
    Span RetryAfter{0};
  };

  explicit QuotaWorld(Settings settings)
      : Options(settings), Random(settings.Seed) {
    LimitedWorkspace.Name = "w";
    LimitedWorkspace.Limit = Options.Limit;
    if (Options.Limit.Unit == LimitUnit::ReplicaRequests)
      LimitedWorkspace = replicaQuotaHolder("i-1", Options.Limit.PerSecond);
    if (Options.Limit.Unit == LimitUnit::ReplicaPlaces)
      LimitedWorkspace = replicaPlaceHolder("i-1", Options.Limit.Places,
                                            Options.Limit.PerSecond);
    for (std::size_t it = 0; it < Options.Entries; ++it)
      EntryNames.push_back("n" + std::to_string(it));
    for (std::size_t it = 0; it < Options.Cells; ++it)
      CellNames.push_back("cell-" + std::to_string(it));
    for (const auto &it : CellNames)
      startServer(Owners[it], it);
    for (std::size_t it = 0; it < Options.Entries; ++it)
      addEntry();
    tick();
  }

  /// Schedules requests of `units` on average that add up to `perSecond`, at
  /// all entries or only at the first.
  void load(double perSecond, double units, Span span,
            bool atOneEntry = false) {
    std::exponential_distribution<double> gap(perSecond / units);
    std::uniform_real_distribution<double> size(0.5 * units, 1.5 * units);
    double at = 0;
    while (true) {
      at += gap(Random);
      if (spanOf(at) > span)
        break;
      bool isReplica = Options.Limit.Unit == LimitUnit::ReplicaRequests;
      auto n = isReplica ? 1 : size(Random);
      auto entry = atOneEntry ? 0 : Random() % Entries.size();
      Time.after(spanOf(at), [this, entry, n] { reserve(entry, n); });
    }
  }

  /// Reports requests that an entry sent to a replica without a grant.
  void reportSent(std::size_t entry, std::span<const Span> ago) {
    Entries[entry]->Client->addSent(LimitedWorkspace, ago, Time.now());
    sendRequestsSoon(entry);
  }

  /// Sends one request to an entry.
  void reserve(std::size_t entry, double units, bool waits = false) {
    auto &at = *Entries[entry];
    if (at.FrozenUntil > Time.now())
      return;
    auto number = Requests.size();
    Requests.push_back({Time.now(), {}, units, entry});
    if (Options.Sharing == QuotaSharing::EvenSplit) {
      bool passes = at.OwnBucket.tryTake(units, Time.now());
      return decide({number, passes ? QuotaClient::Verdict::Allowed
                                    : QuotaClient::Verdict::Limited});
    }
    if (auto decision = at.Client->reserve(number, LimitedWorkspace, units,
                                           Time.now(), waits))
      decide(*decision);
    sendRequestsSoon(entry);
  }

  void advance(Span span) { Time.advance(span); }
  void after(Span span, std::function<void()> call) {
    Time.after(span, std::move(call));
  }
  /// Called with each decision, and the entry that it is for.
  std::function<void(std::size_t entry, const QuotaClient::Decision &decision)>
      OnDecided;
  std::uint64_t incarnationOf(std::size_t entry) const {
    return Entries[entry]->Incarnation;
  }
  Instant now() const { return Time.now(); }

  /// Restarts an entry, which loses its grants and its state.
  void restartEntry(std::size_t entry) {
    auto &it = *Entries[entry];
    for (auto &[name, owner] : Owners)
      if (owner.Server)
        owner.Server->onEntryGone(entryId(entry), Time.now());
    ++it.Incarnation;
    startClient(it);
  }
  /// Freezes an entry for a while; it keeps its grants.
  void freezeEntry(std::size_t entry, Span span) {
    Entries[entry]->FrozenUntil = Time.now() + span;
  }
  /// Stops the owner of a cell; the next one starts after `Takeover`.
  void failOwner(std::size_t cell) {
    auto &owner = Owners[CellNames[cell]];
    owner.Server = nullptr;
    Time.after(Options.Takeover, [this, &owner, name = CellNames[cell]] {
      startServer(owner, name);
    });
  }
  /// Restarts the process of an owner at once.
  void restartOwner(std::size_t cell) {
    startServer(Owners[CellNames[cell]], CellNames[cell]);
  }
  /// Has owners and entries fail, freeze and restart, over some 42 s.
  void failOwnersAndEntries() {
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    advance(seconds(6));
    // The owners restart repeatedly.
    for (int round = 0; round < 4; ++round) {
      restartOwner(round % 3);
      advance(milliseconds(900));
    }
    failOwner(0);
    // A third of the entries restart and lose their grants.
    for (std::size_t at = 0; at < Entries.size(); at += 3)
      restartEntry(at);
    for (std::size_t at = 1; at < Entries.size(); at += 3)
      freezeEntry(at, milliseconds(1500));
    advance(seconds(12));
    // All entries and owners restart at once.
    for (std::size_t at = 0; at < Entries.size(); ++at)
      restartEntry(at);
    for (std::size_t cell = 0; cell < 3; ++cell)
      restartOwner(cell);
    advance(seconds(20));
  }
  void setLimit(const WorkspaceLimit &limit) {
    LimitedWorkspace.Limit = limit;
    for (auto &[name, it] : Owners)
      if (it.Server)
        it.Server->setLimits(directory(), CellNames, Time.now());
  }
  void release(std::size_t entry, double units) {
    Entries[entry]->Client->release(LimitedWorkspace, units, Time.now());
    sendRequestsSoon(entry);
  }

  const std::vector<Request> &requests() const { return Requests; }
  std::uint64_t messages() const { return Messages; }
  std::size_t entries() const { return Entries.size(); }

  /// Returns the maximum number of units that were allowed within any window.
  double maxWithin(Span window) const {
    std::vector<std::pair<Instant, double>> passed;
    for (const auto &it : Requests)
      if (it.Result == QuotaClient::Verdict::Allowed &&
          it.DecidedAt > Instant{})
        passed.emplace_back(it.DecidedAt, it.Units);
    std::sort(passed.begin(), passed.end());
    double maxUnits = 0;
    double sum = 0;
    std::size_t first = 0;
    for (const auto &[at, units] : passed) {
      sum += units;
      while (passed[first].first < at - window)
        sum -= passed[first++].second;
      maxUnits = std::max(maxUnits, sum);
    }
    return maxUnits;
  }

  /// Returns the units that passed and the share of requests that were refused,
  /// of the requests sent at `from` or later.
  std::pair<double, double> outcome(Instant from) const {
    double passed = 0;
    double refused = 0;
    double all = 0;
    for (const auto &it : Requests) {
      if (it.SentAt < from)
        continue;
      ++all;
      if (it.Result == QuotaClient::Verdict::Allowed)
        passed += it.Units;
      else
        ++refused;
    }
    return {passed, all > 0 ? refused / all : 0};
  }

  /// Returns the longest time that a request waited for its decision.
  Span longestWait() const {
    Span out{0};
    for (const auto &it : Requests)
      out = std::max(out, it.DecidedAt - it.SentAt);
    return out;
  }

  const Settings Options;

private:
  struct Entry {
    std::unique_ptr<QuotaClient> Client;
    TokenBucket OwnBucket{TokenBucket::Settings{}, Instant{}};
    std::string Name;
    std::string Cell;
    Instant FrozenUntil{};
    std::uint64_t Incarnation = 0;
    bool SendDue = false;
  };
  struct Owner {
    std::unique_ptr<QuotaServer> Server;
  };

  static constexpr std::uint64_t MaxIncarnations = 1000;
  /// Identifies an entry's process.
  std::uint64_t entryId(std::size_t entry) const {
    return entry * MaxIncarnations + Entries[entry]->Incarnation;
  }

  WorkspaceDirectory directory() const {
    return WorkspaceDirectory({{LimitedWorkspace, {}}});
  }

  void startServer(Owner &owner, const std::string &cell) {
    owner.Server = std::make_unique<QuotaServer>(cell, Options.Quota);
    owner.Server->reset(Time.now());
    owner.Server->setLimits(directory(), CellNames, Time.now());
  }

  void addEntry() {
    auto it = std::make_unique<Entry>();
    it->Cell = CellNames[Entries.size() % CellNames.size()];
    auto limit = Options.Limit;
    auto n = static_cast<double>(Options.Entries);
    it->OwnBucket =
        TokenBucket({limit.PerSecond / n, limit.Burst / n, 0}, Time.now());
    it->Name = EntryNames[Entries.size()];
    startClient(*it);
    Entries.push_back(std::move(it));
  }

  void startClient(Entry &it) {
    QuotaClient::Settings settings;
    if (Options.Sharing == QuotaSharing::PerRequest)
      settings.AheadFor = Span(0);
    it.Client = std::make_unique<QuotaClient>(settings, Options.Quota);
    it.Client->setCells(CellNames, it.Cell);
    it.Client->setEntries(Options.Entries);
    it.Client->setPlacesWithoutServer(
        [this, name = it.Name](const Workspace &holder) {
          return placesWithoutOwner(name, EntryNames, holder.Name,
                                    holder.Limit->Places);
        });
  }

  void decide(const QuotaClient::Decision &it) {
    auto &request = Requests[it.Number];
    request.Result = it.Result;
    request.RetryAfter = it.RetryAfter;
    request.DecidedAt = Time.now();
    if (OnDecided)
      OnDecided(request.Entry, it);
  }
  void decide(const std::vector<QuotaClient::Decision> &all) {
    for (const auto &it : all)
      decide(it);
  }

  /// Runs a call at an entry after a delay, or once it is no longer frozen;
  /// never after a restart of the entry.
  void callAtEntry(std::size_t entry, Span delay, std::function<void()> call) {
    auto incarnation = Entries[entry]->Incarnation;
    Time.after(delay, [this, entry, incarnation, call = std::move(call)] {
      auto &it = *Entries[entry];
      if (it.Incarnation != incarnation)
        return;
      if (it.FrozenUntil > Time.now())
        return callAtEntry(entry, it.FrozenUntil - Time.now(), call);
      call();
    });
  }

  void sendRequestsSoon(std::size_t entry) {
    if (std::exchange(Entries[entry]->SendDue, true))
      return;
    Time.after(Span(0), [this, entry] {
      Entries[entry]->SendDue = false;
      if (Entries[entry]->FrozenUntil <= Time.now())
        sendRequests(entry);
    });
  }

  void sendRequests(std::size_t entry) {
    for (const auto &it : Entries[entry]->Client->takeRequests(Time.now())) {
      ++Messages;
      Time.after(delay(), [this, entry, it] { onRequests(entry, it); });
    }
  }

  void onRequests(std::size_t entry, const QuotaClient::Message &message) {
    auto &owner = Owners[message.Cell];
    if (!owner.Server)
      return;
    ++Messages;
    std::vector<QuotaGrant> grants;
    for (const auto &it : message.Requests)
      if (auto granted = owner.Server->onRequest(it, Time.now(), entryId(entry),
                                                 message.Number))
        grants.push_back(*granted);
    sendGrants(entry, message.Cell, message.Number, std::move(grants));
    sendLateGrants(message.Cell);
  }

  void sendGrants(std::size_t entry, const std::string &cell,
                  std::uint64_t message, std::vector<QuotaGrant> grants) {
    callAtEntry(entry, delay(), [this, entry, cell, message, grants] {
      decide(
          Entries[entry]->Client->onGrants(cell, message, grants, Time.now()));
      sendRequests(entry);
    });
  }

  void sendLateGrants(const std::string &cell) {
    auto &owner = Owners[cell];
    if (!owner.Server)
      return;
    for (const auto &it : owner.Server->takeLateGrants(Time.now())) {
      auto entry = static_cast<std::size_t>(it.Entry / MaxIncarnations);
      if (entryId(entry) == it.Entry)
        sendGrants(entry, cell, it.Message, {it.Grant});
    }
  }

  void tick() {
    for (std::size_t it = 0; it < Entries.size(); ++it) {
      if (Entries[it]->FrozenUntil > Time.now())
        continue;
      decide(Entries[it]->Client->tick(Time.now()));
      sendRequests(it);
    }
    for (const auto &it : CellNames)
      sendLateGrants(it);
    constexpr Span Interval = std::chrono::milliseconds(50);
    Time.after(Interval, [this] { tick(); });
  }

  Span delay() {
    std::uniform_int_distribution<std::int64_t> any(50, Options.Delay.count());
    return Span(any(Random));
  }

  std::mt19937 Random;
  VirtualTime Time;
  Workspace LimitedWorkspace;
  std::vector<std::string> CellNames;
  std::vector<std::string> EntryNames;
  std::map<std::string, Owner> Owners;
  std::vector<std::unique_ptr<Entry>> Entries;
  std::vector<Request> Requests;
  std::uint64_t Messages = 0;
};

} // namespace hemlockglade::test
