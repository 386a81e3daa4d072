#include "Hemlockglade/Protocol/Protocol.h"
#include "UnitTests/Protocol/ExampleFile.h"

#include <catch2/catch.hpp>
#include <yaml-cpp/yaml.h>

using namespace hemlockglade;

namespace {

const std::string RequiredKeys = "name: entry-1\n"
                                 "failure_domain: hall-a\n"
                                 "region: tunis-north\n"
                                 "platform_url: http://127.0.0.1:80\n";

std::string faultsOf(const std::string &text) {
  auto settings = readNodeSettings(text, "n.yaml");
  return settings ? "" : faultText(settings.error());
}

} // namespace

TEST_CASE("valid settings of a node are read", "[settings]") {
  auto settings =
      readNodeSettings(RequiredKeys + "lease_ms: 4000\nthreads: 3\n", "");
  REQUIRE(settings);
  CHECK(settings->Name == "entry-1");
  CHECK(settings->LeaseDuration == std::chrono::seconds(4));
  CHECK(settings->Threads == 3);
  CHECK(settings->CallerPort == 0);
}

TEST_CASE("each fault of the settings gives file, line, key and what was "
          "expected",
          "[settings]") {
  struct Case {
    const char *Line;
    const char *Fault;
  };
  auto it = GENERATE(values<Case>(
      {{"lease: 1", "n.yaml:5: lease: expected one of the keys name, "},
       {"threads: two", "n.yaml:5: threads: expected a whole number from 1 to "
                        "64, not 'two'"},
       {"threads: \"2\"", "n.yaml:5: threads: expected a whole number"},
       {"threads: 0x2", "n.yaml:5: threads: expected a whole number"},
       {"threads: 65", "n.yaml:5: threads: expected a whole number from 1 to "},
       {"threads: 99999999999999999999", "n.yaml:5: threads: expected a whole"},
       {"peer_port: -1", "n.yaml:5: peer_port: expected a whole number"},
       {"peer_port: [1]", "peer_port: expected a whole number from 0 to 65535, "
                          "not a list"},
       {"peer_port:", "peer_port: expected a whole number from 0 to 65535, not "
                      "an empty value"},
       {"address: localhost", "n.yaml:5: address: expected a numeric IPv4 "
                              "address, not 'localhost'"},
       {"address: \"::1\"", "n.yaml:5: address: expected a numeric IPv4"},
       {"name: entry-2", "n.yaml:5: name: expected each key once; a duplicate"},
       {"renew_ms: 10000", "n.yaml:5: renew_ms: expected less than lease_ms"},
       {"lease_margin_ms: 10000", "n.yaml:5: lease_margin_ms: expected less "},
       {"lease_ms: [", "n.yaml:6: expected well-formed YAML"}}));
  INFO(it.Line);
  CHECK_THAT(faultsOf(RequiredKeys + it.Line + "\n"),
             Catch::StartsWith("n.yaml:") && Catch::Contains(it.Fault));
}

TEST_CASE("all faults of the settings are reported at once", "[settings]") {
  CHECK(faultsOf("name: a b\nthreads: x\nregion: r\nplatform_url: h\n"
                 "extra: 1\n")
            .find("n.yaml:1: failure_domain: expected this key; it is missing"
                  "\n") != std::string::npos);
  auto faults = readNodeSettings("name: a b\nthreads: x\nextra: 1\n", "");
  REQUIRE_FALSE(faults);
  CHECK(faults.error().size() == 6);
  CHECK_THAT(faultsOf(""), Catch::Contains("expected a mapping of keys"));
}

TEST_CASE("the example settings are valid and have every key", "[settings]") {
  auto text = exampleFile("node.yaml");
  CHECK(faultsOf(text).empty());
  auto root = YAML::Load(text);
  for (const auto &key : nodeSettingsKeys()) {
    INFO(key);
    CHECK(root[key].IsDefined());
    // Each key must have a comment on the line before it.
    auto at = text.find('\n' + key + ':');
    REQUIRE(at != std::string::npos);
    auto line = text.rfind('\n', at - 1) + 1;
    CHECK(text[line] == '#');
  }
}
