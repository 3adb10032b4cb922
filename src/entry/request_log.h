#ifndef IBISROCK_ENTRY_REQUEST_LOG_H
#define IBISROCK_ENTRY_REQUEST_LOG_H

#include "process/component_log.h"
#include "process/router_log.h"

namespace ibisrock::entry {

/// Writes a line for each request that did not get a whole answer, and for some of the others, with what decided it.
class RequestLog final : public RouterLog
{
public:
  RequestLog(TimerService& aTimers, LogSink& aSink);

  void OnRefused(const CallerRequest& aRequest, unsigned aStatus, Reason aReason, ConfigVersion aRoutes) override;
  void OnRunEnded(const CallerRequest& aRequest,
                  const Route& aRoute,
                  ConfigVersion aRoutes,
                  const RunResult& aEnd,
                  Micros aTook) override;
  void OnAbandonedWait(const AbandonedWait& aWait) override;
  void OnAttemptFailed(const FailedAttempt& aAttempt) override;
  void OnCallerLeft(const CallerRequest& aRequest, const Route& aRoute, Micros aTook) override;

private:
  ComponentLog log_;
};

} // namespace ibisrock::entry

#endif
