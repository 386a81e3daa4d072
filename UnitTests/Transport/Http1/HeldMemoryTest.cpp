#include "Hemlockglade/Transport/Http1/HeldMemory.h"

#include <catch2/catch.hpp>

namespace hemlockglade::test {

namespace {

constexpr std::size_t MiB = std::size_t{1} << 20U;

/// Some answers that share a limit of 100,000 bytes.
struct Shares {
  Shares() {
    for (std::size_t it = 0; it < 3; ++it)
      All[it].OnEnd = [this, it] { Ends.push_back(it); };
  }
  HeldMemory Memory{{100'000, 100'000, 100'000}};
  std::array<HeldMemory::Share, 3> All;
  std::vector<std::size_t> Ends;
};

} // namespace

TEST_CASE("the answer that holds the most is ended first, and only once",
          "[endless]") {
  Shares it;
  it.All[0].hold(it.Memory, 50'000);
  it.All[1].hold(it.Memory, 30'000);
  CHECK(it.Ends.empty());
  it.All[2].hold(it.Memory, 30'000);
  CHECK(it.Ends == std::vector<std::size_t>{0});
  // What is being ended grows on, and no other answer is ended for it.
  it.All[0].hold(it.Memory, 90'000);
  CHECK(it.Ends.size() == 1);
  it.All[0].release();
  CHECK(it.Memory.bytes(HeldKind::Answer) == 60'000);
  CHECK(it.Memory.peakBytes(HeldKind::Answer) == 150'000);
  CHECK(it.Memory.endless(EndlessKind::Memory) == 1);
  it.All[1].hold(it.Memory, 80'000);
  CHECK(it.Ends == std::vector<std::size_t>{0, 1});
}

TEST_CASE("answers end without an end of others if they release in time",
          "[endless]") {
  Shares it;
  for (int round = 0; round < 100; ++round) {
    it.All[0].hold(it.Memory, 90'000);
    it.All[0].release();
    it.All[0].release();
  }
  CHECK(it.Ends.empty());
  CHECK(it.Memory.bytes(HeldKind::Answer) == 0);
}

// Thousands of ordinary streams must not use up the limit with their heads.
TEST_CASE("ordinary heads don't count towards the limit of endless answers",
          "[endless]") {
  HeldMemory memory({10'000, 10'000, 10'000});
  std::vector<HeldMemory::Share> shares(1000);
  for (auto &it : shares)
    it.hold(memory, HeldMemory::UncountedBytes);
  CHECK(memory.bytes(HeldKind::Answer) == 0);
  shares[0].hold(memory, 5000);
  CHECK(memory.bytes(HeldKind::Answer) == 5000);
  shares[0].hold(memory, 100);
  CHECK(memory.bytes(HeldKind::Answer) == 0);
}

TEST_CASE("a share that is destroyed holds nothing", "[endless]") {
  HeldMemory memory;
  {
    HeldMemory::Share share;
    share.hold(memory, 50'000);
  }
  CHECK(memory.bytes(HeldKind::Answer) == 0);
}

TEST_CASE("the default limits of what is held are shares of the memory",
          "[endless][held]") {
  auto answers = [](const MemoryLimit &memory) {
    return HeldMemory::defaultFor(memory).MaxAnswerBytes;
  };
  CHECK(answers({}) == 32 * MiB);
  CHECK(answers({512 * MiB, 0}) == 32 * MiB);
  CHECK(answers({1024 * MiB, 65536 * MiB}) == 64 * MiB);
  // A plain answer of the maximum size always fits.
  CHECK(answers({120 * MiB, 0}) == 9 * MiB);
  // Physical memory bounds a process without a limit of its own.
  CHECK(answers({0, 65536 * MiB}) == 32 * MiB);
  CHECK(answers({0, 256 * MiB}) == 16 * MiB);
  auto others = [](const MemoryLimit &memory) {
    auto out = HeldMemory::defaultFor(memory);
    return std::pair(out.MaxRequestBytes, out.MaxUnreadBytes);
  };
  CHECK(others({}) == std::pair(32 * MiB, 32 * MiB));
  CHECK(others({120 * MiB, 0}) == std::pair(24 * MiB, 12 * MiB));
  CHECK(others({40 * MiB, 0}) == std::pair(9 * MiB, 9 * MiB));
  CHECK(others({0, 160 * MiB}) == std::pair(32 * MiB, 16 * MiB));
}

} // namespace hemlockglade::test
