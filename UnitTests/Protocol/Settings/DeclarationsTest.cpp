#include "Hemlockglade/Protocol/Protocol.h"
#include "UnitTests/Protocol/ExampleFile.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace hemlockglade;

namespace {

const std::string ValidDeclarations =
    "services:\n"
    "  - {name: assistant, kind: engine}\n"
    "  - {name: booking, kind: plain}\n"
    "replicas:\n"
    "  - {name: a-1, service: assistant, address: \"10.0.0.1:80\", "
    "failure_domain: hall-a}\n"
    "adapters:\n"
    "  - {name: oath-fr, service: assistant, versions: [6, 7]}\n";

std::string faultsOf(const std::string &text) {
  auto catalog = checkDeclarations(text, "d.yaml");
  return catalog ? "" : faultText(catalog.error());
}

template <typename T> T pick(const std::vector<T> &list) {
  return *rc::gen::elementOf(list);
}

std::uint32_t number(std::uint32_t min, std::uint32_t max) {
  return *rc::gen::inRange(min, max + 1);
}

const std::vector<std::string> NameCandidates = {
    "a",   "oath-fr", "7",  "null", "yes",  "0x1f",
    "1e3", "a.b",     "~x", "true", "x_-y", "007"};

std::string name() {
  auto word = pick(NameCandidates);
  return isName(word) ? word : "n" + word.substr(1);
}

/// Generates a catalog whose references are all valid.
Catalog anyCatalog() {
  Catalog out;
  for (auto n = number(1, 3); n > 0; --n) {
    auto kind =
        *rc::gen::arbitrary<bool>() ? ServiceKind::Plain : ServiceKind::Engine;
    auto base = kind == ServiceKind::Engine ? name() : "";
    auto key = name();
    out.Services[key] = {key, kind, number(1, 9), base};
  }
  out.Services["engine"] = {"engine", ServiceKind::Engine, 1, ""};
  std::vector<std::string> domains = {"hall-a"};
  out.Replicas["r-0"] = {"r-0", "engine", "10.0.0.1:80", "hall-a", 8, 32, true};
  for (auto n = number(0, 3); n > 0; --n) {
    auto key = name();
    auto service =
        std::next(out.Services.begin(), number(0, out.Services.size() - 1))
            ->first;
    domains.push_back(name());
    out.Replicas[key] = {key,
                         service,
                         "[::1]:" + std::to_string(number(1, 65535)),
                         domains.back(),
                         number(1, 100),
                         number(1, 100),
                         *rc::gen::arbitrary<bool>()};
    if (*rc::gen::arbitrary<bool>())
      out.Drained[key] = true;
  }
  // A replica generated later under the same name may have replaced the only
  // replica of a failure domain.
  domains.clear();
  for (const auto &[key, it] : out.Replicas)
    domains.push_back(it.FailureDomain);
  for (auto n = number(0, 4); n > 0; --n) {
    AdapterConfig it{name(), "engine", 0, {}};
    auto first = number(1, 5);
    for (auto count = number(1, 3); count > 0; --count)
      it.Versions.push_back(first + count);
    it.Current = pick(it.Versions);
    out.Adapters[it.Name] = it;
  }
  for (const auto &[key, it] : out.Adapters) {
    PinConfig pin{{key, it.Versions.front()}, "", number(1, 4)};
    if (*rc::gen::arbitrary<bool>())
      pin.FailureDomain = pick(domains);
    out.Pins[pinName(pin)] = pin;
    if (*rc::gen::arbitrary<bool>())
      out.Rules.push_back({key, {pick(domains)}});
  }
  if (*rc::gen::arbitrary<bool>())
    out.Rules.push_back({"*", {"hall-a"}});
  for (auto n = number(0, 3); n > 0; --n) {
    auto key = name();
    out.Classes[key] = {key, static_cast<std::uint8_t>(number(0, 255)),
                        std::chrono::milliseconds(number(1, 9999)),
                        number(1, 9999)};
  }
  return out;
}

} // namespace

TEST_CASE("declarations that are written and read back are unchanged",
          "[declarations]") {
  auto passed = rc::check("read(write(x)) == x", [] {
    auto catalog = anyCatalog();
    auto text = writeDeclarations(catalog);
    auto parsed = checkDeclarations(text, "x");
    if (!parsed)
      RC_FAIL(faultText(parsed.error()) + text);
    RC_ASSERT(*parsed == catalog);
    RC_ASSERT(writeDeclarations(*parsed) == text);
    RC_ASSERT(diffCatalogs(catalog, *parsed).empty());
  });
  REQUIRE(passed);
}

TEST_CASE("the difference of two catalogs is empty only if they are equal",
          "[declarations]") {
  auto passed = rc::check("diff(x, y) is empty if and only if x == y", [] {
    auto before = anyCatalog();
    auto after = anyCatalog();
    RC_ASSERT(diffCatalogs(before, after).empty() == (before == after));
  });
  REQUIRE(passed);
}

TEST_CASE("each fault in the lists of the declarations is reported",
          "[declarations]") {
  struct Case {
    const char *Lines;
    const char *Fault;
  };
  auto it = GENERATE(values<Case>(
      {{"servces: []", "d.yaml:8: servces: expected one of the keys services"},
       {"replicas: []", "d.yaml:8: replicas: expected each key once"},
       {"classes: {}", "d.yaml:8: classes: expected a list, not a mapping"},
       {"classes: [3]", "classes[0]: expected a mapping of keys, not '3'"},
       {"classes:\n - {name: c, priority: 256}",
        "d.yaml:9: classes[0].priority: expected a whole number from 0 to 255"},
       {"classes:\n - {priority: 1}",
        "d.yaml:9: classes[0].name: expected this key; it is missing"},
       {"classes:\n - {name: c}\n - {name: c}",
        "d.yaml:10: classes[1].name: expected each name once; 'c' is"},
       {"classes:\n - {name: c, queue: 1}",
        "d.yaml:9: classes[0].queue: expected one of the keys name, priority"},
       {"pins:\n - {adapter: oath-fr@8}",
        "d.yaml:9: pins[0].adapter: expected a declared adapter and one of its "
        "versions; nothing is called 'oath-fr@8'"},
       {"pins:\n - {adapter: oath-ar@7}", "nothing is called 'oath-ar@7'"},
       {"pins:\n - {adapter: oath-fr}",
        "expected an adapter and version, such as oath-fr@7, not 'oath-fr'"},
       {"pins:\n - {adapter: oath-fr@7, failure_domain: hall-b}",
        "d.yaml:9: pins[0].failure_domain: expected the failure domain of a"},
       {"pins: [{adapter: oath-fr@7}, {adapter: oath-fr@7, copies: 2}]",
        "pins[1].adapter: expected each name once"},
       {"rules:\n - {adapter: x, failure_domains: [hall-a]}",
        "rules[0].adapter: expected a declared adapter"},
       {"rules:\n - {adapter: o*, failure_domains: [hall-z]}",
        "d.yaml:9: rules[0].failure_domains: expected the failure domain"},
       {"rules:\n - {adapter: o*, failure_domains: []}",
        "rules[0].failure_domains: expected a list of at least one"},
       {"rules: [{adapter: o*, failure_domains: [hall-a]}, "
        "{adapter: o*, failure_domains: [hall-a]}]",
        "rules[1].adapter: expected each adapter once"},
       {"drained: [a-2]", "d.yaml:8: drained: expected a declared replica"},
       {"drained: [a-1, a-1]", "drained[1]: expected each name once"}}));
  INFO(it.Lines);
  CHECK_THAT(faultsOf(ValidDeclarations + it.Lines + "\n"),
             Catch::Contains(it.Fault));
}

TEST_CASE("each fault inside a declaration is reported", "[declarations]") {
  struct Case {
    const char *From;
    const char *To;
    const char *Fault;
  };
  auto it = GENERATE(values<Case>(
      {{"kind: engine", "kind: engin",
        "d.yaml:2: services[0].kind: expected engine or plain, not 'engin'"},
       {"kind: plain", "kind: plain, base_model: b",
        "services[1].base_model: expected no base model for a plain service"},
       {"service: assistant, address", "service: assist, address",
        "d.yaml:5: replicas[0].service: expected a declared service; nothing "
        "is called 'assist'"},
       {"10.0.0.1:80", "engine:80",
        "replicas[0].address: expected a numeric ip:port, not 'engine:80'"},
       {"10.0.0.1:80", "10.0.0.1", "expected a numeric ip:port"},
       {"10.0.0.1:80", "10.0.0.1:0", "expected a numeric ip:port"},
       {"10.0.0.1:80", "10.0.0.1:65536", "expected a numeric ip:port"},
       {"10.0.0.1:80", "::1:80", "expected a numeric ip:port"},
       {"hall-a}", "hall-a, checks_fencing: 1}",
        "replicas[0].checks_fencing: expected false or true, not '1'"},
       {"service: assistant, versions", "service: booking, versions",
        "d.yaml:7: adapters[0].service: expected a declared service of kind"},
       {"[6, 7]", "[6, 7], current: 5",
        "d.yaml:7: adapters[0].current: expected one of the versions, not 5"},
       {"[6, 7]", "[6, 6]", "adapters[0].versions[1]: expected each number"},
       {"[6, 7]", "[]", "adapters[0].versions: expected a list of at least"},
       {"[6, 7]", "[0]", "adapters[0].versions[0]: expected a whole number"},
       {"oath-fr", "oath fr",
        "adapters[0].name: expected a name of letters"}}));
  auto text = ValidDeclarations;
  text.replace(text.find(it.From), std::string(it.From).size(), it.To);
  INFO(text);
  CHECK_THAT(faultsOf(text), Catch::Contains(it.Fault));
}

TEST_CASE("the example declarations are valid", "[declarations]") {
  auto file = GENERATE("jasmin.yaml", "tarabel.yaml");
  auto catalog = checkDeclarations(exampleFile(file), file);
  INFO((catalog ? "" : faultText(catalog.error())));
  REQUIRE(catalog);
  CHECK(catalog->Replicas.size() == 15);
  CHECK(catalog->Adapters.size() >= 5);
}

TEST_CASE("the difference of two catalogs is printed as readable lines",
          "[declarations]") {
  auto before = *checkDeclarations(ValidDeclarations, "x");
  auto after = before;
  after.Services.erase("booking");
  after.Replicas["a-1"].Slots = 16;
  after.Adapters["oath-ar"] = {"oath-ar", "assistant", 2, {1, 2}};
  after.Drained["a-1"] = true;
  std::vector<std::string> lines = {
      "- service booking", "~ replica a-1 slots=8->16",
      "+ adapter oath-ar service=assistant versions=[1,2] current=2",
      "+ drained a-1"};
  CHECK(diffCatalogs(before, after) == lines);
}

TEST_CASE("corrupted declarations give faults with valid line numbers",
          "[declarations]") {
  auto passed = rc::check("each fault has its line in the file", [] {
    auto text = writeDeclarations(anyCatalog());
    for (auto n = number(1, 4); n > 0; --n)
      text[number(0, text.size() - 1)] = *rc::gen::arbitrary<char>();
    auto catalog = checkDeclarations(text, "x");
    if (catalog)
      return;
    auto lines = std::count(text.begin(), text.end(), '\n') + 1;
    RC_ASSERT(!catalog.error().empty());
    for (const auto &it : catalog.error())
      RC_ASSERT(it.Line >= 1 && it.Line <= lines);
  });
  REQUIRE(passed);
  CHECK_FALSE(checkDeclarations(std::string(100'000, '['), "x"));
  CHECK_FALSE(checkDeclarations("? a\n: b\n? [c]\n: d\n", "x"));
}
