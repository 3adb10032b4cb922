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

/// How a query may run.
enum class CrashDecision : uint8_t
{
  Run,
  /// On one shard first, alone on its target; on the others after a clean reply.
  RunCanaryFirst,
  Refuse,
};

/// Keeps queries that crash targets from running again. Thread-safe.
class CrashGuard
{
public:
  using Spread = std::function<void(const wire::Update&)>;

  /// aSpread passes on what was seen first hand; it is called without a lock held.
  CrashGuard(TimerService& aTimers, Spread aSpread, LogSink* aLogs = nullptr);

  /// Decides on a query before its first attempt. After RunCanaryFirst, further calls for the same fingerprint give
  /// Refuse until the canary has ended, at most for a second, so that resends do not each crash a target.
  CrashDecision Check(Fingerprint aFingerprint);
  /// An attempt of aRun lost its connection with aInFlight attempts, itself included, on the target. A loss alone
  /// blocks the fingerprint. A shared loss never does, also not the second one of a run: an innocent query can share
  /// two targets with a crashing one. It makes the fingerprint suspect, and the canary decides.
  void OnConnectionLost(const RequestId& aRun, Fingerprint aFingerprint, uint32_t aInFlight);
  /// The canary of the fingerprint got a complete reply.
  void OnCleanCanary(Fingerprint aFingerprint);
  /// Takes a gossip update. Returns true when it was news.
  bool OnUpdate(const wire::CrashUpdate& aUpdate);

  /// Fingerprints that are known.
  size_t Size() const;

private:
  struct Entry
  {
    wire::CrashState state_ = wire::CrashState::Suspect;
    /// Time of the crash or of the clean run.
    TimePoint since_;
    /// Run whose loss was seen last; empty for one learned by gossip.
    RequestId run_;
    TimePoint canaryUntil_{};
  };
  struct Shard
  {
    mutable std::mutex mutex_;
    std::unordered_map<Fingerprint, Entry> entries_;
  };
  static constexpr size_t kShardCount = 16;

  Shard& ShardOf(Fingerprint aFingerprint) { return shards_[aFingerprint.Value() % kShardCount]; }
  static void MakeRoom(Shard& aShard);
  static void Store(Shard& aShard, Fingerprint aFingerprint, const Entry& aEntry);
  bool IsBlocked(const Entry& aEntry) const;

  TimerService& timers_;
  const Spread spread_;
  ComponentLog log_;
  std::array<Shard, kShardCount> shards_;
};

} // namespace ibisrock

#endif
