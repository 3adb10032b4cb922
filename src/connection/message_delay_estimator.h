#ifndef IBISROCK_CONNECTION_MESSAGE_DELAY_ESTIMATOR_H
#define IBISROCK_CONNECTION_MESSAGE_DELAY_ESTIMATOR_H

#include "base/ids.h"
#include "base/units.h"

#include <array>
#include <mutex>
#include <unordered_map>

namespace ibisrock {

/// Estimates how long messages were in transit or waited to be read, without synchronized clocks. Thread-safe.
class MessageDelayEstimator
{
public:
  /// Takes the send time of a message by the peer's clock and its receive time by the local clock. Returns by how much
  /// their difference exceeds the smallest one observed from this incarnation of the peer, corrected for clock drift.
  /// The delay of the first message is zero.
  Micros Observe(const InstanceId& aPeer, Incarnation aIncarnation, Micros aSentAt, TimePoint aReceivedAt);

private:
  struct PeerState
  {
    Incarnation incarnation_;
    Micros minDifference_{};
    TimePoint minObservedAt_;
  };
  struct Shard
  {
    std::mutex mutex_;
    std::unordered_map<InstanceId, PeerState> peers_;
  };
  static constexpr size_t kShardCount = 16;

  std::array<Shard, kShardCount> shards_;
};

} // namespace ibisrock

#endif
