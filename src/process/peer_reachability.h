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

/// Tracks whether peers answer this instance directly and detects a silent peer within about 100 ms. Membership needs
/// seconds to declare a peer dead, and never does so while other instances still reach it. Runs only when messages are
/// sent, without timers, so that thousands of idle peers cost nothing. Thread-safe.
class PeerReachability
{
public:
  /// Sends a ping to a peer. Called without a lock held.
  using SendPing = std::function<void(const PeerAddress&)>;

  PeerReachability(TimerService& aTimers, SendPing aSendPing);

  /// Records that a message that expects an answer is about to be sent, and pings the peer if an answer is overdue.
  /// Returns false if the peer is silent, that is, it answered neither earlier messages nor a ping. Messages from the
  /// peer that are not answers do not count, because a network partition may be one-way.
  bool RecordSend(const PeerAddress& aPeer);
  void OnPeerAnswer(const PeerAddress& aPeer);
  bool IsSilent(const PeerAddress& aPeer) const;
  std::vector<PeerAddress> SilentPeers() const;

private:
  /// State of a peer; exists only while an answer is outstanding.
  struct Entry
  {
    /// Time of the first message since the last answer.
    TimePoint firstSend_;
    /// Times of the first and the last ping since the last answer.
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
