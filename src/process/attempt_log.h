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
  Micros duration_;
  size_t inFlight_;
  double slowness_;
  /// A hedge or a retry.
  bool isExtra_;
};

/// Why a run was ended that waits for room, or would have to: too few of its pools are expected to reply in time.
struct AbandonedWait
{
  const CallerRequest& request_;
  /// The pool that decides, and the calls that wait there.
  const PoolName& pool_;
  size_t pendingCalls_;
  /// Expected time until its reply; no value when calls arrive there as fast as they end.
  std::optional<Micros> expectedReplyTime_;
  /// Time that the request has left.
  Micros timeLeft_;
  size_t poolsInTime_;
  size_t poolsNeeded_;
};

/// Told of failed attempts and of waits that are given up. Used on one thread.
class AttemptLog
{
public:
  virtual ~AttemptLog() = default;

  virtual void OnAbandonedWait(const AbandonedWait& aWait) = 0;

  virtual void OnAttemptFailed(const FailedAttempt& aAttempt) = 0;
};

} // namespace ibisrock

#endif
