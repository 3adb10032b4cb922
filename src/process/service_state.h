#ifndef IBISROCK_PROCESS_SERVICE_STATE_H
#define IBISROCK_PROCESS_SERVICE_STATE_H

#include "process/extra_attempt_budget.h"
#include "process/latency_tracker.h"
#include "process/replica_selector.h"
#include "process/run_counters.h"
#include "process/target_states.h"

#include <memory>

namespace ibisrock {

/// Parameters that benchmarks and experiments vary. The defaults are those used in production.
struct RunTuning
{
  bool hedges_ = true;
  /// Choose replicas at random instead of by load.
  bool randomReplica_ = false;
  double hedgeQuantile_ = LatencyTracker::kDefaultQuantile;
};

/// State that all runs of one service share for the lifetime of the process.
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
