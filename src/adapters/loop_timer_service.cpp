#include "adapters/loop_timer_service.h"

#include <algorithm>

namespace ibisrock::adapters {

namespace {

using Clock = std::chrono::steady_clock;

} // namespace

LoopTimerService::LoopTimerService(boost::asio::io_context& aLoop)
  : timer_(aLoop)
{
}

TimePoint
LoopTimerService::Now() const
{
  return TimePoint(std::chrono::duration_cast<Micros>(Clock::now().time_since_epoch()));
}

TimerId
LoopTimerService::After(Micros aDelay, Callback aCallback)
{
  const TimePoint due = Now() + std::max(aDelay, Micros::zero());
  const TimerId id = queue_.Add(due, std::move(aCallback));
  if (due < armedFor_) {
    Arm();
  }
  return id;
}

/// The timer of the loop stays armed; it finds nothing due then.
void
LoopTimerService::Cancel(TimerId aId)
{
  queue_.Cancel(aId);
}

void
LoopTimerService::Arm()
{
  armedFor_ = queue_.NextDue();
  timer_.expires_at(Clock::time_point(armedFor_.time_since_epoch()));
  timer_.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      RunDue();
    }
  });
}

void
LoopTimerService::RunDue()
{
  const TimePoint now = Now();
  // A callback that subscribes must not arm the timer, because this function does so at its end, also if a callback
  // throws.
  armedFor_ = TimePoint::min();
  struct ArmAtEnd
  {
    ~ArmAtEnd() { service_.ArmForNext(); }
    LoopTimerService& service_;
  } armAtEnd{ *this };
  while (!queue_.IsEmpty() && queue_.NextDue() <= now) {
    queue_.TakeNext()();
  }
}

void
LoopTimerService::ArmForNext()
{
  armedFor_ = TimePoint::max();
  if (!queue_.IsEmpty()) {
    Arm();
  }
}

} // namespace ibisrock::adapters
