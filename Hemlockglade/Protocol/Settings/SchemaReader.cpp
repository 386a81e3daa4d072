#include "Hemlockglade/Protocol/Settings/SchemaReader.h"

#include "Hemlockglade/Protocol/Settings/TextChecks.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace hemlockglade {

namespace {

constexpr const char *ExpectedName =
    "a name of letters, digits, '.', '_' and '-', at most 64 bytes";
/// The tag that yaml-cpp gives a quoted scalar.
constexpr const char *QuotedTag = "!";

/// Describes the value found, for the end of a fault's text.
std::string foundText(const YAML::Node &node) {
  switch (node.Type()) {
  case YAML::NodeType::Scalar:
    return ", not '" + node.Scalar() + "'";
  case YAML::NodeType::Sequence:
    return ", not a list";
  case YAML::NodeType::Map:
    return ", not a mapping";
  default:
    return ", not an empty value";
  }
}

/// Parses a text that consists of one number and nothing else.
template <typename T> bool parseNumber(std::string_view text, T &out) {
  auto end = text.data() + text.size();
  auto [at, ec] = std::from_chars(text.data(), end, out);
  return ec == std::errc() && at == end && !text.empty();
}

bool readScalarNumber(const YAML::Node &node, NumberRange range,
                      std::uint64_t &out) {
  return node.IsScalar() && node.Tag() != QuotedTag &&
         parseNumber(node.Scalar(), out) && out >= range.Min &&
         out <= range.Max;
}

std::string rangeText(NumberRange range, std::string_view unit) {
  return "a whole number" + std::string(unit) + " from " +
         std::to_string(range.Min) + " to " + std::to_string(range.Max);
}

} // namespace

void FaultList::add(const YAML::Mark &mark, std::string key,
                    std::string expected) {
  Faults.push_back(
      {File, std::max(mark.line, 0) + 1, std::move(key), std::move(expected)});
}

SettingsFaults FaultList::take() {
  std::stable_sort(
      Faults.begin(), Faults.end(),
      [](const auto &a, const auto &b) { return a.Line < b.Line; });
  return std::move(Faults);
}

tl::expected<YAML::Node, SettingsFaults> parseYaml(const std::string &text,
                                                   const std::string &file) {
  FaultList faults(file);
  try {
    auto root = YAML::Load(text);
    if (root.IsMap())
      return root;
    faults.add(root.Mark(), "", "a mapping of keys" + foundText(root));
  } catch (const YAML::Exception &error) {
    faults.add(error.mark, "", "well-formed YAML: " + error.msg);
  }
  return tl::unexpected(faults.take());
}

SchemaReader::SchemaReader(const YAML::Node &node, std::string path,
                           FaultList &faults)
    : Map(node), Path(std::move(path)), Faults(faults) {
  if (Map.IsMap())
    return;
  auto key = Path.substr(0, Path.empty() ? 0 : Path.size() - 1);
  Faults.add(Map.Mark(), key, "a mapping of keys" + foundText(Map));
}

YAML::Node SchemaReader::find(const char *key, Presence presence) {
  Known.emplace_back(key);
  if (!Map.IsMap())
    return YAML::Node(YAML::NodeType::Undefined);
  for (const auto &it : Map) {
    if (it.first.IsScalar() && it.first.Scalar() == key)
      return it.second;
  }
  if (presence == Presence::Required)
    Faults.add(Map.Mark(), pathOf(key), "this key; it is missing");
  return YAML::Node(YAML::NodeType::Undefined);
}

void SchemaReader::text(const char *key, std::string &member, Presence presence,
                        std::string_view expected, const TextCheck &accept) {
  auto node = find(key, presence);
  if (!node.IsDefined())
    return;
  if (node.IsScalar() && accept(node.Scalar()))
    member = node.Scalar();
  else
    Faults.add(node.Mark(), pathOf(key),
               std::string(expected) + foundText(node));
}

void SchemaReader::name(const char *key, std::string &member,
                        Presence presence) {
  text(key, member, presence, ExpectedName, isName);
}

bool SchemaReader::readNumber(const char *key, NumberRange range,
                              std::uint64_t &out) {
  auto node = find(key, Presence::Optional);
  if (!node.IsDefined())
    return false;
  if (readScalarNumber(node, range, out))
    return true;
  Faults.add(node.Mark(), pathOf(key), rangeText(range, "") + foundText(node));
  return false;
}

void SchemaReader::milliseconds(const char *key, Span &member,
                                NumberRange range) {
  std::uint64_t out = 0;
  if (readNumber(key, range, out))
    member = std::chrono::milliseconds(out);
}

void SchemaReader::real(const char *key, double &member, double min,
                        double max) {
  auto node = find(key, Presence::Optional);
  if (!node.IsDefined())
    return;
  double out = 0;
  bool isValid = node.IsScalar() && node.Tag() != QuotedTag &&
                 parseNumber(node.Scalar(), out) && out >= min && out <= max;
  if (isValid)
    member = out;
  else
    fault(key, "a number from " + std::to_string(min) + " to " +
                   std::to_string(max) + foundText(node));
}

void SchemaReader::seconds(const char *key, Span &member, double min,
                           double max) {
  double out = inSeconds(member);
  real(key, out, min, max);
  member = spanOf(out);
}

void SchemaReader::flag(const char *key, bool &member) {
  constexpr std::string_view FlagNames[] = {"false", "true"};
  std::size_t index = member ? 1 : 0;
  choice(key, index, FlagNames);
  member = index == 1;
}

void SchemaReader::choice(const char *key, std::size_t &member,
                          std::span<const std::string_view> words) {
  auto node = find(key, Presence::Optional);
  if (!node.IsDefined())
    return;
  auto it = node.IsScalar()
                ? std::find(words.begin(), words.end(), node.Scalar())
                : words.end();
  if (it != words.end()) {
    member = static_cast<std::size_t>(it - words.begin());
    return;
  }
  std::string expected;
  for (auto word : words)
    expected += (expected.empty() ? "" : " or ") + std::string(word);
  Faults.add(node.Mark(), pathOf(key), expected + foundText(node));
}

void SchemaReader::list(
    const char *key, Presence presence,
    const std::function<void(const YAML::Node &, std::string)> &readItem) {
  auto node = find(key, presence);
  if (!node.IsDefined())
    return;
  if (!node.IsSequence()) {
    Faults.add(node.Mark(), pathOf(key), "a list" + foundText(node));
    return;
  }
  std::size_t n = 0;
  for (const auto &it : node)
    readItem(it, pathOf(key) + '[' + std::to_string(n++) + ']');
  if (n == 0 && presence == Presence::Required)
    Faults.add(node.Mark(), pathOf(key), "a list of at least one");
}

void SchemaReader::section(const char *key,
                           const std::function<void(SchemaReader &)> &bind) {
  auto node = find(key, Presence::Optional);
  if (!node.IsDefined())
    return;
  SchemaReader reader(node, pathOf(key) + '.', Faults);
  bind(reader);
  reader.finish();
}

void SchemaReader::names(const char *key, std::vector<std::string> &member,
                         Presence presence) {
  list(key, presence, [&](const YAML::Node &node, std::string path) {
    if (!node.IsScalar() || !isName(node.Scalar()))
      Faults.add(node.Mark(), std::move(path), ExpectedName + foundText(node));
    else if (std::find(member.begin(), member.end(), node.Scalar()) !=
             member.end())
      Faults.add(node.Mark(), std::move(path),
                 "each name once; '" + node.Scalar() + "' is a duplicate");
    else
      member.push_back(node.Scalar());
  });
}

void SchemaReader::texts(const char *key, std::vector<std::string> &member,
                         std::string_view expected,
                         bool (*accepts)(std::string_view)) {
  list(key, Presence::Optional, [&](const YAML::Node &node, std::string path) {
    if (node.IsScalar() && accepts(node.Scalar()))
      member.push_back(node.Scalar());
    else
      Faults.add(node.Mark(), std::move(path),
                 std::string(expected) + foundText(node));
  });
}

void SchemaReader::numbers(const char *key, std::vector<std::uint32_t> &member,
                           Presence presence, NumberRange range) {
  list(key, presence, [&](const YAML::Node &node, std::string path) {
    std::uint64_t out = 0;
    auto value = [&] { return static_cast<std::uint32_t>(out); };
    if (!readScalarNumber(node, range, out))
      Faults.add(node.Mark(), std::move(path),
                 rangeText(range, "") + foundText(node));
    else if (std::find(member.begin(), member.end(), value()) != member.end())
      Faults.add(node.Mark(), std::move(path),
                 "each number once; " + std::to_string(out) +
                     " is a duplicate");
    else
      member.push_back(value());
  });
}

void SchemaReader::finish() {
  if (!Map.IsMap())
    return;
  std::set<std::string> seen;
  for (const auto &it : Map) {
    auto key = it.first.IsScalar() ? it.first.Scalar() : std::string("?");
    if (!seen.insert(key).second) {
      Faults.add(it.first.Mark(), Path + key, "each key once; a duplicate");
      continue;
    }
    if (std::find(Known.begin(), Known.end(), key) != Known.end())
      continue;
    std::string expected = "one of the keys";
    for (const auto &known : Known)
      expected += (&known == &Known.front() ? " " : ", ") + known;
    Faults.add(it.first.Mark(), Path + key, expected + "; it is unknown");
  }
}

void SchemaReader::fault(const char *key, std::string expected) {
  Faults.add(markOf(key), pathOf(key), std::move(expected));
}

YAML::Mark SchemaReader::markOf(const char *key) const {
  if (Map.IsMap()) {
    for (const auto &it : Map) {
      if (it.first.IsScalar() && it.first.Scalar() == key)
        return it.first.Mark();
    }
  }
  return Map.Mark();
}

} // namespace hemlockglade
