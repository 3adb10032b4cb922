#ifndef IBISROCK_REQUEST_ERROR_REPLY_H
#define IBISROCK_REQUEST_ERROR_REPLY_H

#include "base/http_message.h"
#include "base/verdict.h"

#include <optional>

namespace ibisrock {

/// A reply of this instance's own. Only Verdict::NotRun gives a status that promises that the request has not run.
CallerReply
MakeErrorReply(unsigned aStatus, Reason aReason);

/// The reply to a request that could not be answered: 503 when no target ran it, 504 when its time has passed, else
/// 502.
CallerReply
MakeFailureReply(Verdict aVerdict, Reason aReason, bool aDeadlinePassed, Micros aRetryAfter);

} // namespace ibisrock

#endif
