#pragma once

#include "Hemlockglade/Protocol/Settings/SettingsFault.h"
#include "Hemlockglade/State/Ids.h"

#include <functional>
#include <span>
#include <tl/expected.hpp>
#include <yaml-cpp/yaml.h>

namespace hemlockglade {

/// Whether a key must be present.
enum class Presence : std::uint8_t { Optional, Required };

/// Minimum and maximum allowed number, both inclusive.
struct NumberRange {
  std::uint64_t Min = 0;
  std::uint64_t Max = 0;
};

/// Collects the faults of one file.
class FaultList {
public:
  explicit FaultList(std::string file) : File(std::move(file)) {}

  /// Adds a fault at a position in the file; `expected` says what is valid
  /// there.
  void add(const YAML::Mark &mark, std::string key, std::string expected);
  /// Moves the faults out, ordered by line.
  SettingsFaults take();
  bool empty() const { return Faults.empty(); }

private:
  std::string File;
  SettingsFaults Faults;
};

/// Parses the text of a YAML file whose root must be a mapping. A syntax error
/// is returned as a fault; `file` is the file name given in it.
tl::expected<YAML::Node, SettingsFaults> parseYaml(const std::string &text,
                                                   const std::string &file);

/// Reads one YAML mapping against a schema. Each call binds a key to a member
/// and leaves the member unchanged if the key is missing; an invalid value is
/// a fault. `finish` adds faults for unknown and duplicate keys.
class SchemaReader {
public:
  using TextCheck = std::function<bool(std::string_view)>;

  /// `path` is the prefix of the keys in faults, such as `replicas[2].`.
  SchemaReader(const YAML::Node &node, std::string path, FaultList &faults);

  /// Text that `accept` returns true for; `expected` describes it in faults.
  void text(const char *key, std::string &member, Presence presence,
            std::string_view expected, const TextCheck &accept);
  /// A name, see `isName`.
  void name(const char *key, std::string &member, Presence presence);
  /// A whole number within a range.
  template <typename T>
  void number(const char *key, T &member, NumberRange range);
  /// A whole number of milliseconds within a range.
  void milliseconds(const char *key, Span &member, NumberRange range);
  /// A number of seconds within a range, fractions included.
  void seconds(const char *key, Span &member, double min, double max);
  /// A number within a range, fractions included.
  void real(const char *key, double &member, double min, double max);
  /// `true` or `false`.
  void flag(const char *key, bool &member);
  /// One of several words; sets `member` to the index of the word found.
  void choice(const char *key, std::size_t &member,
              std::span<const std::string_view> words);
  /// A list; `readItem` is called with each item and its path.
  void
  list(const char *key, Presence presence,
       const std::function<void(const YAML::Node &, std::string)> &readItem);
  /// A mapping with a schema of its own.
  void section(const char *key,
               const std::function<void(SchemaReader &)> &bind);
  /// A list of names without duplicates.
  void names(const char *key, std::vector<std::string> &member,
             Presence presence);
  /// A list of texts that `accepts` returns true for.
  void texts(const char *key, std::vector<std::string> &member,
             std::string_view expected, bool (*accepts)(std::string_view));
  /// A list of whole numbers without duplicates.
  void numbers(const char *key, std::vector<std::uint32_t> &member,
               Presence presence, NumberRange range);

  /// Adds a fault for each unknown and each duplicate key. Called last.
  void finish();

  /// Adds a fault at a key of this mapping.
  void fault(const char *key, std::string expected);
  /// Returns the position of a key, or of the mapping if the key is missing.
  YAML::Mark markOf(const char *key) const;
  /// Returns the full path of a key.
  std::string pathOf(const char *key) const { return Path + key; }
  /// Returns the keys bound so far.
  const std::vector<std::string> &keys() const { return Known; }

private:
  /// Returns the value of a key, or an undefined node; a missing required key
  /// is a fault. Adds the key to the known ones.
  YAML::Node find(const char *key, Presence presence);
  bool readNumber(const char *key, NumberRange range, std::uint64_t &out);

  YAML::Node Map;
  std::string Path;
  FaultList &Faults;
  std::vector<std::string> Known;
};

template <typename T>
void SchemaReader::number(const char *key, T &member, NumberRange range) {
  std::uint64_t out = 0;
  if (readNumber(key, range, out))
    member = static_cast<T>(out);
}

} // namespace hemlockglade
