#include "Hemlockglade/Coordination/Claim/ClaimRow.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace hemlockglade {

using nlohmann::json;

namespace {

constexpr XXH64_hash_t SecondSeed = 0x9e3779b97f4a7c15;

void appendHash(std::string &out, std::string_view text, XXH64_hash_t seed) {
  auto hash = XXH3_128bits_withSeed(text.data(), text.size(), seed);
  std::array<char, 33> buf{};
  std::snprintf(buf.data(), buf.size(), "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  out += buf.data();
}

std::string stringOf(const json &node, const char *name) {
  auto it = node.find(name);
  return it != node.end() && it->is_string() ? it->get<std::string>() : "";
}

std::optional<Outcome> outcomeOf(const std::string &name) {
  for (auto it : {Outcome::Complete, Outcome::NotRun, Outcome::Unknown}) {
    if (name == outcomeName(it))
      return it;
  }
  return std::nullopt;
}

} // namespace

std::string ClaimRow::text() const {
  json node{{"attempt", Attempt},
            {"request", RequestId},
            {"body", BodyHash},
            {"at_ms", ClaimedAtMs}};
  if (Recorded)
    node["outcome"] = outcomeName(*Recorded);
  return node.dump();
}

std::optional<ClaimRow> ClaimRow::parse(const std::string &text) {
  auto node = json::parse(text, nullptr, false);
  if (!node.is_object())
    return std::nullopt;
  ClaimRow out;
  out.Attempt = stringOf(node, "attempt");
  out.RequestId = stringOf(node, "request");
  out.BodyHash = stringOf(node, "body");
  out.Recorded = outcomeOf(stringOf(node, "outcome"));
  auto at = node.find("at_ms");
  if (at != node.end() && at->is_number_integer())
    out.ClaimedAtMs = at->get<std::int64_t>();
  if (out.Attempt.empty() || out.BodyHash.empty())
    return std::nullopt;
  return out;
}

std::string ClaimRow::keyOf(std::string_view scope, std::string_view key) {
  std::string whole = std::to_string(scope.size()) + ':';
  whole.append(scope).append(key);
  std::string out(Prefix);
  appendHash(out, whole, 0);
  appendHash(out, whole, SecondSeed);
  return out;
}

std::string ClaimRow::hashOf(std::string_view body) {
  std::string out;
  appendHash(out, body, 0);
  return out;
}

} // namespace hemlockglade
