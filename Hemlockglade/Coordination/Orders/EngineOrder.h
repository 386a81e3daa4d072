#pragma once

#include "Hemlockglade/State/Routing/ReplicaRecord.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace hemlockglade {

/// What an order tells an engine to do with weights.
enum class OrderKind : std::uint8_t { Load, Unload };

/// An order to one engine, under the lease of its cell.
struct EngineOrder {
  OrderKind Kind = OrderKind::Load;
  WeightsRef Weights;
  /// Version to load; 0 for the newest.
  std::uint64_t Version = 0;
  /// Orders that the engine must have accepted before; another number means
  /// that our books are wrong and the engine does nothing.
  std::uint64_t ExpectedCount = 0;
  /// Who holds the lease, and its fencing number.
  std::string Holder;
  Epoch Fence = 0;
};

/// What an engine says to an order.
enum class OrderAnswer : std::uint8_t {
  /// It is being carried out.
  Accepted,
  /// What it asks for holds already.
  Holds,
  /// Another order is under way, or the count differs.
  Conflict,
  /// The fencing number is lower than one that the engine has seen.
  Fenced,
  /// Another incarnation answered: the one that was meant is gone.
  OtherIncarnation,
  /// The engine does not know what is ordered.
  Rejected,
  /// No answer: it may be carried out, also later.
  Unknown,
};

std::string_view orderAnswerName(OrderAnswer answer);

/// Base models that an engine's host keeps copies of, which load without the
/// weight store.
struct LocalCopies {
  std::set<std::string> InMemory;
  std::set<std::string> OnDisk;
};

/// What an engine reports of itself; some hundred milliseconds old.
struct HoldingsReport {
  HeldWeights Held;
  /// Adapters that are being loaded; they take places already.
  HeldWeights Pending;
  bool Busy = false;
  std::uint64_t OrderCount = 0;
  LocalCopies Local;
  /// Unix time in milliseconds of the start that reports; 0 if not told.
  std::uint64_t StartedAtMs = 0;
};

/// How orders reach engines. Calls back later, never from inside.
struct EngineHooks {
  std::function<void(const ReplicaRecord &replica, const EngineOrder &order,
                     std::function<void(OrderAnswer)> done)>
      Order;
  std::function<void(const ReplicaRecord &replica,
                     std::function<void(std::optional<HoldingsReport>)> done)>
      Report;
};

} // namespace hemlockglade
