#include "connection/message_delay_estimator.h"

#include <algorithm>

namespace ibisrock {

namespace {

/// Steady clocks of two machines drift apart by less than 200 us per second, so the minimum difference is raised at
/// this rate until a message reaches it again. A minimum over a sliding time window would expire during a long pause,
/// and messages delayed by the pause would then count as prompt.
constexpr int64_t kDriftDivisor = 5000;

} // namespace

Micros
MessageDelayEstimator::Observe(const InstanceId& aPeer, Incarnation aIncarnation, Micros aSentAt, TimePoint aReceivedAt)
{
  const Micros difference = aReceivedAt.time_since_epoch() - aSentAt;
  Shard& shard = shards_[std::hash<InstanceId>()(aPeer) % kShardCount];
  std::lock_guard lock(shard.mutex_);
  auto [found, isNew] = shard.peers_.try_emplace(aPeer, PeerState{ aIncarnation, difference, aReceivedAt });
  PeerState& peer = found->second;
  if (peer.incarnation_ != aIncarnation) {
    peer = { aIncarnation, difference, aReceivedAt };
  }
  const Micros elapsed = std::max(aReceivedAt - peer.minObservedAt_, Micros::zero());
  const Micros baseline = peer.minDifference_ + elapsed / kDriftDivisor;
  if (difference <= baseline) {
    peer.minDifference_ = difference;
    peer.minObservedAt_ = aReceivedAt;
    return Micros::zero();
  }
  return difference - baseline;
}

} // namespace ibisrock
