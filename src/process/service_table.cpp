#include "process/service_table.h"

namespace ibisrock {

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
