#include "Hemlockglade/Transport/Http1/HttpReader.h"

#include <utility>

namespace hemlockglade {

namespace {

/// Whether a head's fields frame its body in one way only. The parser takes
/// some forms that others read differently: a blank in a name, another coding
/// behind "chunked".
bool isFramedOnce(const HeaderFields &fields) {
  std::size_t framings = 0;
  for (const auto &it : fields) {
    if (it.Name.find_first_of(" \t") != std::string::npos)
      return false;
    bool coded = sameFieldName(it.Name, "Transfer-Encoding");
    if (coded && !sameFieldName(it.Value, "chunked"))
      return false;
    framings += coded || sameFieldName(it.Name, "Content-Length") ? 1 : 0;
  }
  return framings <= 1;
}

} // namespace

/// http_parser's callbacks; `data` is the reader.
struct HttpReader::Callbacks {
  static HttpReader &self(http_parser *parser) {
    return *static_cast<HttpReader *>(parser->data);
  }

  static int onBegin(http_parser *parser) {
    self(parser).Now = State::InHead;
    return 0;
  }

  static int onTarget(http_parser *parser, const char *data, std::size_t n) {
    self(parser).Request.Target.append(data, n);
    return 0;
  }

  static int onName(http_parser *parser, const char *data, std::size_t n) {
    auto &fields = self(parser).fields();
    if (fields.empty() || std::exchange(self(parser).InValue, false))
      fields.emplace_back();
    fields.back().Name.append(data, n);
    return 0;
  }

  static int onValue(http_parser *parser, const char *data, std::size_t n) {
    self(parser).InValue = true;
    self(parser).fields().back().Value.append(data, n);
    return 0;
  }

  static int onHeadComplete(http_parser *parser) {
    constexpr int Refuse = -1;
    auto &reader = self(parser);
    if (!isFramedOnce(reader.fields()))
      return Refuse;
    reader.Now = State::InBody;
    reader.Answer.Status = static_cast<std::uint16_t>(parser->status_code);
    if (reader.Direction == Side::Requests)
      reader.Request.Method =
          http_method_str(static_cast<http_method>(parser->method));
    if (reader.OnHead)
      reader.OnHead();
    return reader.Bodiless ? 1 : 0;
  }

  static int onBody(http_parser *parser, const char *data, std::size_t n) {
    auto &reader = self(parser);
    if (reader.OnBody)
      reader.OnBody({data, n});
    return 0;
  }

  static int onComplete(http_parser *parser) {
    auto &reader = self(parser);
    reader.Now = State::Complete;
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

void HttpReader::next(bool bodiless) {
  http_parser_init(&Parser,
                   Direction == Side::Requests ? HTTP_REQUEST : HTTP_RESPONSE);
  Parser.data = this;
  Request = {};
  Answer = {};
  HeadBytes = 0;
  InValue = false;
  TooLarge = false;
  Bodiless = bodiless;
  Now = State::Idle;
}

std::size_t HttpReader::feed(std::string_view bytes) {
  if (Now == State::Complete || Now == State::Broken || bytes.empty())
    return 0;
  bool inHead = !headComplete();
  auto n = http_parser_execute(&Parser, &Callbacks::table(), bytes.data(),
                               bytes.size());
  if (inHead && !headComplete())
    HeadBytes += n;
  auto error = HTTP_PARSER_ERRNO(&Parser);
  bool paused = error == HPE_PAUSED && Now == State::Complete;
  TooLarge = error == HPE_HEADER_OVERFLOW || HeadBytes > HeadLimit;
  if (TooLarge || (error != HPE_OK && !paused) || Parser.upgrade)
    Now = State::Broken;
  return n;
}

void HttpReader::finish() {
  if (Now == State::Complete || Now == State::Broken || Now == State::Idle)
    return;
  http_parser_execute(&Parser, &Callbacks::table(), nullptr, 0);
  if (Now != State::Complete)
    Now = State::Broken;
}

} // namespace hemlockglade
