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

/// aCallerDelay is the one-way delay between callers and this instance.
AnswerTiming
PlanTiming(const Route& aRoute, const CallerRequest& aRequest, Micros aCallerDelay);

} // namespace ibisrock

#endif
