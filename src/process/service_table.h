#ifndef IBISROCK_PROCESS_SERVICE_TABLE_H
#define IBISROCK_PROCESS_SERVICE_TABLE_H

#include "process/service_state.h"

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace ibisrock {

/// State of every service queried through this instance. Thread-safe.
class ServiceTable
{
public:
  ServiceTable(RunTuning aTuning, Random& aRandom, const TargetStates& aTargets)
    : tuning_(aTuning)
    , random_(aRandom)
    , targets_(aTargets)
  {
  }

  /// Returns the state of a service. It is created on first use and lives as long as the table.
  ServiceState& Get(const ServiceName& aService);
  /// Counters of every service queried so far. The pointers stay valid as long as the table.
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
