#pragma once

#include "CellRunner.h"

namespace hemlockglade {

/// An admission that was asked for. Its release, at the latest by its
/// destructor, gives the slot back.
class AdmissionTicket {
public:
  explicit AdmissionTicket(std::function<void(Outcome)> release)
      : Release(std::move(release)) {}
  ~AdmissionTicket() { finish(Outcome::Unknown); }
  AdmissionTicket(const AdmissionTicket &) = delete;
  AdmissionTicket &operator=(const AdmissionTicket &) = delete;

  /// Says how the request ended. Only the first call counts.
  void finish(Outcome outcome) {
    if (auto call = std::exchange(Release, nullptr))
      call(outcome);
  }

private:
  std::function<void(Outcome)> Release;
};

/// Asks the owners of cells for admission, here or on other nodes, and
/// answers other nodes' asking.
class Admission {
public:
  using OnReply = std::function<void(const AdmitReply &)>;
  /// The runner of a cell that this node owns, if any.
  using FindRunner =
      std::function<std::shared_ptr<CellRunner>(const std::string &cell)>;
  /// The node that owns a cell, if known.
  using FindOwner =
      std::function<std::optional<NodeRecord>(const std::string &cell)>;

  Admission(FindRunner findRunner, FindOwner findOwner);

  /// Gives the network, once there is one.
  void attach(PeerNet &net) { Net = &net; }

  /// Asks the cell's owner. `reply` is called once, on any thread.
  std::shared_ptr<AdmissionTicket> ask(const AdmitRequest &request,
                                       OnReply reply);
  /// Serves a stream that another node opened.
  void serve(const std::shared_ptr<PeerStream> &stream);
  /// Waits no longer for owners that have lost their cell, nor past deadlines.
  void tick(Instant now);

private:
  std::shared_ptr<AdmissionTicket>
  askPeer(const NodeRecord &owner, const AdmitRequest &request, OnReply reply);

  FindRunner Runner;
  FindOwner Owner;
  std::shared_ptr<PendingAdmissions> Pending =
      std::make_shared<PendingAdmissions>();
  PeerNet *Net = nullptr;
};

} // namespace hemlockglade
