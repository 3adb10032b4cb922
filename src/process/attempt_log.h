#ifndef IBISROCK_PROCESS_ATTEMPT_LOG_H
#define IBISROCK_PROCESS_ATTEMPT_LOG_H

#include "base/http_message.h"
#include "base/ids.h"
#include "base/verdict.h"

#include <optional>

namespace ibisrock {

/// An attempt that ended without a usable reply, with the state of the target at its end.
struct FailedAttempt
{
  const CallerRequest& request_;
  const PoolName& pool_;
  const TargetName& target_;
  Verdict verdict_;
  Reason reason_;
  /// HTTP status of the reply; 0 if there was none.
  unsigned status_;
  Micros duration_;
  size_t inFlight_;
  double slowness_;
  /// Whether the attempt was a hedge or a retry.
  bool isExtra_;
};

/// A run that was ended instead of waiting for capacity, because too few of its pools are expected to reply in time.
struct AbandonedWait
{
  const CallerRequest& request_;
  /// The pool whose estimate was decisive, and the number of calls queued there.
  const PoolName& pool_;
  size_t pendingCalls_;
  /// Expected time until its reply; empty if calls arrive there at least as fast as they complete.
  std::optional<Micros> expectedReplyTime_;
  /// Time left until the deadline of the request.
  Micros timeLeft_;
  size_t poolsInTime_;
  size_t poolsNeeded_;
};

/// Observer of failed attempts and abandoned waits. Called on one thread.
class AttemptLog
{
public:
  virtual ~AttemptLog() = default;

  virtual void OnAbandonedWait(const AbandonedWait& aWait) = 0;

  virtual void OnAttemptFailed(const FailedAttempt& aAttempt) = 0;
};

} // namespace ibisrock

#endif
