#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace hemlockglade::bench {

/// Reads one HTTP/1.1 answer with a chunked body, as its bytes arrive.
class WireReader {
public:
  enum class State : std::uint8_t { Head, Size, Data, DataEnd, Whole, Broken };

  /// Called for each line of the body, without its line feed.
  std::function<void(std::string_view line)> OnLine;

  /// Takes in bytes; what follows a whole answer is dropped.
  void take(std::string_view data);
  /// Makes ready for the next answer.
  void reset();

  State state() const { return Now; }
  int status() const { return Status; }

private:
  std::size_t takeHead(std::string_view data);
  std::size_t takeSize(std::string_view data);
  std::size_t takeData(std::string_view data);
  void giveLines();

  State Now = State::Head;
  int Status = 0;
  std::string Head;
  std::string SizeLine;
  std::string Body;
  std::size_t Left = 0;
};

} // namespace hemlockglade::bench
