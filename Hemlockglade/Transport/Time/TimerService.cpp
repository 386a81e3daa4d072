#include "Hemlockglade/Transport/Time/TimerService.h"

#include <asio/steady_timer.hpp>
#include <ctime>

namespace hemlockglade {

namespace {

/// A repeating timer. The running wait keeps it alive until cancelled.
class Ticker : public std::enable_shared_from_this<Ticker> {
public:
  Ticker(asio::io_context &context, Span period, TimerService::Hook hook)
      : Timer(context), Period(period), Call(std::move(hook)) {}

  void arm() {
    Timer.expires_after(Period);
    Timer.async_wait([weak = weak_from_this()](asio::error_code ec) {
      auto self = weak.lock();
      if (ec || !self)
        return;
      self->Call(TimerService::now());
      self->arm();
    });
  }

private:
  asio::steady_timer Timer;
  Span Period;
  TimerService::Hook Call;
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
  auto ticker = std::make_shared<Ticker>(Context, period, std::move(hook));
  ticker->arm();
  return ticker;
}

void TimerService::after(Span delay, Hook hook) {
  auto timer = std::make_shared<asio::steady_timer>(Context, delay);
  timer->async_wait([timer, hook = std::move(hook)](asio::error_code ec) {
    if (!ec)
      hook(now());
  });
}

} // namespace hemlockglade
