#pragma once

#include "Hemlockglade/State/Ids.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace hemlockglade {

/// Why an owner's answer is not waited for any longer.
enum class AdmissionFailure {
  /// Another node owns the cell now, or none does.
  OwnerChanged,
  /// The request's deadline has passed.
  DeadlinePassed,
};

/// Requests for admission that wait for an answer of their cell's owner. A
/// frozen owner keeps its connections open and answers nothing, so the end of
/// a wait can't be left to the connection. Safe to call from several threads.
class PendingAdmissions {
public:
  using Ticket = std::uint64_t;
  using OnFailure = std::function<void(AdmissionFailure)>;
  /// The address of a cell's owner as known now; empty if there is none.
  using OwnerOf = std::function<std::string(const std::string &cell)>;

  /// Waits for the answer of the owner at an address. `onFailure` is called at
  /// most once, by `tick`, outside the lock.
  Ticket add(std::string cell, std::string owner, Instant deadline,
             OnFailure onFailure);
  /// The answer is here, or nobody waits for it any more.
  void remove(Ticket ticket);
  /// Ends all waits whose owner has changed or whose deadline has passed.
  void tick(Instant now, const OwnerOf &ownerOf);

private:
  struct Ask {
    std::string Cell;
    std::string Owner;
    Instant Deadline{};
    OnFailure Failed;
  };

  std::vector<std::string> waitedCells() const;

  mutable std::mutex Mutex;
  Ticket Last = 0;
  std::map<Ticket, Ask> Asks;
};

} // namespace hemlockglade
