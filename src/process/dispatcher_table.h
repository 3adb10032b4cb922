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

/// The dispatchers of all replicas that this instance has been asked to run attempts on. Thread-safe.
class DispatcherTable
{
public:
  /// aObserver is told each outcome of an attempt that was sent to a target.
  DispatcherTable(Environment aEnvironment, ReplicaDispatcher::Observer aObserver)
    : environment_(aEnvironment)
    , observer_(std::move(aObserver))
  {
  }

  /// The dispatcher of a replica, made at the first use and again when the replica's configuration has changed.
  std::shared_ptr<ReplicaDispatcher> Get(const TargetConfig& aTarget);
  /// Asks every dispatcher to drop the attempt.
  void Cancel(const TargetName& aTarget, const AttemptId& aId);
  /// True when no dispatcher has work.
  bool IsIdle() const;
  /// The load of every dispatcher that has been made.
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
