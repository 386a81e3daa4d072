#include "UnitTests/Platform/Crowd/CrowdRig.h"

#include "Hemlockglade/Protocol/JsonText.h"
#include "platform/Names.h"

#include <asio/post.hpp>
#include <csignal>
#include <fstream>
#include <future>
#include <sys/wait.h>
#include <unistd.h>

namespace hemlockglade::crowd {

namespace {

using Json = nlohmann::json;

constexpr std::string_view Service = "book";

int statusOf(std::string_view answer) {
  constexpr std::string_view Start = "HTTP/1.1 ";
  if (!answer.starts_with(Start))
    return 0;
  return std::stoi(std::string(answer.substr(Start.size(), 3)));
}

std::string getRequest(const std::string &target) {
  return "GET " + target +
         " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n";
}

} // namespace

std::size_t descriptorsOf(pid_t pid) {
  std::error_code ec;
  std::filesystem::directory_iterator all(
      "/proc/" + std::to_string(pid) + "/fd", ec);
  return ec ? 0 : static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

bool isAlive(pid_t pid) {
  siginfo_t info{};
  // The end stays to be collected by the process's owner.
  return pid > 0 &&
         ::waitid(P_PID, static_cast<id_t>(pid), &info,
                  WEXITED | WNOHANG | WNOWAIT) == 0 &&
         info.si_pid == 0;
}

bool holdsInTime(const std::function<bool()> &condition) {
  constexpr int Polls = 1200;
  constexpr auto Pause = std::chrono::milliseconds(50);
  for (int it = 0; it < Polls; ++it) {
    if (condition())
      return true;
    std::this_thread::sleep_for(Pause);
  }
  return false;
}

CrowdRig::CrowdRig(Settings settings) {
  std::signal(SIGPIPE, SIG_IGN);
  auto name =
      (std::filesystem::temp_directory_path() / "crowd-XXXXXX").string();
  if (!::mkdtemp(name.data()))
    throw std::runtime_error("can't make a folder");
  Folder = name;
  declarePlan(settings);
  for (const auto &it : settings.Endless)
    Endless.push_back(std::make_unique<test::EndlessServer>(Context, it));
  registerEndless();
  soak::SoakReplica::Settings replica;
  replica.Service = Service;
  replica.FailureDomain = "hall-a";
  replica.Slots = settings.Slots;
  replica.PaddingBytes = settings.AnswerBytes;
  Replica =
      std::make_unique<soak::SoakReplica>(Context, replica, Store, History, 1);
  soak::SoakNode::Settings node;
  node.Program = HEMLOCKGLADED;
  node.Folder = Folder;
  node.Name = "n0";
  node.FailureDomain = "hall-a";
  node.Address = Network.address(0);
  node.FirstPort = soak::LoopbackNetwork::FirstPort;
  node.VersionBound = std::chrono::seconds(5);
  node.MaxDataBytes = MachineBytes;
  node.MoreSettings = std::move(settings.MoreSettings);
  Node = std::make_unique<soak::SoakNode>(Context, std::move(node),
                                          Store.port(), History);
  Node->start();
  Thread = std::thread([this] {
    auto work = asio::make_work_guard(Context);
    Context.run();
  });
  bool serves = false;
  holdsInTime([&] {
    serves = callOrdinary() == 200;
    return serves || !isAlive(pid());
  });
  if (!serves) {
    Context.stop();
    Thread.join();
    throw std::runtime_error("the gateway does not serve");
  }
}

CrowdRig::~CrowdRig() {
  Context.stop();
  if (Thread.joinable())
    Thread.join();
  Node.reset();
  std::error_code ec;
  std::filesystem::remove_all(Folder, ec);
}

void CrowdRig::declarePlan(const Settings &settings) {
  constexpr int LongMs = 600'000;
  Json route{
      {"name", "look"},       {"host", "a.example"},
      {"prefix", "/look/"},   {"type", "safe"},
      {"timeout_ms", LongMs}, {"target_latency_ms", settings.TargetLatencyMs},
      {"target_gap_ms", 200}, {"priority", 1},
      {"service", Service},   {"max_attempts", 2},
      {"resumable", false}};
  Json service{{"name", Service}, {"max_connections", 200}};
  Json routes = Json::array({route});
  Json services = Json::array({service});
  for (std::size_t n = 0; n < settings.Endless.size(); ++n) {
    service["name"] = route["service"] = "endless-" + std::to_string(n);
    services.push_back(service);
    for (const std::string kind : {"plain", "stream"}) {
      route["name"] = kind + "-" + std::to_string(n);
      route["prefix"] = "/" + kind + "-" + std::to_string(n) + "/";
      route["type"] = kind == "plain" ? "safe" : "streaming";
      routes.push_back(route);
    }
  }
  Json limits{{"max_header_bytes", settings.MaxHeadBytes},
              {"max_body_bytes", settings.MaxBodyBytes},
              {"header_timeout_ms", LongMs},
              {"idle_timeout_ms", LongMs}};
  Json plan{{"version", 1},
            {"routes", routes},
            {"services", services},
            {"limits", limits}};
  Store.put(platform_name::OperatorTable, platform_name::PlanKey, plan.dump());
}

void CrowdRig::registerEndless() {
  for (std::size_t n = 0; n < Endless.size(); ++n) {
    auto name = "endless-" + std::to_string(n);
    Json entry{{"service", name},
               {"address", Endless[n]->address()},
               {"zone", "hall-a"},
               {"version", "v1"},
               {"slots", 64},
               {"sequence", 1},
               {"cold_remaining_ms", 0},
               {"state", "ready"}};
    Store.put(platform_name::ReplicaTable, "i-" + name, entry.dump());
  }
}

std::pair<int, std::size_t> CrowdRig::endedEndless() {
  std::promise<std::pair<int, std::size_t>> out;
  asio::post(Context, [this, &out] {
    std::pair<int, std::size_t> sum;
    for (const auto &it : Endless) {
      sum.first += it->Ended;
      sum.second = std::max(sum.second, it->MostBytes);
    }
    out.set_value(sum);
  });
  return out.get_future().get();
}

int CrowdRig::callOrdinary() {
  auto id = "o" + std::to_string(++LastId);
  return statusOf(
      callOnce(Node->callerAddress(),
               "POST /look/" + id + " HTTP/1.1\r\nHost: a.example\r\n" +
                   std::string(platform_name::RequestId) + ": " + id +
                   "\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi"));
}

int CrowdRig::callDirectory() const {
  return statusOf(
      callOnce(Node->directoryAddress(),
               getRequest(std::string(platform_name::DirectoryCall) +
                          "?name=a.example")));
}

int CrowdRig::callReadiness() const {
  return statusOf(callOnce(Node->readinessAddress(),
                           getRequest(std::string(platform_name::ReadyCall))));
}

} // namespace hemlockglade::crowd
