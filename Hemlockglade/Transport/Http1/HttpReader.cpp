#include "Hemlockglade/Transport/Http1/HttpReader.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace hemlockglade {

namespace {

/// Returns whether a head is one of HTTP/1 whose fields are valid; http_parser
/// accepts more, depending on how it was built.
bool isHeadValid(const http_parser &parser, const HeaderFields &fields) {
  bool isStatusLineValid =
      parser.type == HTTP_REQUEST || isStatusValid(parser.status_code);
  return parser.http_major == 1 && isStatusLineValid &&
         std::all_of(fields.begin(), fields.end(), [](const auto &it) {
           return isFieldValid(it.Name, it.Value);
         });
}

/// Returns whether a head's fields frame its body in one way only. http_parser
/// accepts some forms that other implementations interpret differently: another
/// coding after "chunked".
bool isFramingUnambiguous(const HeaderFields &fields) {
  std::size_t framings = 0;
  for (const auto &it : fields) {
    bool isTransferEncoding = sameFieldName(it.Name, "Transfer-Encoding");
    if (isTransferEncoding && !sameFieldName(it.Value, "chunked"))
      return false;
    framings +=
        isTransferEncoding || sameFieldName(it.Name, "Content-Length") ? 1 : 0;
  }
  return framings <= 1;
}

} // namespace

/// Callbacks of http_parser; `data` is the reader.
struct HttpReader::Callbacks {
  static HttpReader &self(http_parser *parser) {
    return *static_cast<HttpReader *>(parser->data);
  }

  static int onBegin(http_parser *parser) {
    self(parser).Current = State::InHead;
    return 0;
  }

  static int onTarget(http_parser *parser, const char *data, std::size_t n) {
    self(parser).Request.Target.append(data, n);
    return 0;
  }

  static int onName(http_parser *parser, const char *data, std::size_t n) {
    if (self(parser).headComplete())
      return 0;
    auto &fields = self(parser).fields();
    if (fields.empty() || std::exchange(self(parser).IsInValue, false))
      fields.emplace_back();
    fields.back().Name.append(data, n);
    return 0;
  }

  static int onValue(http_parser *parser, const char *data, std::size_t n) {
    if (self(parser).headComplete())
      return 0;
    self(parser).IsInValue = true;
    self(parser).fields().back().Value.append(data, n);
    return 0;
  }

  static int onHeadComplete(http_parser *parser) {
    constexpr int Refuse = -1;
    auto &reader = self(parser);
    if (!isHeadValid(*parser, reader.fields()) ||
        !isFramingUnambiguous(reader.fields()))
      return Refuse;
    reader.Current = State::InBody;
    constexpr auto Unknown = std::numeric_limits<std::uint64_t>::max();
    if (parser->content_length != Unknown)
      reader.AnnouncedLength = parser->content_length;
    reader.Answer.Status = static_cast<std::uint16_t>(parser->status_code);
    if (reader.Direction == Side::Requests)
      reader.Request.Method =
          http_method_str(static_cast<http_method>(parser->method));
    if (reader.OnHead)
      reader.OnHead();
    return reader.IsBodiless ? 1 : 0;
  }

  static int onBody(http_parser *parser, const char *data, std::size_t n) {
    auto &reader = self(parser);
    if (reader.OnBody)
      reader.OnBody({data, n});
    return 0;
  }

  static int onComplete(http_parser *parser) {
    auto &reader = self(parser);
    reader.Current = State::Complete;
    reader.KeepsAlive = http_should_keep_alive(parser) != 0;
    http_parser_pause(parser, 1);
    return 0;
  }

  static const http_parser_settings &table() {
    static const http_parser_settings Table = [] {
      http_parser_settings out{};
      out.on_message_begin = &onBegin;
      out.on_url = &onTarget;
      out.on_header_field = &onName;
      out.on_header_value = &onValue;
      out.on_headers_complete = &onHeadComplete;
      out.on_body = &onBody;
      out.on_message_complete = &onComplete;
      return out;
    }();
    return Table;
  }
};

HttpReader::HttpReader(Side side) : Direction(side) { next(); }

HeaderFields &HttpReader::fields() {
  return Direction == Side::Requests ? Request.Fields : Answer.Fields;
}

std::size_t HttpReader::heldBytes() const {
  const auto &fields =
      Direction == Side::Requests ? Request.Fields : Answer.Fields;
  return HeadBytes + fields.capacity() * sizeof(HeaderField);
}

void HttpReader::next(bool bodiless) {
  http_parser_init(&Parser,
                   Direction == Side::Requests ? HTTP_REQUEST : HTTP_RESPONSE);
  Parser.data = this;
  Request = {};
  Answer = {};
  AnnouncedLength.reset();
  HeadBytes = 0;
  IsInValue = false;
  IsHeadTooLarge = false;
  IsBodiless = bodiless;
  Current = State::Idle;
}

std::size_t HttpReader::feed(std::string_view bytes) {
  if (Current == State::Complete || Current == State::Broken || bytes.empty())
    return 0;
  bool inHead = !headComplete();
  auto n = http_parser_execute(&Parser, &Callbacks::table(), bytes.data(),
                               bytes.size());
  if (inHead && !headComplete())
    HeadBytes += n;
  auto error = HTTP_PARSER_ERRNO(&Parser);
  bool isPaused = error == HPE_PAUSED && Current == State::Complete;
  IsHeadTooLarge = error == HPE_HEADER_OVERFLOW || HeadBytes > MaxHeadBytes;
  if (IsHeadTooLarge || (error != HPE_OK && !isPaused) || Parser.upgrade)
    Current = State::Broken;
  return n;
}

void HttpReader::finish() {
  if (Current == State::Complete || Current == State::Broken ||
      Current == State::Idle)
    return;
  http_parser_execute(&Parser, &Callbacks::table(), nullptr, 0);
  if (Current != State::Complete)
    Current = State::Broken;
}

} // namespace hemlockglade
