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

/// What is known of the targets, from their own replies, from their health endpoints and from gossip. Thread-safe.
class TargetStates
{
public:
  using Publisher = std::function<void(const wire::Update&)>;

  /// aPublish passes on what was seen first hand; it is called without a lock held.
  TargetStates(TimerService& aTimers, Publisher aPublish, LogSink* aLogs = nullptr);

  /// Learns from a reply or a refusal of the target.
  void OnReply(const TargetName& aTarget, const TargetReply& aReply);
  /// Learns from the health endpoint, which lags: a draining mark and additional versions count, a ready mark does not.
  void OnHealth(const TargetName& aTarget, const TargetReply& aReply);
  /// Takes a gossip update. Returns true when it was news. Within one boot, gossip only raises the state and adds
  /// versions, so that late updates cannot circulate for ever.
  bool OnUpdate(const wire::TargetUpdate& aUpdate);

  /// Spreads again which targets are leaving. A restarted instance knows none of them, and gossip can be lost.
  void PublishDraining();
  /// True from a draining mark until a new boot id is seen.
  bool IsDraining(const TargetName& aTarget) const;
  /// False when the target is known to lack the version.
  bool MayHaveVersion(const TargetName& aTarget, IndexVersion aVersion) const;
  /// Share of the usual choices that the target should get, between 0.05 and 1. It rises over 10 s after a restart and
  /// after the last warming mark.
  double SlowStartWeight(const TargetName& aTarget) const;

private:
  struct Entry
  {
    BootHistory boots_;
    TargetState state_ = TargetState::Unknown;
    /// Empty when nothing is known.
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
