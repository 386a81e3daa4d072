#include "Hemlockglade/Coordination/Retry/PendingAdmissions.h"

#include <set>
#include <utility>

namespace hemlockglade {

PendingAdmissions::Ticket PendingAdmissions::add(std::string cell,
                                                 std::string owner,
                                                 Instant deadline,
                                                 OnFailure onFailure) {
  std::lock_guard lock(Mutex);
  Pending.emplace(++LastTicket,
                  PendingAdmission{std::move(cell), std::move(owner), deadline,
                                   std::move(onFailure)});
  return LastTicket;
}

void PendingAdmissions::remove(Ticket ticket) {
  std::lock_guard lock(Mutex);
  Pending.erase(ticket);
}

std::vector<std::string> PendingAdmissions::pendingCells() const {
  std::lock_guard lock(Mutex);
  std::set<std::string> cells;
  for (const auto &[ticket, admission] : Pending)
    cells.insert(admission.Cell);
  return {cells.begin(), cells.end()};
}

void PendingAdmissions::tick(Instant now, const OwnerOf &ownerOf) {
  // Calls `ownerOf` without the lock, since no other lock may be taken under
  // it.
  std::map<std::string, std::string> owners;
  for (const auto &cell : pendingCells())
    owners[cell] = ownerOf(cell);
  std::vector<std::pair<OnFailure, AdmissionFailure>> failed;
  {
    std::lock_guard lock(Mutex);
    for (auto it = Pending.begin(); it != Pending.end();) {
      auto &admission = it->second;
      auto owner = owners.find(admission.Cell);
      bool late = now >= admission.Deadline;
      bool changed = owner != owners.end() && owner->second != admission.Owner;
      if (!late && !changed) {
        ++it;
        continue;
      }
      failed.emplace_back(std::move(admission.Callback),
                          late ? AdmissionFailure::DeadlinePassed
                               : AdmissionFailure::OwnerChanged);
      it = Pending.erase(it);
    }
  }
  for (const auto &[call, failure] : failed)
    call(failure);
}

} // namespace hemlockglade
