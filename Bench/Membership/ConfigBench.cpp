#include "Bench/Membership/ConfigBench.h"

#include "Hemlockglade/Coordination/Coordination.h"
#include "Hemlockglade/Protocol/Protocol.h"

#include <chrono>
#include <malloc.h>
#include <ostream>

namespace hemlockglade::bench {

namespace {

constexpr std::size_t Changes = 2000;

AdapterConfig adapter(std::size_t number, std::uint32_t current) {
  return {"adapter-" + std::to_string(number), "assistant", current, {current}};
}

/// Runs `work` `n` times and returns the mean time of a run in microseconds.
template <typename Work> double micros(std::size_t n, Work work) {
  auto begin = std::chrono::steady_clock::now();
  for (std::size_t it = 0; it < n; ++it)
    work(it);
  std::chrono::duration<double, std::micro> span =
      std::chrono::steady_clock::now() - begin;
  return span.count() / static_cast<double>(n);
}

void measure(std::ostream &out, std::size_t n) {
  auto before = mallinfo2().uordblks;
  CatalogStore store;
  auto whole = micros(1, [&](std::size_t) {
    std::vector<ConfigChange> all;
    for (std::size_t it = 0; it < n; ++it)
      all.push_back({adapter(it, 1)});
    store.replace(CatalogView().with(1, all));
  });
  auto bytes = mallinfo2().uordblks - before;
  auto first = store.current();
  Revision number = 1;
  auto change = micros(Changes, [&](std::size_t it) {
    ConfigDelta delta{++number, "c", "o", {{adapter(it * 7919 % n, 2)}}};
    store.apply(delta);
  });
  std::string text;
  auto coded = micros(Changes, [&](std::size_t it) {
    ConfigDelta delta{++number,
                      "command-id-of-an-operator",
                      "operator",
                      {{adapter(it * 7919 % n, 3)}}};
    text = encodeDelta(delta);
    store.apply(*decodeDelta(text));
  });
  auto last = store.current();
  auto sharedMicros = micros(10, [&](std::size_t) { first->changesTo(*last); });
  auto rebuilt = CatalogView::of(last->catalog());
  auto unsharedMicros =
      micros(10, [&](std::size_t) { rebuilt.changesTo(*last); });
  std::size_t snapshotBytes = 0;
  auto snapshot = micros(1, [&](std::size_t) {
    for (std::size_t it = 0; it < CatalogView::PieceCount; ++it)
      snapshotBytes += encodePiece(*last, it).size();
  });
  out << n << " | " << static_cast<double>(bytes) / static_cast<double>(n)
      << " | " << change << " | " << coded << " | " << text.size() << " | "
      << sharedMicros << " | " << unsharedMicros << " | " << whole / 1000
      << " | " << snapshot / 1000 << " | " << snapshotBytes << std::endl;
}

} // namespace

void measureConfiguration(std::ostream &out) {
  ConfigDelta delta{Revision{33000},
                    "command-id-of-an-operator",
                    "operator",
                    {{adapter(48999, 3)}}};
  ConfigAnswer answer{delta.Number, false, {encodeDelta(delta)}, {}};
  out << "# bytes to fetch one change of one adapter: "
      << pack(ConfigFetch{delta.Number - 1, -1}).size() << " asked, "
      << pack(answer).size() << " answered\n";
  out << "# configuration: adapters | bytes/entry | us per change | with its "
         "text | bytes of the text | us to compare after "
      << 2 * Changes
      << " changes | us to compare without shared shards | ms to build | ms "
         "to write a snapshot | its bytes"
      << std::endl;
  for (std::size_t n : {1000, 10000, 49000})
    measure(out, n);
}

} // namespace hemlockglade::bench
