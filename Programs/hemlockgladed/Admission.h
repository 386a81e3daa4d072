#pragma once

#include "CellRunner.h"

namespace hemlockglade {

/// A requested admission. finish(), which the destructor calls at the latest,
/// releases the slot or withdraws the request.
class AdmissionTicket {
public:
  explicit AdmissionTicket(std::function<void(Outcome)> release)
      : Release(std::move(release)) {}
  ~AdmissionTicket() { finish(Outcome::Unknown); }
  AdmissionTicket(const AdmissionTicket &) = delete;
  AdmissionTicket &operator=(const AdmissionTicket &) = delete;

  /// Reports how the request ended. Only the first call has an effect.
  void finish(Outcome outcome) {
    if (auto call = std::exchange(Release, nullptr))
      call(outcome);
  }

private:
  std::function<void(Outcome)> Release;
};

/// Requests admission from the owners of cells, on this node or on others, and
/// serves the admission requests of other nodes.
class Admission {
public:
  using OnReply = std::function<void(const AdmitReply &)>;
  /// Returns the runner of a cell that this node owns; null if it
  /// doesn't own it.
  using FindRunner =
      std::function<std::shared_ptr<CellRunner>(const std::string &cell)>;
  /// Returns the node that owns a cell, if known.
  using FindOwner =
      std::function<std::optional<NodeRecord>(const std::string &cell)>;

  Admission(FindRunner findRunner, FindOwner findOwner);

  /// Sets the network; to be called before the first request to another node.
  void attach(PeerNet &net) { Net = &net; }

  /// Requests admission from the cell's owner. `reply` is called at most once,
  /// on any thread.
  std::shared_ptr<AdmissionTicket> admit(const AdmitRequest &request,
                                         OnReply reply);
  /// Serves a stream that another node opened: one request, then the notice
  /// that it is finished. A closed stream finishes it too.
  void serve(const std::shared_ptr<PeerStream> &stream);
  /// Refuses pending requests whose owner has lost the cell or whose deadline
  /// has passed.
  void tick(Instant now);

private:
  std::shared_ptr<AdmissionTicket> requestFromPeer(const NodeRecord &owner,
                                                   const AdmitRequest &request,
                                                   OnReply reply);

  FindRunner FindRunnerOf;
  FindOwner FindOwnerOf;
  std::shared_ptr<PendingAdmissions> Pending =
      std::make_shared<PendingAdmissions>();
  PeerNet *Net = nullptr;
};

} // namespace hemlockglade
