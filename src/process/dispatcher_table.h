#ifndef IBISROCK_PROCESS_DISPATCHER_TABLE_H
#define IBISROCK_PROCESS_DISPATCHER_TABLE_H

#include "connection/replica_dispatcher.h"
#include "process/environment.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <utility>

namespace ibisrock {

/// Dispatchers of all replicas on which this instance was asked to run attempts. Thread-safe.
class DispatcherTable
{
public:
  /// aObserver is called with the outcome of each attempt that was sent to a target.
  DispatcherTable(Environment aEnvironment, ReplicaDispatcher::Observer aObserver)
    : environment_(aEnvironment)
    , observer_(std::move(aObserver))
  {
  }

  /// Returns the dispatcher of a replica. It is created on first use and replaced when the replica's configuration
  /// changes.
  std::shared_ptr<ReplicaDispatcher> Get(const TargetConfig& aTarget);
  /// Asks the dispatcher of the target, if there is one, to cancel the attempt.
  void Cancel(const TargetName& aTarget, const AttemptId& aId);
  /// Whether no dispatcher has work.
  bool IsIdle() const;
  /// Load of every dispatcher created so far.
  std::map<TargetName, DispatcherLoad> Loads() const;

private:
  struct Entry
  {
    TargetConfig config_;
    std::shared_ptr<ReplicaDispatcher> dispatcher_;
  };
  struct Shard
  {
    mutable std::mutex mutex_;
    std::unordered_map<TargetName, Entry> entries_;
  };
  static constexpr size_t kShardCount = 16;

  Shard& ShardOf(const TargetName& aTarget);

  Environment environment_;
  const ReplicaDispatcher::Observer observer_;
  std::array<Shard, kShardCount> shards_;
};

} // namespace ibisrock

#endif
