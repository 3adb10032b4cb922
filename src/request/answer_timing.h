#ifndef IBISROCK_REQUEST_ANSWER_TIMING_H
#define IBISROCK_REQUEST_ANSWER_TIMING_H

#include "base/http_message.h"
#include "version/route_table.h"

namespace ibisrock {

/// Times by which a request must be answered.
struct AnswerTiming
{
  /// Latest time to answer so that the answer reaches the caller within the route's objective.
  TimePoint cutoff_;
  /// The earlier of the caller's deadline and the route's timeout.
  TimePoint deadline_;
};

/// Delays of an answer besides the targets' service time.
struct AnswerDelays
{
  /// One-way network delay between callers and this instance.
  Micros callerOneWay_;
  /// From the decision to answer until the answer is written.
  Micros processing_;
};

AnswerTiming
ComputeAnswerTiming(const Route& aRoute, const CallerRequest& aRequest, const AnswerDelays& aDelays);

} // namespace ibisrock

#endif
