#include "connection/message_delay_estimator.h"

#include <algorithm>

namespace ibisrock {

namespace {

/// Steady clocks of two machines drift apart by less than 200 us per second. The smallest difference rises at this rate
/// until it is seen again. A window of time instead would forget the smallest difference during a long pause, and then
/// take the delayed messages for prompt ones.
constexpr int64_t kDriftDivisor = 5000;

} // namespace

Micros
MessageDelayEstimator::Observe(const InstanceId& aPeer, Incarnation aIncarnation, Micros aSentAt, TimePoint aReceivedAt)
{
  const Micros difference = aReceivedAt.time_since_epoch() - aSentAt;
  Shard& shard = shards_[std::hash<InstanceId>()(aPeer) % kShardCount];
  std::lock_guard lock(shard.mutex_);
  auto [found, isNew] = shard.entries_.try_emplace(aPeer, Entry{ aIncarnation, difference, aReceivedAt });
  Entry& entry = found->second;
  if (entry.incarnation_ != aIncarnation) {
    entry = { aIncarnation, difference, aReceivedAt };
  }
  const Micros elapsed = std::max(aReceivedAt - entry.seenAt_, Micros::zero());
  const Micros allowed = entry.smallest_ + elapsed / kDriftDivisor;
  if (difference <= allowed) {
    entry.smallest_ = difference;
    entry.seenAt_ = aReceivedAt;
    return Micros::zero();
  }
  return difference - allowed;
}

} // namespace ibisrock
