#include "Hemlockglade/Transport/Http1/HttpMessage.h"

#include <algorithm>
#include <array>
#include <http_parser.h>

namespace hemlockglade {

namespace {

constexpr std::array<std::string_view, 9> ConnectionFields{
    "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "TE",
    "Trailer",    "Upgrade",    "Expect",           "Content-Length"};

char lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c;
}

std::string_view trimmed(std::string_view text) {
  constexpr std::string_view Blanks = " \t";
  auto first = text.find_first_not_of(Blanks);
  if (first == std::string_view::npos)
    return {};
  return text.substr(first, text.find_last_not_of(Blanks) - first + 1);
}

bool isTokenChar(char c) {
  constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
  return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') ||
         (c >= 'a' && c <= 'z') || Marks.find(c) != std::string_view::npos;
}

bool isValueChar(char c) {
  constexpr unsigned char Delete = 0x7F;
  auto byte = static_cast<unsigned char>(c);
  return c == '\t' || (byte >= ' ' && byte != Delete);
}

void appendFields(std::string &out, const HeaderFields &fields) {
  for (const auto &it : fields)
    out.append(it.Name).append(": ").append(it.Value).append("\r\n");
  out.append("\r\n");
}

} // namespace

bool sameFieldName(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(),
                    [](char x, char y) { return lower(x) == lower(y); });
}

const std::string *findField(const HeaderFields &fields,
                             std::string_view name) {
  for (const auto &it : fields)
    if (sameFieldName(it.Name, name))
      return &it.Value;
  return nullptr;
}

bool isConnectionField(std::string_view name) {
  return std::any_of(
      ConnectionFields.begin(), ConnectionFields.end(),
      [name](std::string_view it) { return sameFieldName(it, name); });
}

bool hasToken(std::string_view value, std::string_view word) {
  while (!value.empty()) {
    auto comma = value.find(',');
    if (sameFieldName(trimmed(value.substr(0, comma)), word))
      return true;
    if (comma == std::string_view::npos)
      return false;
    value.remove_prefix(comma + 1);
  }
  return false;
}

bool isFieldValid(std::string_view name, std::string_view value) {
  return !name.empty() && std::all_of(name.begin(), name.end(), isTokenChar) &&
         std::all_of(value.begin(), value.end(), isValueChar);
}

bool isStatusValid(unsigned status) {
  constexpr unsigned First = 100;
  constexpr unsigned Last = 599;
  constexpr unsigned SwitchingProtocols = 101;
  return status >= First && status <= Last && status != SwitchingProtocols;
}

std::string_view HttpRequestHead::path() const {
  std::string_view target = Target;
  return target.substr(0, target.find('?'));
}

std::string_view reasonPhrase(std::uint16_t status) {
  return http_status_str(static_cast<http_status>(status));
}

std::string writeHead(const HttpRequestHead &head) {
  std::string out;
  out.append(head.Method).append(" ").append(head.Target);
  out.append(" HTTP/1.1\r\n");
  appendFields(out, head.Fields);
  return out;
}

std::string writeHead(const HttpAnswerHead &head) {
  std::string out = "HTTP/1.1 " + std::to_string(head.Status) + " ";
  out.append(reasonPhrase(head.Status)).append("\r\n");
  appendFields(out, head.Fields);
  return out;
}

} // namespace hemlockglade
