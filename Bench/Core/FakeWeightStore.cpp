#include "Bench/Core/FakeWeightStore.h"

#include <algorithm>

namespace hemlockglade::bench {

namespace {

constexpr double Finished = 1e-6;
constexpr double FailingPart = 0.5;

} // namespace

FakeWeightStore::FakeWeightStore(VirtualLoop &loop,
                                 const FakeWeightStoreSettings &settings,
                                 std::uint64_t seed)
    : Loop(loop), Settings(settings), Draw(seed), Rate(settings.LoadsPerS) {}

FakeWeightStore::Ticket FakeWeightStore::start(AdapterKey adapter, Done done) {
  progress();
  Ticket ticket = ++Started;
  bool fails = Draw.uniform() < Settings.Failures || broken(adapter);
  Transfers[ticket] = {fails ? FailingPart : 1.0, fails, std::move(done)};
  schedule();
  Loop.after(seconds(Settings.TimeoutS), [this, ticket] {
    if (!Transfers.contains(ticket))
      return;
    progress();
    finish(ticket, false);
    schedule();
  });
  return ticket;
}

void FakeWeightStore::cancel(Ticket ticket) {
  progress();
  Transfers.erase(ticket);
  schedule();
}

void FakeWeightStore::setRate(double loadsPerS) {
  progress();
  Rate = loadsPerS;
  schedule();
}

bool FakeWeightStore::broken(AdapterKey adapter) const {
  return Random(adapter).uniform() < Settings.BrokenAdapters;
}

void FakeWeightStore::progress() {
  double elapsed = toSeconds(Loop.now() - Since);
  Since = Loop.now();
  double part = elapsed * Rate / std::max(1.0, transfers());
  for (auto &[ticket, transfer] : Transfers)
    transfer.Left -= part;
}

void FakeWeightStore::schedule() {
  std::uint64_t generation = ++Generation;
  if (Transfers.empty() || Rate <= 0)
    return;
  double minLeft = 1;
  for (const auto &[ticket, transfer] : Transfers)
    minLeft = std::min(minLeft, transfer.Left);
  double wait = std::max(0.0, minLeft) * transfers() / Rate;
  Loop.after(seconds(wait) + Span(1), [this, generation] {
    if (generation != Generation)
      return;
    progress();
    finishReady();
    schedule();
  });
}

void FakeWeightStore::finishReady() {
  std::vector<Ticket> ready;
  for (const auto &[ticket, transfer] : Transfers) {
    if (transfer.Left <= Finished)
      ready.push_back(ticket);
  }
  for (Ticket it : ready)
    finish(it, !Transfers.at(it).Fails);
}

void FakeWeightStore::finish(Ticket ticket, bool worked) {
  auto done = std::move(Transfers.at(ticket).Call);
  Transfers.erase(ticket);
  // Deferred to the loop, since `done` may start the next load.
  Loop.after({}, [done = std::move(done), worked] { done(worked); });
}

} // namespace hemlockglade::bench
