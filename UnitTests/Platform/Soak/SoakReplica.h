#pragma once

#include "UnitTests/Platform/Soak/SoakHistory.h"
#include "UnitTests/Platform/Soak/SoakProxy.h"
#include "UnitTests/Platform/Soak/SoakStore.h"
#include "UnitTests/Platform/Soak/SoakWorkspaces.h"

#include <deque>
#include <memory>
#include <random>
#include <set>

namespace hemlockglade::soak {

/// Constants and texts that all replicas of the soak's services share.
namespace site {
inline constexpr std::string_view Model = "m0";
inline constexpr std::string_view EngineService = "chat";
inline constexpr std::string_view PlainService = "book";
inline constexpr std::size_t AdapterSlots = 6;
inline constexpr int AdapterCount = 40;
/// A request whose target has this suffix crashes the replica that runs it.
inline constexpr std::string_view CrashingTargetSuffix = "/crashing";
/// A request with this part in its prompt, which is never the last one, crashes
/// the replica that begins to answer it.
inline constexpr std::string_view CrashingPart = "dead:100,";
/// Number of events in a stream.
inline constexpr int StreamEvents = 12;
/// Returns the text of one event of a request's answer, which is the same on
/// each replica.
std::string eventText(const std::string &tag, int number);
/// Returns the text of all events of a stream, or of a plain answer.
std::string fullText(const std::string &tag, bool stream);
std::string hashOf(const std::string &text);
} // namespace site

/// A stand-in for a replica of the platform: registers, runs requests, executes
/// orders, and can be set to misbehave.
class SoakReplica {
public:
  enum class Mode : std::uint8_t {
    Healthy,
    /// Accepts requests and never answers.
    Hangs,
    /// Refuses requests without running them.
    Sheds,
    /// Runs requests and aborts the connection instead of answering.
    LosesAnswers,
    /// Runs requests and answers with status 500.
    Fails,
    /// Cuts half of the streams off in the middle of an event.
    TruncatesStreams,
    /// Begins requests up to 3 s after they arrive.
    DelaysStart,
    /// Executes orders 1 to 6 s later, without an answer.
    DelaysOrders,
  };
  /// Violations that the verdict has to find; each replica commits them.
  enum class PlantedViolation : std::uint8_t {
    None,
    /// Answers a request with the text of another one.
    SwapsAnswers,
    /// Runs each request twice.
    RunsTwice,
    /// Runs requests and answers that they have not run.
    RunsRefused,
    /// Records requests as another workspace's.
    WrongWorkspace,
    /// Records that it asks for pauses, and doesn't.
    SilentPauses,
    /// Records that its answers say that it leaves, and they don't.
    SilentLeaves,
    /// Records an answer without end that no gateway closes.
    UnclosedAnswers,
    /// Gateways may hold what crowds of clients send.
    HoldsCrowds,
  };
  struct Settings {
    std::string Service;
    std::string FailureDomain;
    /// How long a draining replica still serves before it ends.
    Span DrainTime = std::chrono::milliseconds(2600);
    bool Engine = false;
    /// Requests that it runs at a time, as it registers.
    std::uint32_t Slots = 8;
    /// How long a plain request runs.
    Span WorkTime = std::chrono::milliseconds(15);
    /// Factor of the times that an engine takes for requests and loads.
    double TimeFactor = 1;
    /// Lets requests beyond its slots wait, up to a multiple of the slots, and
    /// rejects more; else it runs all.
    bool LimitsRoom = false;
    /// Bytes behind the text of each plain answer.
    std::size_t PaddingBytes = 0;
    /// Version of its software, with which it marks its events.
    std::string Software = "v1";
    PlantedViolation Planted = PlantedViolation::None;
  };

  SoakReplica(asio::io_context &context, Settings settings, SoakStore &store,
              SoakHistory &history, std::uint64_t seed);
  ~SoakReplica();

  void setMode(Mode mode) { CurrentMode = mode; }
  /// States a limit in requests a second, or ends it.
  void setLimit(std::optional<double> perSecond);
  /// States that it fails once it rejects more than this many requests a second
  /// for want of room, or no longer states it. From `ShrinkDelay` on it lets
  /// none wait.
  void setMaxRejections(std::optional<double> perSecond);
  /// Rejects all requests and asks who sent them for a pause, or no longer.
  void setPause(std::optional<Span> pause) { Pause = pause; }
  SoakProxy &link() { return Link; }
  const Settings &settings() const { return Options; }
  const std::string &incarnation() const { return Incarnation; }
  bool isRunning() const { return Server != nullptr; }
  /// Whether it takes new requests and answers them.
  bool isServing() const;

  /// Starts a new incarnation, which has only the base model loaded.
  void start();
  /// Drains, and starts anew with another version of the software.
  void replace(const std::string &software);
  /// Ends immediately and cuts the requests that run.
  void crash();
  /// Begins to drain: its answers and its registry entry say so, and it ends
  /// some time later.
  void drain();
  /// The same without a change of its entry.
  void leaveUnlisted();
  /// Called when the replica begins to run a request that crashes it.
  std::function<void()> OnCrash;
  /// Called when a request with the part that crashes it has arrived, and when
  /// the replica begins to answer one.
  std::function<void()> OnPartArrived;
  std::function<void()> OnPartCrash;
  /// Sets the workspaces that receive each run; null if there are none.
  void setWorkspaces(SoakWorkspaces *all) { Workspaces = all; }

private:
  struct Run;

  void sendHeartbeat();
  std::string registryEntry() const;
  void serve(const CallerRequest &request,
             const std::shared_ptr<CallerReply> &reply);
  void onOrder(const CallerRequest &request,
               const std::shared_ptr<CallerReply> &reply);
  /// Executes an order and returns the status to answer with.
  std::uint16_t execute(const std::string &body);
  bool load(const std::string &adapter, std::uint64_t version);
  void unload(const std::string &adapter);
  std::string report() const;
  void accept(const CallerRequest &request,
              const std::shared_ptr<CallerReply> &reply);
  /// Number of requests that may wait now.
  std::size_t maxWaiting() const;
  /// Rejects a request for want of room, and fails if those were too many.
  void rejectForRoom(CallerReply &reply, const std::string &tag);
  /// Begins requests that wait while there are free slots.
  void beginWaiting();
  void begin(const std::shared_ptr<Run> &run);
  /// Crashes after a delay and starts again later; answers 500 instead in mode
  /// `Fails`.
  void crashAfterDelay(const std::shared_ptr<CallerReply> &reply,
                       const std::string &tag);
  /// Crashes and starts again later. Some answers begin before, and end with
  /// their connection.
  void crashByPart(const std::shared_ptr<CallerReply> &reply, const Run &run);
  void step(const std::shared_ptr<Run> &run);
  void end(Run &run, const char *how, bool isComplete);
  void recordRun(const Run &run);
  void refuse(CallerReply &reply, std::uint16_t status, const std::string &tag,
              HeaderFields fields = {});
  /// Rejects a request and asks for a pause, by `Retry-After`.
  void refuseWithPause(CallerReply &reply, const std::string &tag);
  HttpAnswerHead head(std::uint16_t status, const Run &run);
  /// Adds what the replica states of itself, if anything.
  void addStatements(HttpAnswerHead &head, const std::string &tag);
  void endAfterDraining();
  HistoryEvent &record(std::string event) {
    return History.record(Incarnation, std::move(event));
  }

  asio::io_context &Context;
  Settings Options;
  SoakStore &Store;
  SoakHistory &History;
  SoakWorkspaces *Workspaces = nullptr;
  TimerService Timers;
  std::mt19937_64 Random;
  /// A separate generator, so that its use doesn't change what the same seed
  /// draws elsewhere.
  std::mt19937_64 DelayRandom;
  /// Drawn for each incarnation.
  std::uint64_t Life = 0;
  std::string Incarnation;
  std::unique_ptr<CallerServer> Server;
  SoakProxy Link;
  Mode CurrentMode = Mode::Healthy;
  std::optional<Span> Pause;
  std::optional<double> RequestLimit;
  std::optional<double> MaxRejections;
  Instant MaxRejectionsSince{};
  /// Times of the rejections for want of room of the last second.
  std::deque<Instant> Rejections;
  /// Requests that wait for a slot, in order; those that have ended count no
  /// more.
  std::deque<std::shared_ptr<Run>> Waiting;
  bool Draining = false;
  /// Says in its answers that it leaves.
  bool Leaving = false;
  std::uint64_t Heartbeats = 0;
  std::uint64_t RunCount = 0;
  std::uint64_t Revision = 0;
  /// Adapters that are loaded and those that are being loaded, with their
  /// versions.
  std::map<std::string, std::uint64_t> Loaded;
  std::map<std::string, std::uint64_t> Loading;
  /// Adapters that are unloaded when the last request that uses them ends.
  std::set<std::string> Evicting;
  std::map<std::string, int> UseCounts;
  std::set<std::shared_ptr<Run>> Running;
  TimerService::Subscription HeartbeatTimer;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace hemlockglade::soak
