#include "Hemlockglade/Transport/Time/TimerService.h"

#include <asio/steady_timer.hpp>
#include <ctime>

namespace hemlockglade {

namespace {

/// A periodic timer. It is owned by its subscription; the running wait has only
/// a weak reference to it.
class PeriodicTimer : public std::enable_shared_from_this<PeriodicTimer> {
public:
  PeriodicTimer(asio::io_context &context, Span period, TimerService::Hook hook)
      : Timer(context), Period(period), OnTick(std::move(hook)) {}

  void arm() {
    Timer.expires_after(Period);
    Timer.async_wait([weak = weak_from_this()](asio::error_code ec) {
      auto self = weak.lock();
      if (ec || !self)
        return;
      self->OnTick(TimerService::now());
      self->arm();
    });
  }

private:
  asio::steady_timer Timer;
  Span Period;
  TimerService::Hook OnTick;
};

} // namespace

TimerService::TimerService(asio::io_context &context) : Context(context) {}

Instant TimerService::now() {
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return std::chrono::duration_cast<Instant>(
      std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec));
}

TimerService::Subscription TimerService::every(Span period, Hook hook) {
  auto timer =
      std::make_shared<PeriodicTimer>(Context, period, std::move(hook));
  timer->arm();
  return timer;
}

void TimerService::after(Span delay, Hook hook) {
  auto timer = std::make_shared<asio::steady_timer>(Context, delay);
  timer->async_wait([timer, hook = std::move(hook)](asio::error_code ec) {
    if (!ec)
      hook(now());
  });
}

} // namespace hemlockglade
