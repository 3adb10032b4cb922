#ifndef IBISROCK_PROCESS_CONNECTION_WARMER_H
#define IBISROCK_PROCESS_CONNECTION_WARMER_H

#include "base/random.h"
#include "base/target_link.h"
#include "base/timer_service.h"
#include "process/target_directory.h"
#include "version/route_table.h"

#include <memory>
#include <vector>

namespace ibisrock {

/// Keeps a connection open to one target of each shard. Load pattern: a large fleet with few requests for each
/// instance. Without it most gathers of an instance that has just started, or whose connections have timed out, first
/// set up a connection to each shard, which takes longer than the calls. Not thread-safe.
class ConnectionWarmer
{
public:
  ConnectionWarmer(TimerService& aTimers,
                   Random& aRandom,
                   TargetLink& aLink,
                   TargetDirectory& aTargets,
                   DataCentre aOwnDataCentre);
  ~ConnectionWarmer();

  /// Sets the configuration whose shards are kept connected.
  void SetRoutes(const RouteTable& aTable);
  /// Sets the number of instances, which together may use a small part of the targets' time for new connections.
  void SetInstanceCount(size_t aCount) { instances_ = aCount; }

private:
  void Tick();
  void Warm(const PoolName& aPool);
  Micros Interval(const PoolName& aPool) const;

  TimerService& timers_;
  Random& random_;
  TargetLink& link_;
  TargetDirectory& targets_;
  const DataCentre ownDataCentre_;
  size_t instances_ = 1;
  std::vector<PoolName> shards_;
  /// Index of the shard that is checked next.
  size_t next_ = 0;
  /// Shards that are due, with the fraction left over from the last tick.
  double due_ = 0;
  TimerId timer_;
};

} // namespace ibisrock

#endif
