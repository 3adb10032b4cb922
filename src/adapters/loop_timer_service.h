#ifndef IBISROCK_ADAPTERS_LOOP_TIMER_SERVICE_H
#define IBISROCK_ADAPTERS_LOOP_TIMER_SERVICE_H

#include "base/timer_service.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace ibisrock::adapters {

/// Timers on an event loop. Callbacks run on the thread that runs the loop; all calls come from it.
class LoopTimerService final : public TimerService
{
public:
  explicit LoopTimerService(boost::asio::io_context& aLoop);

  TimePoint Now() const override;
  TimerId After(Micros aDelay, Callback aCallback) override;
  void Cancel(TimerId aId) override;

private:
  void Arm();
  void RunDue();
  void ArmForNext();

  boost::asio::steady_timer timer_;
  TimerQueue queue_;
  TimePoint armedFor_ = TimePoint::max();
};

} // namespace ibisrock::adapters

#endif
