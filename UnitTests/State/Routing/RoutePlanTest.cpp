#include "Hemlockglade/State/Routing/RoutePlan.h"

#include "Hemlockglade/State/Routing/ReplicaRecord.h"

#include <catch2/catch.hpp>

namespace hemlockglade::test {

namespace {

Route route(std::string name, std::string host, std::string prefix) {
  Route out;
  out.Name = std::move(name);
  out.Host = std::move(host);
  out.Prefix = std::move(prefix);
  out.Targets = {{"service", 1}};
  return out;
}

std::string routeName(const RoutePlan &plan, std::string_view host,
                      std::string_view path) {
  const auto *it = plan.find(host, path);
  return it ? it->Name : "";
}

} // namespace

TEST_CASE("the route with the longest matching prefix of the host is found",
          "[plan]") {
  RoutePlan plan(
      1,
      {route("root", "a.example", "/"), route("one", "a.example", "/x/"),
       route("two", "a.example", "/x/y/"), route("other", "b.example", "/x/")},
      {}, {});
  CHECK(routeName(plan, "a.example", "/x/y/z") == "two");
  CHECK(routeName(plan, "a.example", "/x/yy") == "one");
  CHECK(routeName(plan, "a.example", "/x") == "root");
  CHECK(routeName(plan, "A.Example:8080", "/x/") == "one");
  CHECK(routeName(plan, "b.example", "/x/y/z") == "other");
  CHECK(routeName(plan, "b.example", "/").empty());
  CHECK(routeName(plan, "c.example", "/x/").empty());
  CHECK(routeName(plan, "a.example", "").empty());
}

TEST_CASE("requests are distributed over targets by weight", "[plan]") {
  auto it = route("r", "a", "/");
  it.Targets = {{"most", 90}, {"few", 10}};
  std::map<std::string, int> n;
  for (std::uint64_t draw = 0; draw < 1000; ++draw)
    ++n[it.targetFor(draw)];
  CHECK(n["most"] == 900);
  CHECK(n["few"] == 100);
  it.Targets = {{"only", 0}};
  CHECK(it.targetFor(7) == "only");
}

TEST_CASE("kind and resumability decide whether a route is idempotent",
          "[plan]") {
  Route it;
  it.Kind = RouteKind::RunOnce;
  CHECK_FALSE(it.idempotent());
  it.Kind = RouteKind::Repeatable;
  CHECK(it.idempotent());
  it.Kind = RouteKind::Stream;
  CHECK_FALSE(it.idempotent());
  it.Resumable = true;
  CHECK(it.idempotent());
}

TEST_CASE("weights are written as `model/adapter` or `model`", "[plan]") {
  CHECK(WeightsRef::parse("m/a1") == WeightsRef{"m", "a1"});
  CHECK(WeightsRef::parse("m") == WeightsRef{"m", ""});
  CHECK(WeightsRef{"m", "a1"}.text() == "m/a1");
}

} // namespace hemlockglade::test
