#include "Hemlockglade/State/State.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <set>

using namespace hemlockglade;

namespace {

AdapterConfig adapter(unsigned number, std::uint32_t current) {
  AdapterConfig out;
  out.Name = "adapter-" + std::to_string(number);
  out.Service = "assistant";
  out.Current = current;
  out.Versions = {1, current};
  return out;
}

/// An arbitrary change over few names, so that some changes put and remove the
/// same entry.
ConfigChange arbitraryChange() {
  auto name = std::to_string(*rc::gen::inRange(0, 12));
  auto value = *rc::gen::inRange<std::uint32_t>(1, 4);
  ConfigChange change;
  change.Removed = *rc::gen::inRange(0, 3) == 0;
  switch (*rc::gen::inRange(0, 7)) {
  case 0:
    change.Entry = ServiceConfig{name, ServiceKind::Plain, value, "base"};
    break;
  case 1:
    change.Entry =
        ReplicaConfig{name, "assistant", "127.0.0.1:1", "hall-a", value};
    break;
  case 2:
    change.Entry = ServiceClass{name, static_cast<std::uint8_t>(value)};
    break;
  case 3:
    change.Entry = PinEntry{name, {{"oath", value}, "hall-a", 2}};
    break;
  case 4:
    change.Entry = RuleEntry{"00000" + name.substr(0, 1), {"oath*", {name}}};
    break;
  case 5:
    change.Entry = DrainEntry{name};
    break;
  default:
    change.Entry = adapter(*rc::gen::inRange(0U, 600U), value);
  }
  return change;
}

std::vector<ConfigChange> arbitraryChanges() {
  std::vector<ConfigChange> out;
  auto n = *rc::gen::inRange(0, 40);
  out.reserve(n);
  for (int it = 0; it < n; ++it)
    out.push_back(arbitraryChange());
  return out;
}

} // namespace

TEST_CASE("a view has its changes applied and its base stays unchanged",
          "[config]") {
  REQUIRE(rc::check("compared with a plain map", [] {
    using Key = std::pair<std::size_t, std::string>;
    std::map<Key, ConfigEntry> model;
    CatalogView view;
    for (int round = 0; round < 3; ++round) {
      auto changes = arbitraryChanges();
      auto before = view.catalog();
      auto next = view.with(view.number() + 1, changes);
      RC_ASSERT(view.catalog().Adapters == before.Adapters);
      for (const auto &it : changes) {
        Key key{it.Entry.index(), entryName(it.Entry)};
        if (it.Removed)
          model.erase(key);
        else
          model[key] = it.Entry;
      }
      view = next;
    }
    std::map<Key, ConfigEntry> pieces;
    for (std::size_t it = 0; it < CatalogView::PieceCount; ++it) {
      for (const auto &entry : view.piece(it))
        RC_ASSERT(
            pieces.emplace(Key{entry.index(), entryName(entry)}, entry).second);
    }
    RC_ASSERT(pieces == model);
    RC_ASSERT(view.size() == model.size());
  }));
}

TEST_CASE("applying the difference of two views turns one into the other",
          "[config]") {
  REQUIRE(rc::check("with and without shared shards", [] {
    auto first = CatalogView().with(1, arbitraryChanges());
    auto shared = first.with(2, arbitraryChanges());
    auto unshared = CatalogView::of(shared.catalog());
    for (const auto &target : {shared, unshared}) {
      auto changes = first.changesTo(target);
      auto result = first.with(2, changes);
      RC_ASSERT(result.changesTo(target).empty());
      RC_ASSERT(result.size() == target.size());
      for (const auto &it : changes)
        RC_ASSERT(it.Removed ||
                  first.with(2, {&it, 1}).changesTo(first).size());
    }
  }));
}

TEST_CASE("the store's revision never falls", "[config]") {
  CatalogStore store;
  ConfigDelta first{1, "c1", "amal", {{adapter(1, 1)}}};
  ConfigDelta second{2, "c2", "amal", {{adapter(1, 2)}}};
  REQUIRE_FALSE(store.apply(second));
  REQUIRE(store.apply(first));
  auto firstView = store.current();
  REQUIRE(store.apply(second));
  REQUIRE_FALSE(store.apply(first));
  REQUIRE_FALSE(store.apply(second));
  REQUIRE_FALSE(store.replace(CatalogView().with(2, {})));
  REQUIRE(store.current()->find<AdapterConfig>("adapter-1")->Current == 2);
  REQUIRE(firstView->find<AdapterConfig>("adapter-1")->Current == 1);
  REQUIRE(store.replace(firstView->with(9, second.Changes)));
  REQUIRE(store.current()->number() == 9);
}
