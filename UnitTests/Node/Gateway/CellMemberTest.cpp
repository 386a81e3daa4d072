#include "Programs/hemlockgladed/Gateway/CellMember.h"

#include "UnitTests/Transport/Loopback.h"

namespace hemlockglade::test {

namespace {

/// An owner that says what the test wants to one node that follows it.
struct ScriptedOwner {
  explicit ScriptedOwner(asio::io_context &context)
      : Net(context, "127.0.0.1", 0,
            [this](const auto &stream) { Stream = stream; }) {}

  CellLeaseRow row(Epoch fence) const {
    return {"owner-" + std::to_string(fence),
            "p",
            Loopback::address(Net.port()),
            fence,
            false,
            true};
  }
  void tell(std::vector<MemberNotice> members) const {
    OwnerBeat beat;
    beat.MembersChanged = !members.empty();
    beat.Members = std::move(members);
    Stream->send(pack(beat));
  }

  std::shared_ptr<PeerStream> Stream;
  PeerNet Net;
};

struct FollowerFixture : Loopback {
  FollowerFixture()
      : Log(
            {"n"}, [](std::string_view) {},
            [] { return std::chrono::microseconds(0); }),
        View({}), Net(Context, "127.0.0.1", 0, [](const auto &) {}) {
    CellMember::Settings settings;
    settings.Cell = settings.FailureDomain = "hall-a";
    settings.Lease.Holder = "n";
    CellMember::Hooks hooks;
    hooks.Table.Get = [this](const std::string &key, auto done) {
      asio::post(Context, [this, key, done] {
        done(std::optional(TableRow{key, Row.Fence, Row.text()}));
      });
    };
    hooks.Table.Commit = [](const TableTransaction &, auto) {};
    hooks.Self = [] { return MemberNotice{"n", "p", "", "hall-a", true}; };
    hooks.OnChanged = [] {};
    hooks.Plan = [] { return nullptr; };
    hooks.After = [](Span, const std::function<void()> &) {};
    hooks.OnNews = [](const RegistryNews &) {};
    Member = std::make_unique<CellMember>(settings, std::move(hooks), View, Net,
                                          Log);
  }

  /// Follows the owner that the row names.
  void follow(ScriptedOwner &owner, Epoch fence) {
    Row = owner.row(fence);
    REQUIRE(until([&] { return owner.Stream != nullptr; }));
  }

  /// The cell's lease as the table has it.
  CellLeaseRow Row;
  EventLog Log;
  ReplicaView View;
  PeerNet Net;
  std::unique_ptr<CellMember> Member;
  TimerService Timers{Context};
  TimerService::Subscription Ticking = Timers.every(
      std::chrono::milliseconds(20), [this](Instant) { Member->tick(); });
};

} // namespace

TEST_CASE("a new owner's silence about nodes does not bring back old ones",
          "[gateway]") {
  FollowerFixture it;
  ScriptedOwner first(it.Context);
  ScriptedOwner second(it.Context);
  it.follow(first, 1);
  first.tell(
      {{"n", "p", "", "hall-a", true}, {"gone", "p", "", "hall-a", true}});
  REQUIRE(it.until([&] { return it.Member->members().size() == 2; }));
  CHECK(it.Member->membersFresh());
  first.Stream->close();
  it.follow(second, 2);
  second.tell({});
  REQUIRE(it.until([&] { return it.Member->fresh(); }));
  it.settle();
  CHECK_FALSE(it.Member->membersFresh());
  second.tell({{"n", "p", "", "hall-a", true}});
  REQUIRE(it.until([&] { return it.Member->members().size() == 1; }));
  CHECK(it.Member->membersFresh());
}

namespace {

/// A node on a weak host that owns the cell, and one that follows it.
struct OwnerFixture : Loopback {
  OwnerFixture()
      : Log(
            {"n"}, [](std::string_view) {},
            [] { return std::chrono::microseconds(0); }),
        View({}), Net(Context, "127.0.0.1", 0,
                      [this](const auto &it) { Member->onFollower(it); }),
        OtherNet(Context, "127.0.0.1", 0, [](const auto &) {}) {
    CellMember::Settings settings;
    settings.Cell = settings.FailureDomain = "hall-a";
    settings.Lease.Holder = "n";
    settings.Lease.Incarnation = "p";
    settings.Lease.Address = "10.0.0.1:7";
    settings.NearerReady = std::chrono::milliseconds(100);
    settings.BeatEvery = std::chrono::milliseconds(30);
    CellMember::Hooks hooks;
    hooks.Table.Get = [this](const std::string &, auto done) {
      asio::post(Context, [done] { done(std::optional<TableRow>()); });
    };
    hooks.Table.Commit = [this](const TableTransaction &it, auto done) {
      Row = CellLeaseRow::parse(*it.Writes.front().Value);
      asio::post(Context, [this, done] { done(++Version); });
    };
    hooks.Self = [this] {
      return MemberNotice{"n", "p", "", "hall-a", true, OwnerStrong};
    };
    hooks.OnChanged = [] {};
    hooks.Plan = [] { return nullptr; };
    hooks.After = [](Span, const std::function<void()> &) {};
    hooks.NewsSince = [](const RegistryPositions &) { return RegistryNews{}; };
    hooks.OnNews = [](const RegistryNews &) {};
    Member = std::make_unique<CellMember>(settings, std::move(hooks), View, Net,
                                          Log);
  }

  void follow(bool strong) {
    NodeBeat beat;
    beat.Self = {"m", "q", "", "hall-a", true, strong};
    Follower =
        OtherNet.open(address(Net.port()),
                      std::string(peer_path::Cell) + "hall-a", pack(beat), {});
  }

  bool OwnerStrong = false;
  std::uint64_t Version = 0;
  std::optional<CellLeaseRow> Row;
  EventLog Log;
  ReplicaView View;
  std::unique_ptr<CellMember> Member;
  PeerNet Net;
  PeerNet OtherNet;
  std::shared_ptr<PeerStream> Follower;
  TimerService Timers{Context};
  TimerService::Subscription Ticking = Timers.every(
      std::chrono::milliseconds(10), [this](Instant) { Member->tick(); });
};

} // namespace

TEST_CASE("a weak host hands its cell over to a strong one", "[gateway]") {
  OwnerFixture it;
  REQUIRE(it.until([&] { return it.Member->owning(); }));
  it.follow(true);
  REQUIRE(it.until([&] { return it.Row && it.Row->Released; }));
}

TEST_CASE("a cell stays where nobody is better", "[gateway]") {
  OwnerFixture it;
  bool strong = GENERATE(true, false);
  it.OwnerStrong = strong;
  REQUIRE(it.until([&] { return it.Member->owning(); }));
  it.follow(strong);
  REQUIRE(it.until([&] { return it.Member->members().size() == 2; }));
  bool passed = false;
  asio::steady_timer timer(it.Context, std::chrono::milliseconds(400));
  timer.async_wait([&passed](asio::error_code) { passed = true; });
  REQUIRE(it.until([&passed] { return passed; }));
  REQUIRE(it.Row);
  CHECK_FALSE(it.Row->Released);
}

} // namespace hemlockglade::test
