#include "Bench/Core/Popularity.h"

#include <algorithm>
#include <cassert>
#include <numeric>

namespace hemlockglade::bench {

Popularity::Popularity(std::uint32_t adapters, std::uint32_t idle, double zipf,
                       Random &random)
    : Adapters(adapters) {
  assert(idle < adapters);
  std::iota(Adapters.begin(), Adapters.end(), 1);
  // Shuffled, so that a policy can't infer ranks from keys.
  for (std::size_t it = adapters; it > 1; --it)
    std::swap(Adapters[it - 1], Adapters[random.below(it)]);
  double sum = 0;
  for (std::uint32_t rank = 1; rank <= adapters - idle; ++rank) {
    sum += std::pow(rank, -zipf);
    Cumulated.push_back(sum);
  }
  for (double &it : Cumulated)
    it /= sum;
  for (std::size_t rank = 0; rank < Adapters.size(); ++rank)
    Changes.push_back({Instant{}, Adapters[rank], share(rank)});
}

AdapterKey Popularity::draw(Random &random) const {
  auto it =
      std::upper_bound(Cumulated.begin(), Cumulated.end(), random.uniform());
  std::size_t rank = static_cast<std::size_t>(it - Cumulated.begin());
  return Adapters[std::min(rank, Cumulated.size() - 1)];
}

void Popularity::exchange(std::size_t one, std::size_t other, Instant now) {
  std::swap(Adapters[one], Adapters[other]);
  Changes.push_back({now, Adapters[one], share(one)});
  Changes.push_back({now, Adapters[other], share(other)});
}

double Popularity::share(std::size_t rank) const {
  if (rank >= Cumulated.size())
    return 0;
  return rank == 0 ? Cumulated[0] : Cumulated[rank] - Cumulated[rank - 1];
}

} // namespace hemlockglade::bench
