#include "process/peer_reachability.h"

#include <utility>

namespace ibisrock {

namespace {

/// A peer is pinged when an answer has been outstanding for this long. An attempt may take longer than a ping, so its
/// age alone does not show that the peer is unreachable.
constexpr Micros kPingDelay = Millis(50);
/// A peer that has not answered a ping for this long is silent. A round trip takes a few milliseconds; the rest is a
/// margin for a busy instance.
constexpr Micros kPingTimeout = Millis(50);
/// Minimum time between pings to a peer that does not answer.
constexpr Micros kPingInterval = Millis(50);

} // namespace

PeerReachability::PeerReachability(TimerService& aTimers, SendPing aSendPing)
  : timers_(aTimers)
  , sendPing_(std::move(aSendPing))
{
}

bool
PeerReachability::IsSilent(const Entry& aEntry, TimePoint aNow)
{
  return aEntry.firstPing_ && aNow - *aEntry.firstPing_ >= kPingTimeout;
}

bool
PeerReachability::RecordSend(const PeerAddress& aPeer)
{
  bool ping = false;
  bool silent = false;
  {
    Shard& shard = ShardOf(aPeer);
    std::lock_guard lock(shard.mutex_);
    const TimePoint now = timers_.Now();
    Entry& entry = shard.entries_.try_emplace(aPeer, Entry{ now, std::nullopt, {} }).first->second;
    silent = IsSilent(entry, now);
    const bool first = !entry.firstPing_ && now - entry.firstSend_ >= kPingDelay;
    ping = first || (entry.firstPing_ && now - entry.lastPing_ >= kPingInterval);
    if (ping) {
      entry.firstPing_ = entry.firstPing_.value_or(now);
      entry.lastPing_ = now;
    }
  }
  if (ping) {
    sendPing_(aPeer);
  }
  return !silent;
}

void
PeerReachability::OnPeerAnswer(const PeerAddress& aPeer)
{
  Shard& shard = ShardOf(aPeer);
  std::lock_guard lock(shard.mutex_);
  shard.entries_.erase(aPeer);
}

bool
PeerReachability::IsSilent(const PeerAddress& aPeer) const
{
  const Shard& shard = ShardOf(aPeer);
  std::lock_guard lock(shard.mutex_);
  auto found = shard.entries_.find(aPeer);
  return found != shard.entries_.end() && IsSilent(found->second, timers_.Now());
}

std::vector<PeerAddress>
PeerReachability::SilentPeers() const
{
  std::vector<PeerAddress> silent;
  const TimePoint now = timers_.Now();
  for (const Shard& shard : shards_) {
    std::lock_guard lock(shard.mutex_);
    for (const auto& [peer, entry] : shard.entries_) {
      if (IsSilent(entry, now)) {
        silent.push_back(peer);
      }
    }
  }
  return silent;
}

} // namespace ibisrock
