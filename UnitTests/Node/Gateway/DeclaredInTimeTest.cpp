// Guards against a node that answers 404 on a route of a confirmed plan. A poll
// of declarations that is open or sent while the registry is unresponsive is
// never answered, also not once the registry answers again and confirms a plan.
// If such a poll times out 3.2 s after its start and the next one follows up to
// 1 s later, the plan comes too late: it must be in force within 2 s.

#include "Programs/hemlockgladed/Gateway/RegistryWatcher.h"

#include "UnitTests/Transport/Loopback.h"

namespace hemlockglade::test {

namespace {

using std::chrono::milliseconds;

/// The default bound on plans, and the time beyond its wait after which a call
/// without an answer fails.
constexpr Span PlanBound = milliseconds(2000);
constexpr Span CallTimeout = milliseconds(700);

/// A registry that can become unresponsive. Calls that are open or made then
/// are never answered, also not when it answers again.
class UnresponsiveRegistry : public Loopback {
public:
  UnresponsiveRegistry() : Timers(Context) {}

  RegistryHooks hooks() {
    RegistryHooks out;
    out.ReadOperator = [this](auto done) {
      addCall<OperatorChanges>(Span(0), done, [this] { return declared(0); });
    };
    out.WatchOperator = [this](std::uint64_t after, Span wait, auto done) {
      auto answer = [this, after] { return declared(after); };
      auto open = addCall<OperatorChanges>(wait, done, answer);
      if (after < Position)
        open->End();
    };
    out.ReadReplicas = [this](auto done) {
      addCall<ReplicaChanges>(Span(0), done,
                              [this] { return registered(true); });
    };
    out.WatchReplicas = [this](std::uint64_t, auto done) {
      addCall<ReplicaChanges>(Span(0), done, [this] {
        ++ReplicaPolls;
        return registered(false);
      });
    };
    return out;
  }

  void stopAnswering() {
    Unresponsive = true;
    for (const auto &it : OpenCalls)
      it->NeverAnswered = true;
    OpenCalls.clear();
  }
  void answerAgain() { Unresponsive = false; }
  /// Declares a new version, which is confirmed at once.
  void declare() {
    ++Position;
    for (const auto &it : std::exchange(OpenCalls, {}))
      it->End();
  }

  std::uint64_t position() const { return Position; }
  int replicaPolls() const { return ReplicaPolls; }

  TimerService Timers;

private:
  struct Call {
    bool NeverAnswered = false;
    bool Completed = false;
    std::function<void()> End;
  };

  template <typename T, typename Answer>
  std::shared_ptr<Call> addCall(Span wait, RegistryCallback<T> done,
                                Answer answer) {
    auto call = std::make_shared<Call>();
    call->NeverAnswered = Unresponsive;
    call->End = [weak = std::weak_ptr(call), this, done, answer] {
      auto call = weak.lock();
      if (!call || call->NeverAnswered || std::exchange(call->Completed, true))
        return;
      asio::post(Context, [done, answer] { done(answer()); });
    };
    if (!Unresponsive)
      OpenCalls.push_back(call);
    Timers.after(wait, [call](Instant) { call->End(); });
    Timers.after(wait + CallTimeout, [call, done](Instant) {
      if (!std::exchange(call->Completed, true))
        done(tl::unexpected(RegistryError::Unavailable));
    });
    return call;
  }

  OperatorChanges declared(std::uint64_t after) const {
    OperatorChanges out;
    out.Position = Position;
    if (after < Position)
      out.Versions = {{WeightsRef::parse("m/a"), Position}};
    return out;
  }
  ReplicaChanges registered(bool whole) const {
    return {whole, {}, {}, Position};
  }

  std::vector<std::shared_ptr<Call>> OpenCalls;
  bool Unresponsive = false;
  std::uint64_t Position = 10;
  int ReplicaPolls = 0;
};

/// A watcher that polls such a registry, with the default settings.
struct PollingNode : UnresponsiveRegistry {
  explicit PollingNode(bool informsPeers = false)
      : Log(
            {"n"}, [](std::string_view) {},
            [] { return std::chrono::microseconds(0); }) {
    RegistryWatcher::Hooks out;
    out.OnOperator = [this](const OperatorChanges &it) {
      Known = std::max(Known, it.Position);
    };
    out.OnReplicas = [](const auto &, const auto &) {};
    out.InformsPeers = [informsPeers] { return informsPeers; };
    out.OnUpdate = [] {};
    Watcher = std::make_unique<RegistryWatcher>(
        Timers, hooks(), RegistryWatcher::Settings{}, std::move(out), Log);
    Watcher->start(Span(0));
    until([this] { return Known == position(); });
  }

  void runFor(Span span) {
    bool timeIsOver = false;
    Timers.after(span, [&timeIsOver](Instant) { timeIsOver = true; });
    until([&timeIsOver] { return timeIsOver; });
  }

  EventLog Log;
  std::uint64_t Known = 0;
  std::unique_ptr<RegistryWatcher> Watcher;
};

} // namespace

TEST_CASE("a declaration that is confirmed as the registry answers again is in "
          "force within the bound",
          "[gateway]") {
  auto outage = GENERATE(milliseconds(100), milliseconds(600),
                         milliseconds(1900), milliseconds(4000));
  INFO("unresponsive for " << outage.count() << " ms");
  PollingNode it;
  it.stopAnswering();
  it.runFor(outage);
  it.answerAgain();
  it.declare();
  it.runFor(PlanBound);
  CHECK(it.Known == it.position());
}

TEST_CASE("an owner's update does not report its declarations as newer than "
          "its last answered poll",
          "[gateway]") {
  PollingNode it(true);
  it.stopAnswering();
  it.answerAgain();
  // The open poll of declarations is lost; polls of replicas are not.
  auto unansweredSince = TimerService::now();
  auto polls = it.replicaPolls();
  REQUIRE(it.until([&] { return it.replicaPolls() > polls; }));
  it.runFor(milliseconds(20));
  auto update = it.Watcher->updateSince(it.Watcher->positions());
  REQUIRE(update.OperatorPosition == it.position());
  auto minAge = TimerService::now() - unansweredSince - milliseconds(20);
  CHECK(Span(update.OperatorAgeUs) > minAge);
}

} // namespace hemlockglade::test
