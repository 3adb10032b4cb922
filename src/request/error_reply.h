#ifndef IBISROCK_REQUEST_ERROR_REPLY_H
#define IBISROCK_REQUEST_ERROR_REPLY_H

#include "base/http_message.h"
#include "base/verdict.h"

#include <optional>

namespace ibisrock {

/// Builds an error reply that originates from this instance. A status that promises that the request was not run may be
/// used only with Verdict::NotRun.
CallerReply
MakeErrorReply(unsigned aStatus, Reason aReason);

/// Builds the reply to a request that could not be answered: 503 when no target ran it, otherwise 504 after its
/// deadline and 502 before it.
CallerReply
MakeFailureReply(Verdict aVerdict, Reason aReason, bool aDeadlinePassed, Micros aRetryAfter);

} // namespace ibisrock

#endif
