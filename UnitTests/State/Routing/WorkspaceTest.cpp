#include "Hemlockglade/State/Routing/CallerAccess.h"

#include <catch2/catch.hpp>

namespace hemlockglade::test {

namespace {

using Denial = CallerAccess::Denial;

WorkspaceDeclaration workspace(std::string name,
                               std::vector<std::string> keys) {
  WorkspaceDeclaration out;
  out.Declared.Name = std::move(name);
  out.Keys = std::move(keys);
  return out;
}

Route route(std::string prefix, bool isPublic) {
  Route out;
  out.Name = prefix;
  out.Host = "a.example";
  out.Prefix = std::move(prefix);
  out.Targets = {{"s", 1}};
  out.Public = isPublic;
  return out;
}

RoutePlan plan(WorkspaceDirectory workspaces) {
  return {1,
          {route("/x/", false), route("/open/", true)},
          {},
          {},
          std::move(workspaces)};
}

} // namespace

TEST_CASE("only the exact key is found", "[workspace]") {
  WorkspaceDirectory all(
      {workspace("red", {"k1", "k2"}), workspace("blue", {"k3"})});
  CHECK(all.required());
  CHECK(all.keys() == 3);
  REQUIRE(all.find("k2"));
  CHECK(all.find("k2")->Name == "red");
  CHECK(all.find("k3")->Name == "blue");
  for (const auto *wrong : {"", "k", "K1", "k1 ", "k11", "red"})
    CHECK_FALSE(all.find(wrong));
}

TEST_CASE("a key that two workspaces declare belongs to neither",
          "[workspace]") {
  WorkspaceDirectory all({workspace("red", {"shared", "own"}),
                          workspace("blue", {"shared"}),
                          workspace("green", {"twice", "twice"})});
  CHECK_FALSE(all.find("shared"));
  CHECK(all.find("own"));
  CHECK(all.find("twice"));
  REQUIRE(all.Faults.size() == 1);
  CHECK(all.Faults[0].find("blue") == 0);
  CHECK(all.Faults[0].find("shared key") == std::string::npos);
}

TEST_CASE("the route and the workspace of a request are found", "[workspace]") {
  auto of = plan(WorkspaceDirectory({workspace("red", {"k1"})}));
  auto good = resolveAccess(of, "a.example", "/x/1", "k1");
  CHECK(good.Denied == Denial::None);
  CHECK(good.MatchedRoute->Name == "/x/");
  CHECK(good.CallerWorkspace->Name == "red");
  CHECK(resolveAccess(of, "a.example", "/x/1", "").Denied == Denial::NoKey);
  CHECK(resolveAccess(of, "a.example", "/x/1", "k").Denied ==
        Denial::UnknownKey);
  CHECK(resolveAccess(of, "a.example", "/y/", "k1").Denied == Denial::NoRoute);
  CHECK(resolveAccess(of, "a.example", "/y/", "k").Denied == Denial::NoRoute);
  // A public route accepts callers with unknown keys too, and their requests
  // count for no workspace.
  for (const auto *key : {"", "k", "k1"}) {
    auto open = resolveAccess(of, "a.example", "/open/1", key);
    CHECK(open.Denied == Denial::None);
    CHECK_FALSE(open.CallerWorkspace);
  }
}

TEST_CASE("a plan without workspaces requires no key", "[workspace]") {
  auto of = plan({});
  auto found = resolveAccess(of, "a.example", "/x/1", "k1");
  CHECK(found.Denied == Denial::None);
  CHECK_FALSE(found.CallerWorkspace);
  // An empty list of workspaces differs from none: a key is required, and none
  // is valid.
  auto nobody = plan(WorkspaceDirectory(std::vector<WorkspaceDeclaration>{}));
  CHECK(resolveAccess(nobody, "a.example", "/x/1", "k1").Denied ==
        Denial::UnknownKey);
}

TEST_CASE("keys are found among 10,000", "[workspace]") {
  std::vector<WorkspaceDeclaration> declared;
  for (int it = 0; it < 1000; ++it) {
    declared.push_back(workspace("w" + std::to_string(it), {}));
    for (int key = 0; key < 10; ++key)
      declared.back().Keys.push_back("key-" + std::to_string(it) + "-" +
                                     std::to_string(key));
  }
  WorkspaceDirectory all(std::move(declared));
  CHECK(all.keys() == 10000);
  CHECK(all.find("key-999-9")->Name == "w999");
  CHECK_FALSE(all.find("key-1000-0"));
}

} // namespace hemlockglade::test
