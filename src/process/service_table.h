#ifndef IBISROCK_PROCESS_SERVICE_TABLE_H
#define IBISROCK_PROCESS_SERVICE_TABLE_H

#include "process/service_state.h"

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace ibisrock {

/// The state of every service that was queried here. Thread-safe.
class ServiceTable
{
public:
  ServiceTable(RunTuning aTuning, Random& aRandom, const TargetStates& aTargets)
    : tuning_(aTuning)
    , random_(aRandom)
    , targets_(aTargets)
  {
  }

  /// The state of a service, made at the first use and kept as long as the table.
  ServiceState& Get(const ServiceName& aService);
  /// The counters of every service that was queried here. They live as long as the table.
  std::map<ServiceName, const RunCounters*> Counters() const;
  const RunTuning& Tuning() const { return tuning_; }

private:
  struct Shard
  {
    mutable std::mutex mutex_;
    std::unordered_map<ServiceName, std::unique_ptr<ServiceState>> states_;
  };
  static constexpr size_t kShardCount = 16;

  const RunTuning tuning_;
  Random& random_;
  const TargetStates& targets_;
  std::array<Shard, kShardCount> shards_;
};

} // namespace ibisrock

#endif
