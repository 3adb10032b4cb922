#include "request/answer_timing.h"

#include <algorithm>

namespace ibisrock {

namespace {

/// Upper bound of the share of the objective that is reserved for this instance's processing time. Beyond it, a slow
/// instance misses the objective rather than omit most of the shards.
constexpr double kMaxProcessingShare = 0.35;
/// One-way delays that have elapsed for the caller when its request arrives: one on a kept connection, three on a new
/// one because of the TCP handshake.
constexpr int kDelaysOnKeptConnection = 1;
constexpr int kDelaysOnNewConnection = 3;

} // namespace

AnswerTiming
ComputeAnswerTiming(const Route& aRoute, const CallerRequest& aRequest, const AnswerDelays& aDelays)
{
  const int delays = (aRequest.isFirstOnConnection_ ? kDelaysOnNewConnection : kDelaysOnKeptConnection) + 1;
  const Micros left = std::min(aRequest.timeLeft_.value_or(aRoute.timeout_), aRoute.timeout_);
  const Micros processing = std::min(aDelays.processing_, Scale(aRoute.objective_, kMaxProcessingShare));
  AnswerTiming timing;
  timing.deadline_ = aRequest.receivedAt_ + left;
  timing.cutoff_ = std::min(aRequest.receivedAt_ + aRoute.objective_ - delays * aDelays.callerOneWay_ - processing,
                            timing.deadline_ - aDelays.callerOneWay_);
  return timing;
}

} // namespace ibisrock
