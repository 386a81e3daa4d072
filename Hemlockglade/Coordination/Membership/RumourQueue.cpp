#include "Hemlockglade/Coordination/Membership/RumourQueue.h"

namespace hemlockglade {

void RumourQueue::add(const std::string &name) {
  Current[name] = ++LastVersion;
  ByCount[0].push_back({name, LastVersion});
}

bool RumourQueue::isCurrent(const Entry &entry) const {
  auto it = Current.find(entry.Name);
  return it != Current.end() && it->second == entry.Version;
}

void RumourQueue::take(std::uint32_t limit,
                       const std::function<bool(const std::string &)> &use) {
  std::vector<std::pair<std::uint32_t, Entry>> sent;
  bool more = true;
  while (more && !ByCount.empty()) {
    auto first = ByCount.begin();
    if (first->second.empty()) {
      ByCount.erase(first);
      continue;
    }
    auto &entry = first->second.front();
    if (isCurrent(entry)) {
      more = use(entry.Name);
      if (!more)
        break;
      sent.emplace_back(first->first + 1, std::move(entry));
    }
    first->second.pop_front();
  }
  for (auto &[count, entry] : sent) {
    if (count < limit)
      ByCount[count].push_back(std::move(entry));
    else
      Current.erase(entry.Name);
  }
}

} // namespace hemlockglade
