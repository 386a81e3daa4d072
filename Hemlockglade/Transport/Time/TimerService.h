#pragma once

#include "Hemlockglade/State/Ids.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

namespace hemlockglade {

/// The daemon's clock and timers. Parts subscribe to be called again and
/// again, or once. It counts time that the host spends suspended, so that a
/// lease does not outlive a pause unnoticed.
class TimerService {
public:
  using Hook = std::function<void(Instant now)>;
  /// Ends its subscription when it is destroyed.
  using Subscription = std::shared_ptr<void>;

  explicit TimerService(asio::io_context &context);

  /// Time since boot, suspension included.
  static Instant now();

  /// Calls the hook every `period` until the subscription is dropped.
  [[nodiscard]] Subscription every(Span period, Hook hook);

  /// Calls the hook once after `delay`; it can't be taken back.
  void after(Span delay, Hook hook);

private:
  asio::io_context &Context;
};

} // namespace hemlockglade
