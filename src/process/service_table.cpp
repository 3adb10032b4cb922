#include "process/service_table.h"

#include "process/state_aware_selector.h"

namespace ibisrock {

namespace {

std::unique_ptr<ReplicaSelector>
MakeSelector(const RunTuning& aTuning, Random& aRandom, const TargetStates& aTargets)
{
  if (aTuning.randomReplica_) {
    return std::make_unique<RandomSelector>(aRandom);
  }
  return std::make_unique<StateAwareSelector>(std::make_unique<BalancedSelector>(aRandom), aTargets, aRandom);
}

} // namespace

ServiceState::ServiceState(const RunTuning& aTuning, Random& aRandom, const TargetStates& aTargets)
  : latency_(aTuning.hedgeQuantile_)
  , selector_(MakeSelector(aTuning, aRandom, aTargets))
{
}

ServiceState&
ServiceTable::Get(const ServiceName& aService)
{
  Shard& shard = shards_[std::hash<ServiceName>()(aService) % kShardCount];
  std::lock_guard lock(shard.mutex_);
  std::unique_ptr<ServiceState>& state = shard.states_[aService];
  if (!state) {
    state = std::make_unique<ServiceState>(tuning_, random_, targets_);
  }
  return *state;
}

std::map<ServiceName, const RunCounters*>
ServiceTable::Counters() const
{
  std::map<ServiceName, const RunCounters*> counters;
  for (const Shard& shard : shards_) {
    std::lock_guard lock(shard.mutex_);
    for (const auto& [service, state] : shard.states_) {
      counters[service] = &state->counters_;
    }
  }
  return counters;
}

} // namespace ibisrock
