#ifndef IBISROCK_REQUEST_ANSWER_TIMING_H
#define IBISROCK_REQUEST_ANSWER_TIMING_H

#include "base/http_message.h"
#include "version/route_table.h"

namespace ibisrock {

/// When a request must be answered.
struct AnswerTiming
{
  /// Last moment at which an answer still reaches the caller within the route's objective.
  TimePoint cutoff_;
  /// End of the time that the caller or the route allows.
  TimePoint deadline_;
};

/// Time that an answer needs besides the targets' work.
struct AnswerDelays
{
  /// One way between callers and this instance.
  Micros callerOneWay_;
  /// From the decision to answer until the answer is written.
  Micros processing_;
};

AnswerTiming
ComputeAnswerTiming(const Route& aRoute, const CallerRequest& aRequest, const AnswerDelays& aDelays);

} // namespace ibisrock

#endif
