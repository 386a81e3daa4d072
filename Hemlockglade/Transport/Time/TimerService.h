#pragma once

#include "Hemlockglade/State/Ids.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

namespace hemlockglade {

/// The daemon's clock and timers, periodic and one-shot. The clock includes the
/// time that the host is suspended, so that a lease also expires during a
/// suspension.
class TimerService {
public:
  using Hook = std::function<void(Instant now)>;
  /// Ends its subscription when it is destroyed.
  using Subscription = std::shared_ptr<void>;

  explicit TimerService(asio::io_context &context);

  /// Returns the time since boot, including suspension.
  static Instant now();

  /// Calls the hook every `period` until the subscription is destroyed.
  [[nodiscard]] Subscription every(Span period, Hook hook);

  /// Calls the hook once after `delay`; it can't be cancelled.
  void after(Span delay, Hook hook);

private:
  asio::io_context &Context;
};

} // namespace hemlockglade
