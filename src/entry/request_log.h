#ifndef IBISROCK_ENTRY_REQUEST_LOG_H
#define IBISROCK_ENTRY_REQUEST_LOG_H

#include "process/component_log.h"
#include "process/router_log.h"

namespace ibisrock::entry {

/// Logs the outcome of requests and its cause: refused, failed, partial and complete replies, failed attempts,
/// abandoned waits and disconnected callers. The number of lines of each kind is limited.
class RequestLog final : public RouterLog
{
public:
  RequestLog(TimerService& aTimers, LogSink& aSink);

  void OnRefused(const CallerRequest& aRequest, unsigned aStatus, Reason aReason, ConfigVersion aRoutes) override;
  void OnRunEnded(const CallerRequest& aRequest,
                  const Route& aRoute,
                  ConfigVersion aRoutes,
                  const RunResult& aEnd,
                  Micros aDuration) override;
  void OnAbandonedWait(const AbandonedWait& aWait) override;
  void OnAttemptFailed(const FailedAttempt& aAttempt) override;
  void OnNotice(const TargetCall& aCall, const TargetNotice& aNotice) override;
  void OnCallerLeft(const CallerRequest& aRequest, const Route& aRoute, Micros aDuration) override;

private:
  ComponentLog log_;
};

} // namespace ibisrock::entry

#endif
