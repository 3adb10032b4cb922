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
  /// Attempts in flight on the target, this one included.
  uint32_t inFlight_ = 0;
  /// The attempt was a canary.
  bool wasCanary_ = false;
};

/// What a run shows about whether its query crashes targets.
struct CrashReport
{
  RequestId run_;
  ServiceName service_;
  Fingerprint fingerprint_;
  /// Every connection loss of the run so far, in order.
  std::vector<ConnectionLoss> losses_;
  /// The run started with a canary and got a clean reply to it.
  bool canarySucceeded_ = false;
};

/// Learns which queries lose connections. Thread-safe; called without any lock of the run held.
class CrashObserver
{
public:
  virtual ~CrashObserver() = default;

  /// Called at once after each loss, also when the run has already been answered.
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
