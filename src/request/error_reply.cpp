#include "request/error_reply.h"

namespace ibisrock {

CallerReply
MakeErrorReply(unsigned aStatus, Reason aReason)
{
  CallerReply reply;
  reply.status_ = aStatus;
  reply.fields_ = { { "Content-Type", "application/json" } };
  reply.body_ = std::make_shared<std::string>("{\"error\":\"" + std::string(ToString(aReason)) + "\"}");
  return reply;
}

CallerReply
MakeFailureReply(Verdict aVerdict, Reason aReason, bool aDeadlinePassed, Micros aRetryAfter)
{
  if (aVerdict == Verdict::NotRun) {
    CallerReply reply = MakeErrorReply(503, aReason);
    reply.retryAfter_ = aRetryAfter;
    return reply;
  }
  return aDeadlinePassed ? MakeErrorReply(504, Reason::TimedOut) : MakeErrorReply(502, aReason);
}

} // namespace ibisrock
