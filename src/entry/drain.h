#ifndef IBISROCK_ENTRY_DRAIN_H
#define IBISROCK_ENTRY_DRAIN_H

#include "adapters/caller_server.h"
#include "base/timer_service.h"
#include "process/router.h"

#include <functional>

namespace ibisrock::entry {

/// Stops a process without cutting off a request: it reports that it is not ready, serves on until the balancer has
/// taken it out of rotation, then closes connections as they become idle, and ends when nothing is in flight.
class Drain
{
public:
  Drain(TimerService& aTimers,
        Router& aRouter,
        adapters::CallerServer& aServer,
        Micros aStopTime,
        std::function<void()> aOnDone);

  void Begin();
  /// Holds for the next stop.
  void SetStopTime(Micros aStopTime) { stopTime_ = aStopTime; }
  bool HasBegun() const { return begunAt_.has_value(); }

private:
  void Check();

  TimerService& timers_;
  Router& router_;
  adapters::CallerServer& server_;
  Micros stopTime_;
  const std::function<void()> onDone_;
  std::optional<TimePoint> begunAt_;
  bool expired_ = false;
};

} // namespace ibisrock::entry

#endif
