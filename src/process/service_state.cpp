#include "process/service_state.h"

#include "process/state_aware_selector.h"

namespace ibisrock {

namespace {

std::unique_ptr<ReplicaSelector>
MakeSelector(const RunTuning& aTuning, Random& aRandom, const TargetStates& aTargets)
{
  if (aTuning.randomReplica_) {
    return std::make_unique<RandomSelector>(aRandom);
  }
  return std::make_unique<StateAwareSelector>(std::make_unique<PowerOfTwoSelector>(aRandom), aTargets, aRandom);
}

} // namespace

ServiceState::ServiceState(const RunTuning& aTuning, Random& aRandom, const TargetStates& aTargets)
  : latency_(aTuning.hedgeQuantile_)
  , selector_(MakeSelector(aTuning, aRandom, aTargets))
{
}

} // namespace ibisrock
