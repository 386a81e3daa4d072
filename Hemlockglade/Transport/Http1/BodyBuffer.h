#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockglade {

/// Collects a body whose size is not known beforehand, in blocks: it never
/// holds much more than it has received, and nothing is copied while it grows.
class BodyBuffer {
public:
  static constexpr std::size_t BlockBytes = std::size_t{64} << 10U;

  void append(std::string_view part);
  std::size_t size() const { return Size; }
  /// Returns the memory that it takes.
  std::size_t heldBytes() const;
  /// Moves the body out. Each block is freed once it is copied.
  std::string take();
  void clear() { take(); }

private:
  std::vector<std::string> Blocks;
  std::size_t Size = 0;
};

} // namespace hemlockglade
