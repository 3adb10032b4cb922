#ifndef IBISROCK_PROCESS_PEER_REACHABILITY_H
#define IBISROCK_PROCESS_PEER_REACHABILITY_H

#include "base/timer_service.h"
#include "process/environment.h"

#include <array>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace ibisrock {

/// Whether peers answer this instance, seen first hand and within about 100 ms; membership needs seconds to declare a
/// peer dead, and never does so when others still reach it. Works only while messages are sent, without timers, so that
/// thousands of peers cost nothing at rest. Thread-safe.
class PeerReachability
{
public:
  /// Sends a ping to a peer; called without a lock held.
  using SendPing = std::function<void(const PeerAddress&)>;

  PeerReachability(TimerService& aTimers, SendPing aSendPing);

  /// Notes that a message that wants an answer is about to be sent. Returns false when the peer is silent: it answered
  /// neither earlier messages nor a ping. A message of it that answers nothing does not count, because a cut may be
  /// one-way.
  bool RecordSend(const PeerAddress& aPeer);
  void OnPeerAnswer(const PeerAddress& aPeer);
  bool IsSilent(const PeerAddress& aPeer) const;
  std::vector<PeerAddress> SilentPeers() const;

private:
  /// Kept only while an answer is due.
  struct Entry
  {
    /// First message since the latest answer.
    TimePoint waitingSince_;
    /// First and latest ping since the latest answer.
    std::optional<TimePoint> firstPing_;
    TimePoint lastPing_;
  };
  struct Shard
  {
    mutable std::mutex mutex_;
    std::unordered_map<PeerAddress, Entry> entries_;
  };
  static constexpr size_t kShardCount = 16;

  Shard& ShardOf(const PeerAddress& aPeer) { return shards_[std::hash<PeerAddress>()(aPeer) % kShardCount]; }
  const Shard& ShardOf(const PeerAddress& aPeer) const
  {
    return shards_[std::hash<PeerAddress>()(aPeer) % kShardCount];
  }
  static bool IsSilent(const Entry& aEntry, TimePoint aNow);

  TimerService& timers_;
  const SendPing sendPing_;
  std::array<Shard, kShardCount> shards_;
};

} // namespace ibisrock

#endif
