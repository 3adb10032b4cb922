#ifndef IBISROCK_PROCESS_METRICS_SINK_H
#define IBISROCK_PROCESS_METRICS_SINK_H

#include "request/query.h"

namespace ibisrock {

/// Receives the metrics of an instance. Calls may come from any thread and must not block.
class MetricsSink
{
public:
  virtual ~MetricsSink() = default;

  /// Records that one query was answered or refused aTime after it was submitted.
  virtual void OnAnswer(const ServiceName& aService, const Answer& aAnswer, Micros aTime) = 0;
};

} // namespace ibisrock

#endif
