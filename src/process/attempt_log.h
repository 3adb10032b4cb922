#ifndef IBISROCK_PROCESS_ATTEMPT_LOG_H
#define IBISROCK_PROCESS_ATTEMPT_LOG_H

#include "base/http_message.h"
#include "base/ids.h"
#include "base/verdict.h"

#include <optional>

namespace ibisrock {

/// An attempt at a target that gave no usable reply, with what was known of the target when it ended.
struct FailedAttempt
{
  const CallerRequest& request_;
  const PoolName& pool_;
  const TargetName& target_;
  Verdict verdict_;
  Reason reason_;
  /// Status of the reply; 0 without one.
  unsigned status_;
  Micros took_;
  size_t inFlight_;
  double slowness_;
  /// A hedge or a retry.
  bool isExtra_;
};

/// Why a run was ended that waits for room, or would have to: too few of its pools are expected to reply in time.
struct HopelessWait
{
  const CallerRequest& request_;
  /// The pool that decides, and the calls that wait there.
  const PoolName& pool_;
  size_t waiting_;
  /// Expected time until its reply; no value when calls arrive there as fast as they end.
  std::optional<Micros> expected_;
  /// Time that the request has left.
  Micros left_;
  size_t poolsInTime_;
  size_t poolsNeeded_;
};

/// Told of failed attempts and of waits that are given up. Used on one thread.
class AttemptLog
{
public:
  virtual ~AttemptLog() = default;

  virtual void OnHopelessWait(const HopelessWait& aWait) = 0;

  virtual void OnAttemptFailed(const FailedAttempt& aAttempt) = 0;
};

} // namespace ibisrock

#endif
