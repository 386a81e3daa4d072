#include "WireReader.h"

#include <algorithm>
#include <charconv>

namespace hemlockglade::bench {

namespace {

constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr std::size_t StatusAt = 9;
constexpr std::size_t LineEndBytes = 2;

} // namespace

void WireReader::reset() {
  Current = State::Head;
  Head.clear();
  SizeLine.clear();
  Body.clear();
}

void WireReader::consume(std::string_view data) {
  while (!data.empty() && Current != State::Whole && Current != State::Broken) {
    std::size_t n = 0;
    if (Current == State::Head)
      n = consumeHead(data);
    else if (Current == State::Size)
      n = consumeSize(data);
    else
      n = consumeData(data);
    data.remove_prefix(n);
  }
}

std::size_t WireReader::consumeHead(std::string_view data) {
  auto before = Head.size();
  Head.append(data);
  auto from = before < HeadEnd.size() ? 0 : before - HeadEnd.size();
  auto end = Head.find(HeadEnd, from);
  if (end == std::string::npos)
    return data.size();
  auto used = end + HeadEnd.size() - before;
  Status = std::atoi(Head.c_str() + StatusAt);
  bool chunked = Head.find("chunked") != std::string::npos;
  Current = chunked ? State::Size : State::Broken;
  return used;
}

std::size_t WireReader::consumeSize(std::string_view data) {
  auto end = data.find('\n');
  SizeLine.append(data.substr(0, end));
  if (end == std::string_view::npos)
    return data.size();
  std::size_t n = 0;
  std::from_chars(SizeLine.data(), SizeLine.data() + SizeLine.size(), n, 16);
  SizeLine.clear();
  // Includes the line end that follows the chunk's data. The last chunk has
  // no data but also ends with a line end.
  Left = n + LineEndBytes;
  Current = n ? State::Data : State::DataEnd;
  return end + 1;
}

std::size_t WireReader::consumeData(std::string_view data) {
  auto n = std::min(Left, data.size());
  auto payload = Left > LineEndBytes ? Left - LineEndBytes : 0;
  Body.append(data.substr(0, std::min(n, payload)));
  Left -= n;
  emitLines();
  if (Left == 0)
    Current = Current == State::Data ? State::Size : State::Whole;
  return n;
}

void WireReader::emitLines() {
  std::string_view rest = Body;
  for (auto end = rest.find('\n'); end != std::string_view::npos;
       end = rest.find('\n')) {
    OnLine(rest.substr(0, end));
    rest.remove_prefix(end + 1);
  }
  Body.erase(0, Body.size() - rest.size());
}

} // namespace hemlockglade::bench
