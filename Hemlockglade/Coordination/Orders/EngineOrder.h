#pragma once

#include "Hemlockglade/State/Routing/ReplicaRecord.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace hemlockglade {

/// What an order makes an engine do with weights.
enum class OrderKind : std::uint8_t { Load, Unload };

/// An order to one engine, under the lease of its cell.
struct EngineOrder {
  OrderKind Kind = OrderKind::Load;
  WeightsRef Weights;
  /// Version to load; 0 for the newest.
  std::uint64_t Version = 0;
  /// Number of orders that the engine must have accepted before. With another
  /// number the owner's record of the replica is wrong, and the engine does
  /// nothing.
  std::uint64_t ExpectedCount = 0;
  /// Holder of the cell's lease, and its fencing number.
  std::string Holder;
  Epoch Fence = 0;
  /// Whether the holder may order at this moment; asked right before the order
  /// is written. Unset means yes.
  std::function<bool()> MayWrite = nullptr;
};

/// An engine's answer to an order.
enum class OrderAnswer : std::uint8_t {
  /// The order is being carried out.
  Accepted,
  /// The engine is already in the state that the order asks for.
  Holds,
  /// Another order is being carried out, or the count differs.
  Conflict,
  /// The fencing number is lower than one that the engine has seen.
  Fenced,
  /// Another incarnation answered; the addressed one has ended.
  OtherIncarnation,
  /// The engine does not know what is ordered.
  Rejected,
  /// Nothing was sent: the holder's right had ended before the order could be
  /// written.
  Withheld,
  /// No answer: the order may be carried out, even later.
  Unknown,
};

std::string_view orderAnswerName(OrderAnswer answer);

/// Base models that an engine's host keeps copies of, which load without the
/// weight store.
struct LocalCopies {
  std::set<std::string> InMemory;
  std::set<std::string> OnDisk;
};

/// What an engine reports of itself; the content is some hundred milliseconds
/// old.
struct HoldingsReport {
  HeldWeights Held;
  /// Adapters that are being loaded; they occupy slots already.
  HeldWeights Pending;
  bool Busy = false;
  std::uint64_t OrderCount = 0;
  LocalCopies Local;
  /// Unix time in milliseconds at which the reporting incarnation started; 0 if
  /// not reported.
  std::uint64_t StartedAtMs = 0;
};

/// Sends orders to engines. The callbacks run later, never from inside the
/// call.
struct EngineHooks {
  std::function<void(const ReplicaRecord &replica, const EngineOrder &order,
                     std::function<void(OrderAnswer)> done)>
      Order;
  std::function<void(const ReplicaRecord &replica,
                     std::function<void(std::optional<HoldingsReport>)> done)>
      Report;
};

} // namespace hemlockglade
