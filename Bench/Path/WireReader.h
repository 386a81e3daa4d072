#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace hemlockglade::bench {

/// Incremental parser of one HTTP/1.1 answer with a chunked body.
class WireReader {
public:
  enum class State : std::uint8_t { Head, Size, Data, DataEnd, Whole, Broken };

  /// Called for each line of the body, without its line feed.
  std::function<void(std::string_view line)> OnLine;

  /// Parses received bytes; those that follow a whole answer are ignored.
  void consume(std::string_view data);
  /// Resets the parser for the next answer.
  void reset();

  State state() const { return Current; }
  int status() const { return Status; }

private:
  std::size_t consumeHead(std::string_view data);
  std::size_t consumeSize(std::string_view data);
  std::size_t consumeData(std::string_view data);
  void emitLines();

  State Current = State::Head;
  int Status = 0;
  std::string Head;
  std::string SizeLine;
  std::string Body;
  std::size_t Left = 0;
};

} // namespace hemlockglade::bench
