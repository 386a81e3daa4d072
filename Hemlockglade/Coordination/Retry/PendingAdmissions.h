#pragma once

#include "Hemlockglade/State/Ids.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace hemlockglade {

/// Why the wait for an owner's answer ended without one.
enum class AdmissionFailure {
  /// Another node owns the cell now, or none does.
  OwnerChanged,
  /// The request's deadline has passed.
  DeadlinePassed,
};

/// Requests for admission that wait for an answer of their cell's owner. A
/// frozen owner keeps its connections open and does not answer, so an error of
/// the connection is not enough to end a wait. Safe to call from several
/// threads.
class PendingAdmissions {
public:
  using Ticket = std::uint64_t;
  using OnFailure = std::function<void(AdmissionFailure)>;
  /// Returns the currently known address of a cell's owner; empty if there is
  /// none.
  using OwnerOf = std::function<std::string(const std::string &cell)>;

  /// Adds a wait for the answer of the owner at address `owner`. `onFailure` is
  /// called at most once, by `tick`, outside the lock.
  Ticket add(std::string cell, std::string owner, Instant deadline,
             OnFailure onFailure);
  /// Removes a wait because the answer arrived or is no longer needed.
  void remove(Ticket ticket);
  /// Ends all waits whose owner has changed or whose deadline has passed.
  void tick(Instant now, const OwnerOf &ownerOf);

private:
  struct PendingAdmission {
    std::string Cell;
    std::string Owner;
    Instant Deadline{};
    OnFailure Callback;
  };

  std::vector<std::string> pendingCells() const;

  mutable std::mutex Mutex;
  Ticket LastTicket = 0;
  std::map<Ticket, PendingAdmission> Pending;
};

} // namespace hemlockglade
