#ifndef IBISROCK_PROCESS_SERVICE_STATE_H
#define IBISROCK_PROCESS_SERVICE_STATE_H

#include "process/extra_attempt_budget.h"
#include "process/latency_tracker.h"
#include "process/replica_selector.h"
#include "process/run_counters.h"
#include "process/target_states.h"

#include <memory>

namespace ibisrock {

/// Choices that comparisons vary. The defaults are those in service.
struct RunTuning
{
  bool hedges_ = true;
  /// Replicas are chosen at random instead of by load.
  bool randomReplica_ = false;
  double hedgeQuantile_ = LatencyTracker::kDefaultQuantile;
};

/// What the runs of one service share for the life of the process.
struct ServiceState
{
  ServiceState(const RunTuning& aTuning, Random& aRandom, const TargetStates& aTargets);

  LatencyTracker latency_;
  ExtraAttemptBudget budget_;
  std::unique_ptr<ReplicaSelector> selector_;
  RunCounters counters_;
};

} // namespace ibisrock

#endif
