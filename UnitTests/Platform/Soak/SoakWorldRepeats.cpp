// The part of SoakWorld with replicas that repeat answers late.

#include "UnitTests/Platform/Soak/SoakWorld.h"

#include "platform/Names.h"

namespace hemlockglade::soak {

namespace {

using std::chrono::milliseconds;

/// Returns whether the bytes are one whole answer of a stated length.
bool isWholeAnswer(std::string_view bytes) {
  constexpr std::string_view Key = "\r\nContent-Length: ";
  constexpr std::string_view HeadEnd = "\r\n\r\n";
  auto end = bytes.find(HeadEnd);
  auto at = bytes.find(Key);
  if (!bytes.starts_with("HTTP/1.1 ") || end == std::string_view::npos ||
      at == std::string_view::npos || at > end)
    return false;
  auto length = std::stoul(std::string(bytes.substr(at + Key.size(), 9)));
  return bytes.size() == end + HeadEnd.size() + length;
}

/// Replaces the id of the request that an answer names, or removes the field.
std::string withId(std::string_view answer, const std::string &id) {
  std::string out(answer);
  auto at = out.find("\r\n" + std::string(platform_name::RequestId) + ": ");
  if (at == std::string::npos)
    return out;
  auto end = out.find("\r\n", at + 2);
  auto field = id.empty()
                   ? std::string()
                   : "\r\n" + std::string(platform_name::RequestId) + ": " + id;
  return out.replace(at, end - at, field);
}

} // namespace

std::string SoakWorld::repeatOf(std::string_view answer) {
  constexpr std::uint64_t RefusalsOneIn = 2;
  constexpr std::uint64_t OthersOneIn = 30;
  constexpr std::uint64_t Kinds = 8;
  if (!isWholeAnswer(answer))
    return {};
  bool isRefusal = answer.find(platform_name::NotRun) != std::string_view::npos;
  if (RepeatRandom() % (isRefusal ? RefusalsOneIn : OthersOneIn) != 0)
    return {};
  ++RepeatCounts.first;
  RepeatCounts.second += isRefusal ? 1 : 0;
  switch (RepeatRandom() % Kinds) {
  case 0:
    return withId(answer, "another");
  case 1:
    return withId(answer, "");
  case 2:
    return std::string(answer.substr(0, answer.size() / 2));
  default:
    return std::string(answer);
  }
}

void SoakWorld::injectRepeats() {
  log("replicas repeat answers late");
  for (auto &it : Replicas)
    it->link().RepeatLate = [this](std::string_view answer) {
      return repeatOf(answer);
    };
  // Beyond what the plain replicas can serve.
  constexpr double BurstFactor = 6;
  constexpr int Stutters = 8;
  Callers.setRate(BurstFactor * Options.Rate);
  for (auto &it : Nodes)
    if (RepeatRandom() % 3 == 0)
      stutter(*it, Stutters);
  auto lasts = Options.RepeatInterval - milliseconds(500);
  Timers.after(lasts, [this](Instant) {
    Callers.setRate(Options.Rate);
    for (auto &it : Replicas)
      it->link().RepeatLate = nullptr;
  });
}

void SoakWorld::stutter(SoakNode &node, int times) {
  if (times == 0 || !node.isRunning() || node.isPaused())
    return;
  node.pause();
  Timers.after(milliseconds(50 + RepeatRandom() % 450), [this, &node,
                                                         times](Instant) {
    node.resume();
    Timers.after(milliseconds(30 + RepeatRandom() % 200),
                 [this, &node, times](Instant) { stutter(node, times - 1); });
  });
}

} // namespace hemlockglade::soak
