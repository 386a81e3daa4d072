#include "Hemlockglade/State/Routing/Workspace.h"

#include <limits>

namespace hemlockglade {

namespace {

/// Marks a key that two workspaces declare.
constexpr std::size_t Ambiguous = std::numeric_limits<std::size_t>::max();

} // namespace

WorkspaceDirectory::WorkspaceDirectory(
    std::vector<WorkspaceDeclaration> declared)
    : Required(true) {
  for (auto &it : declared) {
    auto index = Workspaces.size();
    for (const auto &key : it.Keys) {
      auto [at, isNew] = ByKey.try_emplace(KeyDigest(key), index);
      if (isNew || at->second == index)
        continue;
      at->second = Ambiguous;
      Faults.push_back(it.Declared.Name +
                       ": shares a key with another workspace");
    }
    Workspaces.push_back(std::move(it.Declared));
  }
}

const Workspace *WorkspaceDirectory::find(std::string_view key) const {
  if (key.empty())
    return nullptr;
  auto it = ByKey.find(KeyDigest(key));
  return it == ByKey.end() || it->second == Ambiguous ? nullptr
                                                      : &Workspaces[it->second];
}

} // namespace hemlockglade
