#ifndef IBISROCK_PROCESS_CRASH_REPORTER_H
#define IBISROCK_PROCESS_CRASH_REPORTER_H

#include "process/crash_guard.h"
#include "request/crash_observer.h"

namespace ibisrock {

/// Forwards the crash reports of runs to the crash guard.
class CrashReporter final : public CrashObserver
{
public:
  explicit CrashReporter(CrashGuard& aGuard)
    : guard_(aGuard)
  {
  }

  void OnConnectionLost(const CrashReport& aReport) override
  {
    guard_.OnConnectionLost(aReport.run_, aReport.fingerprint_, aReport.losses_.back().inFlight_);
  }
  void OnRunEnded(const CrashReport& aReport) override
  {
    if (aReport.canarySucceeded_) {
      guard_.OnCanarySucceeded(aReport.fingerprint_);
    }
  }

private:
  CrashGuard& guard_;
};

} // namespace ibisrock

#endif
