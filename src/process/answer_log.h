#ifndef IBISROCK_PROCESS_ANSWER_LOG_H
#define IBISROCK_PROCESS_ANSWER_LOG_H

#include "process/component_log.h"
#include "request/query.h"

namespace ibisrock {

/// Logs refusals and partial answers, at most one line per reason every 10 s. Thread-safe.
class AnswerLog
{
public:
  /// aSink may be null; then nothing is logged.
  AnswerLog(TimerService& aTimers, LogSink* aSink);

  /// Logs the answer unless it is complete.
  void OnAnswer(const ServiceName& aService, const Answer& aAnswer);

private:
  ComponentLog log_;
};

} // namespace ibisrock

#endif
