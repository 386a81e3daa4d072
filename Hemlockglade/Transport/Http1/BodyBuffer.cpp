#include "Hemlockglade/Transport/Http1/BodyBuffer.h"

#include <algorithm>
#include <utility>

namespace hemlockglade {

void BodyBuffer::append(std::string_view part) {
  Size += part.size();
  while (!part.empty()) {
    if (Blocks.empty() || Blocks.back().size() == BlockBytes)
      Blocks.emplace_back();
    auto &block = Blocks.back();
    auto n = std::min(part.size(), BlockBytes - block.size());
    if (block.size() + n > block.capacity())
      block.reserve(std::min(BlockBytes, 2 * (block.size() + n)));
    block.append(part.substr(0, n));
    part.remove_prefix(n);
  }
}

std::size_t BodyBuffer::heldBytes() const {
  if (Blocks.empty())
    return 0;
  return (Blocks.size() - 1) * BlockBytes + Blocks.back().capacity();
}

std::string BodyBuffer::take() {
  auto blocks = std::exchange(Blocks, {});
  auto size = std::exchange(Size, 0);
  if (blocks.size() <= 1)
    return blocks.empty() ? std::string() : std::move(blocks.front());
  std::string out;
  out.reserve(size);
  for (auto &it : blocks) {
    out.append(it);
    std::string().swap(it);
  }
  return out;
}

} // namespace hemlockglade
