#ifndef IBISROCK_PROCESS_CRASH_GUARD_H
#define IBISROCK_PROCESS_CRASH_GUARD_H

#include "base/timer_service.h"
#include "process/component_log.h"
#include "wire/messages.h"

#include <array>
#include <functional>
#include <mutex>
#include <unordered_map>

namespace ibisrock {

/// Whether and how a query may run.
enum class CrashDecision : uint8_t
{
  Run,
  /// Run on one shard first, as the only attempt on its target, and on the other shards after it got a complete reply.
  RunCanaryFirst,
  Refuse,
};

/// Prevents queries that crash targets from running again. Thread-safe.
class CrashGuard
{
public:
  using PublishUpdate = std::function<void(const wire::Update&)>;

  /// aPublish publishes local observations by gossip. It is called without a lock held.
  CrashGuard(TimerService& aTimers, PublishUpdate aPublish, LogSink* aLogs = nullptr);

  /// Decides on a query before its first attempt. After RunCanaryFirst, further calls for the same fingerprint return
  /// Refuse until the canary ends, for at most one second, so that retries by the caller do not each crash a target.
  CrashDecision Check(Fingerprint aFingerprint);
  /// Reports that an attempt of aRun lost its connection while aInFlight attempts, including itself, were on the
  /// target. If it was the only attempt, the fingerprint is blocked. Otherwise the fingerprint becomes suspect, and its
  /// canary decides. Repeated losses in one run do not block it either, because a harmless query can share several
  /// targets with a crashing one.
  void OnConnectionLost(const RequestId& aRun, Fingerprint aFingerprint, uint32_t aInFlight);
  /// Reports that the canary of the fingerprint got a complete reply.
  void OnCanarySucceeded(Fingerprint aFingerprint);
  /// Applies a gossip update. Returns true when it changed the entry and must be forwarded.
  bool OnUpdate(const wire::CrashUpdate& aUpdate);

  /// Number of known fingerprints.
  size_t Size() const;

private:
  struct Entry
  {
    wire::CrashState state_ = wire::CrashState::Suspect;
    /// Time of the crash or of the successful canary.
    TimePoint since_;
    /// Run that last reported a loss here; empty when the entry comes from gossip.
    RequestId run_;
    TimePoint canaryDeadline_{};
  };
  struct Shard
  {
    mutable std::mutex mutex_;
    std::unordered_map<Fingerprint, Entry> entries_;
  };
  static constexpr size_t kShardCount = 16;

  Shard& ShardOf(Fingerprint aFingerprint) { return shards_[aFingerprint.Value() % kShardCount]; }
  static void EvictIfFull(Shard& aShard);
  static void Store(Shard& aShard, Fingerprint aFingerprint, const Entry& aEntry);
  bool IsBlocked(const Entry& aEntry) const;

  TimerService& timers_;
  const PublishUpdate publish_;
  ComponentLog log_;
  std::array<Shard, kShardCount> shards_;
};

} // namespace ibisrock

#endif
