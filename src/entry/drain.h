#ifndef IBISROCK_ENTRY_DRAIN_H
#define IBISROCK_ENTRY_DRAIN_H

#include "adapters/caller_server.h"
#include "base/timer_service.h"
#include "process/router.h"

#include <functional>

namespace ibisrock::entry {

/// Graceful shutdown of a process. Reports the process as not ready, keeps serving until the load balancer has removed
/// it from rotation, then closes idle connections. Completes when no request is in flight, or shortly before the stop
/// time elapses.
class Drain
{
public:
  Drain(TimerService& aTimers,
        Router& aRouter,
        adapters::CallerServer& aServer,
        Micros aStopTime,
        std::function<void()> aOnDone);

  void Begin();
  /// Applies to a drain that is in progress as well as to a later one.
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
