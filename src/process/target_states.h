#ifndef IBISROCK_PROCESS_TARGET_STATES_H
#define IBISROCK_PROCESS_TARGET_STATES_H

#include "base/timer_service.h"
#include "connection/boot_history.h"
#include "process/component_log.h"
#include "wire/messages.h"

#include <array>
#include <functional>
#include <mutex>
#include <set>
#include <unordered_map>

namespace ibisrock {

/// State of the targets and the index versions they hold, learnt from their replies, their health endpoints and gossip.
/// Thread-safe.
class TargetStates
{
public:
  using Publisher = std::function<void(const wire::Update&)>;

  /// aPublish sends changes observed by this instance to its peers. It is called without a lock held.
  TargetStates(TimerService& aTimers, Publisher aPublish, LogSink* aLogs = nullptr);

  /// Applies the state in a reply or refusal of the target.
  void OnReply(const TargetName& aTarget, const TargetReply& aReply);
  /// Applies the state from the health endpoint, which lags: a Draining state and additional versions count, a Ready
  /// state does not.
  void OnHealth(const TargetName& aTarget, const TargetReply& aReply);
  /// Applies a gossip update and returns whether it changed anything. Within one boot, gossip only advances the state
  /// and adds versions, so that late updates do not circulate forever.
  bool OnUpdate(const wire::TargetUpdate& aUpdate);

  /// Publishes all draining targets again: a restarted instance knows none of them, and gossip messages can be lost.
  void PublishDraining();
  /// Whether the target reported Draining and no new boot id has been seen since.
  bool IsDraining(const TargetName& aTarget) const;
  /// False if the target is known not to hold the version.
  bool MayHaveVersion(const TargetName& aTarget, IndexVersion aVersion) const;
  /// Fraction of its normal traffic that the target should receive, from 0.05 to 1. It rises over 10 s after a restart
  /// and after the last Warming state.
  double SlowStartWeight(const TargetName& aTarget) const;

private:
  struct Entry
  {
    BootHistory boots_;
    TargetState state_ = TargetState::Unknown;
    /// Index versions held; empty if unknown.
    std::set<IndexVersion> versions_;
    bool inSlowStart_ = false;
    TimePoint slowStartBegin_{};
  };
  struct Shard
  {
    mutable std::mutex mutex_;
    std::unordered_map<TargetName, Entry> entries_;
  };
  static constexpr size_t kShardCount = 16;

  const Shard& ShardOf(const TargetName& aTarget) const
  {
    return shards_[std::hash<TargetName>()(aTarget) % kShardCount];
  }
  Shard& ShardOf(const TargetName& aTarget) { return shards_[std::hash<TargetName>()(aTarget) % kShardCount]; }
  bool Merge(Entry& aEntry, const wire::TargetUpdate& aUpdate, bool aIsDirect) const;

  void Log(const wire::TargetUpdate& aUpdate, TargetState aBefore, TargetState aAfter);

  TimerService& timers_;
  const Publisher publish_;
  ComponentLog log_;
  std::array<Shard, kShardCount> shards_;
};

} // namespace ibisrock

#endif
