#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockglade {

/// One header field as it was sent.
struct HeaderField {
  std::string Name;
  std::string Value;
};

using HeaderFields = std::vector<HeaderField>;

/// Whether two field names are the same; HTTP ignores their case.
bool sameFieldName(std::string_view a, std::string_view b);
/// The first field of that name, or nothing.
const std::string *findField(const HeaderFields &fields, std::string_view name);
/// Whether the field concerns one connection only and is never passed on.
bool isConnectionField(std::string_view name);
/// Whether one of the comma-separated words of a value is `word`.
bool hasToken(std::string_view value, std::string_view word);

/// Start line and fields of a request.
struct HttpRequestHead {
  std::string Method;
  /// Path and query as sent.
  std::string Target;
  HeaderFields Fields;

  /// The target without its query.
  std::string_view path() const;
};

/// Start line and fields of an answer.
struct HttpAnswerHead {
  std::uint16_t Status = 0;
  HeaderFields Fields;
};

/// The usual reason phrase of a status.
std::string_view reasonPhrase(std::uint16_t status);

/// Writes a request's head; the fields must include its framing.
std::string writeHead(const HttpRequestHead &head);
/// Writes an answer's head; the fields must include its framing.
std::string writeHead(const HttpAnswerHead &head);

} // namespace hemlockglade
