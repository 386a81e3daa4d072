#include "Hemlockglade/Coordination/Retry/PendingAdmissions.h"

#include <set>
#include <utility>

namespace hemlockglade {

PendingAdmissions::Ticket PendingAdmissions::add(std::string cell,
                                                 std::string owner,
                                                 Instant deadline,
                                                 OnFailure onFailure) {
  std::lock_guard lock(Mutex);
  Asks.emplace(++Last, Ask{std::move(cell), std::move(owner), deadline,
                           std::move(onFailure)});
  return Last;
}

void PendingAdmissions::remove(Ticket ticket) {
  std::lock_guard lock(Mutex);
  Asks.erase(ticket);
}

std::vector<std::string> PendingAdmissions::waitedCells() const {
  std::lock_guard lock(Mutex);
  std::set<std::string> cells;
  for (const auto &[ticket, ask] : Asks)
    cells.insert(ask.Cell);
  return {cells.begin(), cells.end()};
}

void PendingAdmissions::tick(Instant now, const OwnerOf &ownerOf) {
  // Looked up without the lock, which is the innermost.
  std::map<std::string, std::string> owners;
  for (const auto &cell : waitedCells())
    owners[cell] = ownerOf(cell);
  std::vector<std::pair<OnFailure, AdmissionFailure>> failed;
  {
    std::lock_guard lock(Mutex);
    for (auto it = Asks.begin(); it != Asks.end();) {
      auto &ask = it->second;
      auto owner = owners.find(ask.Cell);
      bool late = now >= ask.Deadline;
      bool changed = owner != owners.end() && owner->second != ask.Owner;
      if (!late && !changed) {
        ++it;
        continue;
      }
      failed.emplace_back(std::move(ask.Failed),
                          late ? AdmissionFailure::DeadlinePassed
                               : AdmissionFailure::OwnerChanged);
      it = Asks.erase(it);
    }
  }
  for (const auto &[call, failure] : failed)
    call(failure);
}

} // namespace hemlockglade
