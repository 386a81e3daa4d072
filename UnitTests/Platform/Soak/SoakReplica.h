#pragma once

#include "UnitTests/Platform/Soak/SoakHistory.h"
#include "UnitTests/Platform/Soak/SoakProxy.h"
#include "UnitTests/Platform/Soak/SoakStore.h"
#include "UnitTests/Platform/Soak/SoakWorkspaces.h"

#include <memory>
#include <random>
#include <set>

namespace hemlockglade::soak {

/// What all replicas of the soak's services share.
namespace site {
inline constexpr std::string_view Model = "m0";
inline constexpr std::string_view EngineService = "chat";
inline constexpr std::string_view PlainService = "book";
inline constexpr std::size_t AdapterPlaces = 6;
inline constexpr int Adapters = 40;
/// How the target of a request ends that crashes the replica that runs it.
inline constexpr std::string_view CrashingTarget = "/crashing";
/// Events of a stream.
inline constexpr int Events = 12;
/// Text of one event of a request's answer; the same wherever it runs.
std::string eventText(const std::string &tag, int number);
/// All of them, or a plain answer.
std::string wholeText(const std::string &tag, bool stream);
std::string hashOf(const std::string &text);
} // namespace site

/// A stand-in for a replica of the platform: registers, runs requests, obeys
/// orders, and can be told to misbehave.
class SoakReplica {
public:
  enum class Mood : std::uint8_t {
    Well,
    /// Takes requests and never answers.
    Hangs,
    /// Turns requests away unrun.
    Sheds,
    /// Runs them and breaks the connection instead of answering.
    LosesAnswers,
    /// Runs them and answers with failures of its own.
    Fails,
    /// Half of the streams break off in the middle of an event.
    BreaksOff,
    /// An engine holds requests back for up to 3 s before it begins them.
    SlowToBegin,
    /// Carries orders out 1 to 6 s later, without an answer.
    LateOrders,
  };
  /// Breaches that the verdict has to find; each replica commits them.
  enum class Plant : std::uint8_t {
    None,
    /// Gives a request another one's text.
    SwapsAnswers,
    /// Runs each request twice.
    RunsTwice,
    /// Runs what it says not to have run.
    RunsRefused,
    /// Takes requests for another workspace's.
    MistakesWorkspace,
  };
  struct Settings {
    std::string Service;
    std::string FailureDomain;
    bool Engine = false;
    Plant Planted = Plant::None;
  };

  SoakReplica(asio::io_context &context, Settings settings, SoakStore &store,
              SoakHistory &history, std::uint64_t seed);
  ~SoakReplica();

  void setMood(Mood mood) { Now = mood; }
  SoakProxy &link() { return Link; }
  const Settings &settings() const { return Setup; }
  const std::string &incarnation() const { return Incarnation; }
  bool up() const { return Server != nullptr; }

  /// Starts with nothing loaded but the base model, under a new name.
  void start();
  /// Ends at once, with what it runs.
  void crash();
  /// Says that it leaves; it ends later.
  void leave();
  /// Called as it begins to run a request that crashes it.
  std::function<void()> OnCrashing;
  /// Told of each run, where there are workspaces.
  void setWorkspaces(SoakWorkspaces *all) { Workspaces = all; }

private:
  struct Run;

  void beat();
  std::string entry() const;
  void serve(const CallerRequest &request,
             const std::shared_ptr<CallerReply> &reply);
  void order(const CallerRequest &request,
             const std::shared_ptr<CallerReply> &reply);
  /// Gives the status to answer with.
  std::uint16_t carryOut(const std::string &body);
  bool load(const std::string &adapter, std::uint64_t version);
  void unload(const std::string &adapter);
  std::string report() const;
  void run(const CallerRequest &request,
           const std::shared_ptr<CallerReply> &reply);
  void begin(const std::shared_ptr<Run> &run);
  /// Ends some moments later, and starts again.
  void crashUnder(const std::shared_ptr<CallerReply> &reply,
                  const std::string &tag);
  void step(const std::shared_ptr<Run> &run);
  void end(Run &run, const char *how, bool whole);
  void noteRun(const Run &run);
  void refuse(CallerReply &reply, std::uint16_t status, const std::string &tag);
  HttpAnswerHead head(std::uint16_t status, const Run &run) const;
  HistoryEvent &note(std::string event) {
    return History.note(Incarnation, std::move(event));
  }

  asio::io_context &Context;
  Settings Setup;
  SoakStore &Store;
  SoakHistory &History;
  SoakWorkspaces *Workspaces = nullptr;
  TimerService Timers;
  std::mt19937_64 Random;
  /// Of its own, so that what else a seed draws stays as it is.
  std::mt19937_64 DelayRandom;
  std::string Incarnation;
  std::unique_ptr<CallerServer> Server;
  SoakProxy Link;
  Mood Now = Mood::Well;
  bool Leaving = false;
  std::uint64_t Beats = 0;
  std::uint64_t Runs = 0;
  std::uint64_t Count = 0;
  /// Adapters that are loaded, and those on their way, with their versions.
  std::map<std::string, std::uint64_t> Held;
  std::map<std::string, std::uint64_t> Pending;
  /// Adapters that go once what uses them is over.
  std::set<std::string> Going;
  std::map<std::string, int> Uses;
  std::set<std::shared_ptr<Run>> Running;
  TimerService::Subscription Beat;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace hemlockglade::soak
