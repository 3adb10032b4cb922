#ifndef IBISROCK_REQUEST_CRASH_OBSERVER_H
#define IBISROCK_REQUEST_CRASH_OBSERVER_H

#include "base/ids.h"

#include <cstdint>
#include <vector>

namespace ibisrock {

/// An attempt whose connection to the target was lost.
struct ConnectionLoss
{
  ShardName shard_;
  TargetName target_;
  /// Number of attempts in flight on the target, including this one.
  uint32_t inFlight_ = 0;
  /// True if the attempt was a canary, which runs alone on its target.
  bool wasCanary_ = false;
};

/// Evidence from a run on whether its query crashes targets.
struct CrashReport
{
  RequestId run_;
  ServiceName service_;
  Fingerprint fingerprint_;
  /// All connection losses of the run so far, oldest first.
  std::vector<ConnectionLoss> losses_;
  /// True if the run started with a canary and the canary was answered successfully.
  bool canarySucceeded_ = false;
};

/// Receives reports on queries whose attempts lose connections. Thread-safe; called with none of the run's locks held.
class CrashObserver
{
public:
  virtual ~CrashObserver() = default;

  /// Called immediately after each loss, even if the run has already been answered.
  virtual void OnConnectionLost(const CrashReport& aReport) = 0;
  /// Called once when the run is answered.
  virtual void OnRunEnded(const CrashReport& aReport) = 0;
};

/// Ignores every report.
class NullCrashObserver final : public CrashObserver
{
public:
  void OnConnectionLost(const CrashReport& /*aReport*/) override {}
  void OnRunEnded(const CrashReport& /*aReport*/) override {}
};

} // namespace ibisrock

#endif
