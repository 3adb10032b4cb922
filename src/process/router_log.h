#ifndef IBISROCK_PROCESS_ROUTER_LOG_H
#define IBISROCK_PROCESS_ROUTER_LOG_H

#include "process/attempt_log.h"
#include "request/routed_run.h"

namespace ibisrock {

/// Observer of the router's decisions about requests. Called on one thread.
class RouterLog : public AttemptLog
{
public:
  /// A request was refused before a run was started. aRoutes is the active configuration version, or the default value
  /// if there is none.
  virtual void OnRefused(const CallerRequest& aRequest, unsigned aStatus, Reason aReason, ConfigVersion aRoutes) = 0;
  virtual void OnRunEnded(const CallerRequest& aRequest,
                          const Route& aRoute,
                          ConfigVersion aRoutes,
                          const RunResult& aEnd,
                          Micros aDuration) = 0;
  /// A target has said something of itself in its answer to a call.
  virtual void OnNotice(const TargetCall& aCall, const TargetNotice& aNotice) = 0;
  /// The caller closed its connection before the reply.
  virtual void OnCallerLeft(const CallerRequest& aRequest, const Route& aRoute, Micros aDuration) = 0;
};

} // namespace ibisrock

#endif
