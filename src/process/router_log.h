#ifndef IBISROCK_PROCESS_ROUTER_LOG_H
#define IBISROCK_PROCESS_ROUTER_LOG_H

#include "process/attempt_log.h"
#include "request/routed_run.h"

namespace ibisrock {

/// Told of every decision that a router takes about a request. Used on one thread.
class RouterLog : public AttemptLog
{
public:
  /// A request was refused before a run began. aRoutes is the version in force, none when there is none.
  virtual void OnRefused(const CallerRequest& aRequest, unsigned aStatus, Reason aReason, ConfigVersion aRoutes) = 0;
  virtual void OnRunEnded(const CallerRequest& aRequest,
                          const Route& aRoute,
                          ConfigVersion aRoutes,
                          const RunResult& aEnd,
                          Micros aTook) = 0;
  /// The caller closed its connection before the reply.
  virtual void OnCallerLeft(const CallerRequest& aRequest, const Route& aRoute, Micros aTook) = 0;
};

} // namespace ibisrock

#endif
