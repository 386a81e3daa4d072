#include "UnitTests/Coordination/Decision/CoreDriver.h"

#include <catch2/catch.hpp>
#include <cstdlib>
#include <new>

namespace {

std::size_t Allocations = 0;

} // namespace

void *operator new(std::size_t size) {
  ++Allocations;
  if (void *memory = std::malloc(size))
    return memory;
  throw std::bad_alloc();
}

void *operator new(std::size_t size, std::align_val_t align) {
  ++Allocations;
  auto bytes = static_cast<std::size_t>(align);
  if (void *memory = std::aligned_alloc(bytes, (size + bytes - 1) & -bytes))
    return memory;
  throw std::bad_alloc();
}

void operator delete(void *memory, std::align_val_t) noexcept {
  std::free(memory);
}
void operator delete(void *memory, std::size_t, std::align_val_t) noexcept {
  std::free(memory);
}
void operator delete(void *memory) noexcept { std::free(memory); }
void operator delete(void *memory, std::size_t) noexcept { std::free(memory); }

using namespace hemlockglade;
using namespace hemlockglade::test;
using namespace std::chrono_literals;

namespace {

/// Runs rounds of requests over many adapters, with loads, evictions and
/// refusals. Returns the number of the core's allocations in each round.
std::vector<std::size_t> allocationsByRound(AdapterKey adapters) {
  CellCore core({});
  std::vector<Action> actions;
  actions.reserve(4096);
  Instant now = 1000s;
  auto send = [&](const Event &event) {
    std::size_t before = Allocations;
    core.handle(event, now, actions);
    return Allocations - before;
  };
  send(LeaseChanged{LeaseMode::Held});
  for (ReplicaKey it = 1; it <= 8; ++it)
    send(ReplicaAdded{it, it % 3, 4, 8});
  std::vector<std::size_t> out;
  RequestKey key = 0;
  for (int round = 0; round < 4; ++round) {
    std::size_t sum = 0;
    for (AdapterKey it = 0; it < adapters; ++it) {
      now += 100ms;
      sum += send(RequestArrived{++key, 1 + it * 7919 % adapters, 1, now + 10s,
                                 it % 5, 100, it % 7});
      sum += send(Tick{});
      if (key > 20)
        sum += send(RequestFinished{key - 20});
      // Orders of the previous step are carried out by now.
      auto open = actions;
      actions.clear();
      for (const auto &action : open) {
        if (const auto *load = std::get_if<Load>(&action))
          sum += send(LoadDone{load->Replica, load->Adapter, load->Order});
        if (const auto *evict = std::get_if<Evict>(&action))
          sum += send(
              EvictDone{evict->Replica, evict->Adapter, false, evict->Order});
      }
    }
    out.push_back(sum);
  }
  return out;
}

} // namespace

TEST_CASE("a core in a steady state does not allocate", "[core]") {
  auto rounds = allocationsByRound(500);
  CHECK(rounds.front() > 0);
  CHECK(rounds.back() == 0);
}
