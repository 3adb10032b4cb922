#ifndef IBISROCK_PROCESS_ATTEMPT_LOG_H
#define IBISROCK_PROCESS_ATTEMPT_LOG_H

#include "base/http_message.h"
#include "base/ids.h"
#include "base/verdict.h"

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

/// Told of failed attempts. Used on one thread.
class AttemptLog
{
public:
  virtual ~AttemptLog() = default;

  virtual void OnAttemptFailed(const FailedAttempt& aAttempt) = 0;
};

} // namespace ibisrock

#endif
