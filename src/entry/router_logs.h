#ifndef IBISROCK_ENTRY_ROUTER_LOGS_H
#define IBISROCK_ENTRY_ROUTER_LOGS_H

#include "process/router_log.h"

#include <initializer_list>
#include <vector>

namespace ibisrock::entry {

/// Forwards router events to several logs, in the order given.
class RouterLogs final : public RouterLog
{
public:
  RouterLogs(std::initializer_list<RouterLog*> aLogs)
    : logs_(aLogs)
  {
  }

  void OnRefused(const CallerRequest& aRequest, unsigned aStatus, Reason aReason, ConfigVersion aRoutes) override
  {
    for (RouterLog* log : logs_) {
      log->OnRefused(aRequest, aStatus, aReason, aRoutes);
    }
  }

  void OnRunEnded(const CallerRequest& aRequest,
                  const Route& aRoute,
                  ConfigVersion aRoutes,
                  const RunResult& aEnd,
                  Micros aDuration) override
  {
    for (RouterLog* log : logs_) {
      log->OnRunEnded(aRequest, aRoute, aRoutes, aEnd, aDuration);
    }
  }

  void OnAbandonedWait(const AbandonedWait& aWait) override
  {
    for (RouterLog* log : logs_) {
      log->OnAbandonedWait(aWait);
    }
  }

  void OnAttemptFailed(const FailedAttempt& aAttempt) override
  {
    for (RouterLog* log : logs_) {
      log->OnAttemptFailed(aAttempt);
    }
  }

  void OnNotice(const TargetCall& aCall, const TargetNotice& aNotice) override
  {
    for (RouterLog* log : logs_) {
      log->OnNotice(aCall, aNotice);
    }
  }

  void OnCallerLeft(const CallerRequest& aRequest, const Route& aRoute, Micros aDuration) override
  {
    for (RouterLog* log : logs_) {
      log->OnCallerLeft(aRequest, aRoute, aDuration);
    }
  }

private:
  const std::vector<RouterLog*> logs_;
};

} // namespace ibisrock::entry

#endif
