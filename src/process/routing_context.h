#ifndef IBISROCK_PROCESS_ROUTING_CONTEXT_H
#define IBISROCK_PROCESS_ROUTING_CONTEXT_H

#include "base/random.h"
#include "base/target_link.h"
#include "base/timer_service.h"
#include "process/attempt_log.h"
#include "process/crash_watch.h"
#include "process/pool_state.h"
#include "process/reply_lag.h"
#include "process/route_state.h"
#include "process/target_directory.h"

#include <memory>

namespace ibisrock {

/// State shared by all runs of a router. Everything referenced here outlives the runs.
struct RoutingContext
{
  TimerService& timers_;
  Random& random_;
  TargetLink& link_;
  TargetDirectory& targets_;
  DataCentre dataCentre_;
  std::unordered_map<PoolName, PoolState>& pools_;
  /// Bounds of the extra-attempt budget of each pool.
  ExtraAttemptShare extraShare_{};
  /// May be null.
  AttemptLog* log_ = nullptr;
  ReplyLag replyLag_{};
  /// Requests that have crashed targets. Checks of targets may end after the router.
  std::shared_ptr<CrashWatch> crashes_{};

  PoolState& Pool(const PoolName& aName) { return pools_.try_emplace(aName, extraShare_).first->second; }
};

} // namespace ibisrock

#endif
