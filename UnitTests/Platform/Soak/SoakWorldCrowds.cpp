// The part of SoakWorld with clients that hold or send too much.

#include "UnitTests/Platform/Soak/SoakWorld.h"

#include "Hemlockglade/Transport/Peer/PeerNet.h"

namespace hemlockglade::soak {

void SoakWorld::injectCrowd() {
  constexpr int MinClients = 10;
  constexpr std::uint64_t ClientRange = 40;
  constexpr int PlantedClients = 60;
  bool isPlanted =
      Options.Planted == SoakReplica::PlantedViolation::HoldsCrowds;
  auto &node = **std::next(
      Nodes.begin(), static_cast<std::ptrdiff_t>(CrowdRandom() % Nodes.size()));
  auto form = static_cast<SoakCrowd::Form>(CrowdRandom() % SoakCrowd::Forms);
  auto count = MinClients + static_cast<int>(CrowdRandom() % ClientRange);
  bool atDirectory = CrowdRandom() % 4 == 0;
  if (isPlanted) {
    form = SoakCrowd::Form::LargeChunks;
    count = PlantedClients;
    atDirectory = false;
  }
  auto lasts = std::chrono::milliseconds(500 + CrowdRandom() % 3500);
  log(std::to_string(count) + " clients of " + node.name() + " send " +
      std::string(SoakCrowd::name(form)));
  auto crowd = std::make_shared<SoakCrowd>(
      Context,
      parseEndpoint(atDirectory ? node.directoryAddress()
                                : node.callerAddress()),
      form, count);
  crowd->start();
  ++CrowdCount;
  Timers.after(lasts, [crowd](Instant) { crowd->stop(); });
}

void SoakWorld::samplePeakMemory() {
  for (const auto &it : Nodes)
    PeakMemory = std::max(PeakMemory, peakMemoryOf(it->pid()));
}

} // namespace hemlockglade::soak
