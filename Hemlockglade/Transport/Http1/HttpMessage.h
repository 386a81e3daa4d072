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

/// Returns whether two field names are equal, ignoring case as HTTP does.
bool sameFieldName(std::string_view a, std::string_view b);
/// Returns the value of the first field of that name, or nullptr.
const std::string *findField(const HeaderFields &fields, std::string_view name);
/// Returns whether the field applies to one connection only and must not be
/// forwarded.
bool isConnectionField(std::string_view name);
/// Returns whether a comma-separated value contains `word`, ignoring case.
bool hasToken(std::string_view value, std::string_view word);

/// Returns whether a field's name is a token and its value holds no control
/// character but tabs (RFC 9110, 5.5 and 5.6.2).
bool isFieldValid(std::string_view name, std::string_view value);
/// Returns whether an answer may have this status (RFC 9110, 15). None of ours
/// is 101, as no request asks for another protocol.
bool isStatusValid(unsigned status);

/// Start line and fields of a request.
struct HttpRequestHead {
  std::string Method;
  /// Path and query as sent.
  std::string Target;
  HeaderFields Fields;

  /// Returns the target without its query.
  std::string_view path() const;
};

/// Start line and fields of an answer.
struct HttpAnswerHead {
  std::uint16_t Status = 0;
  HeaderFields Fields;
};

/// Returns the standard reason phrase of a status.
std::string_view reasonPhrase(std::uint16_t status);

/// Writes a request's head; the fields must include its framing.
std::string writeHead(const HttpRequestHead &head);
/// Writes an answer's head; the fields must include its framing.
std::string writeHead(const HttpAnswerHead &head);

} // namespace hemlockglade
