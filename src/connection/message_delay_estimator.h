#ifndef IBISROCK_CONNECTION_MESSAGE_DELAY_ESTIMATOR_H
#define IBISROCK_CONNECTION_MESSAGE_DELAY_ESTIMATOR_H

#include "base/ids.h"
#include "base/units.h"

#include <array>
#include <mutex>
#include <unordered_map>

namespace ibisrock {

/// Finds how long messages were on their way or waited unread, without synchronized clocks. Thread-safe.
class MessageDelayEstimator
{
public:
  /// Takes the send time of a message by the peer's clock and its receive time by the own clock. Returns the excess of
  /// their difference over the smallest one seen from this incarnation of the peer. The first message has delay zero.
  Micros Observe(const InstanceId& aPeer, Incarnation aIncarnation, Micros aSentAt, TimePoint aReceivedAt);

private:
  struct Entry
  {
    Incarnation incarnation_;
    Micros smallest_{};
    TimePoint seenAt_;
  };
  struct Shard
  {
    std::mutex mutex_;
    std::unordered_map<InstanceId, Entry> entries_;
  };
  static constexpr size_t kShardCount = 16;

  std::array<Shard, kShardCount> shards_;
};

} // namespace ibisrock

#endif
