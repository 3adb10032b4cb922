#include "request/answer_timing.h"

#include <algorithm>

namespace ibisrock {

namespace {

/// Largest part of the objective that is planned for this instance's processing time. A slower instance misses the
/// objective rather than to leave out most of the shards.
constexpr double kMaxProcessingShare = 0.35;
/// One-way delays that a caller has seen when a request arrives on a kept connection, and on a new one.
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
