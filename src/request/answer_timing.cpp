#include "request/answer_timing.h"

#include <algorithm>

namespace ibisrock {

namespace {

/// Time to merge and write an answer on a machine with a quarter of a core, with a reserve for other work of the loop.
constexpr Micros kOwnTime = Millis(3);
/// One-way delays that a caller has seen when a request arrives on a kept connection, and on a new one.
constexpr int kDelaysKept = 1;
constexpr int kDelaysNew = 3;

} // namespace

AnswerTiming
PlanTiming(const Route& aRoute, const CallerRequest& aRequest, Micros aCallerDelay)
{
  const int delays = (aRequest.isFirstOnConnection_ ? kDelaysNew : kDelaysKept) + 1;
  const Micros left = std::min(aRequest.timeLeft_.value_or(aRoute.timeout_), aRoute.timeout_);
  AnswerTiming timing;
  timing.deadline_ = aRequest.receivedAt_ + left;
  timing.cutoff_ = std::min(aRequest.receivedAt_ + aRoute.objective_ - delays * aCallerDelay - kOwnTime,
                            timing.deadline_ - aCallerDelay);
  return timing;
}

} // namespace ibisrock
