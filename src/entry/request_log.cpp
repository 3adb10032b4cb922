#include "entry/request_log.h"

#include "process/crash_history.h"

#include <algorithm>

namespace ibisrock::entry {

namespace {

/// Kinds of log lines. Each is rate-limited separately so that a burst of one kind does not suppress the others.
enum LineKind : size_t
{
  kRefused,
  kAnswered,
  kPartial,
  kFailed,
  kCallerLeft,
  kAttemptFailed,
  kAbandonedWait,
  kNotice,
  kLineKindCount,
};

/// Maximum number of lines of each kind in 10 s. Limits an instance to 64 lines (about 14 KB) per second.
constexpr unsigned kLinesPerPeriod = 80;

std::string
FormatMillis(Micros aTime)
{
  return std::to_string(aTime.count() / 1000) + "." + std::to_string(aTime.count() / 100 % 10) + "ms";
}

/// Joins at most the first kMaxNames names, so that the length of a line does not grow with the number of shards.
std::string
JoinFirst(const std::vector<PoolName>& aPools)
{
  constexpr size_t kMaxNames = 4;
  std::string text;
  for (size_t i = 0; i < std::min(aPools.size(), kMaxNames); i++) {
    text += (i == 0 ? "" : ",") + aPools[i].Value();
  }
  return aPools.size() > kMaxNames ? text + ",..." : text;
}

LineKind
GetLineKind(const RunResult& aEnd)
{
  if (aEnd.reply_.status_ >= 400) {
    return kFailed;
  }
  return aEnd.reply_.missingShards_ > 0 ? kPartial : kAnswered;
}

/// Identifies the request beyond the id of one attempt, as in the lines about crashes.
std::string
FormatFingerprint(const CallerRequest& aRequest)
{
  return " fingerprint=" + std::to_string(RequestFingerprint(aRequest).Value());
}

} // namespace

RequestLog::RequestLog(TimerService& aTimers, LogSink& aSink)
  : log_(aTimers, &aSink, "router", kLineKindCount, kLinesPerPeriod)
{
}

void
RequestLog::OnRefused(const CallerRequest& aRequest, unsigned aStatus, Reason aReason, ConfigVersion aRoutes)
{
  log_.Write(LogLevel::Warning, kRefused, [&] {
    return "event=refused request=" + aRequest.id_ + " host=" + aRequest.host_ + " status=" + std::to_string(aStatus) +
           " reason=" + std::string(ToString(aReason)) + " config=" + std::to_string(aRoutes.Value()) +
           (aReason == Reason::CrashSuspect ? FormatFingerprint(aRequest) : "");
  });
}

void
RequestLog::OnRunEnded(const CallerRequest& aRequest,
                       const Route& aRoute,
                       ConfigVersion aRoutes,
                       const RunResult& aEnd,
                       Micros aDuration)
{
  const LineKind kind = GetLineKind(aEnd);
  log_.Write(kind == kFailed ? LogLevel::Warning : LogLevel::Info, kind, [&] {
    std::string text = "event=ended request=" + aRequest.id_ + " route=" + aRoute.name_.Value() +
                       " config=" + std::to_string(aRoutes.Value()) + " status=" + std::to_string(aEnd.reply_.status_) +
                       " verdict=" + std::string(ToString(aEnd.verdict_)) +
                       " reason=" + std::string(ToString(aEnd.reason_)) + " took=" + FormatMillis(aDuration);
    if (aRequest.timeLeft_) {
      text += " time_left=" + FormatMillis(*aRequest.timeLeft_);
    }
    text += " shards=" + std::to_string(aEnd.shards_) + " missing=" + std::to_string(aEnd.reply_.missingShards_) +
            " attempts=" + std::to_string(aEnd.attempts_) + " extra=" + std::to_string(aEnd.extraAttempts_);
    if (!aEnd.missingPools_.empty()) {
      text += " missing_pools=" + JoinFirst(aEnd.missingPools_);
    }
    if (aEnd.reply_.retryAfter_) {
      text += " retry_after=" + FormatMillis(*aEnd.reply_.retryAfter_);
    }
    return text;
  });
}

void
RequestLog::OnAbandonedWait(const AbandonedWait& aWait)
{
  log_.Write(LogLevel::Warning, kAbandonedWait, [&] {
    return "event=hopeless_wait request=" + aWait.request_.id_ + " pool=" + aWait.pool_.Value() +
           " waiting=" + std::to_string(aWait.pendingCalls_) +
           " expected=" + (aWait.expectedReplyTime_ ? FormatMillis(*aWait.expectedReplyTime_) : "never") +
           " left=" + FormatMillis(aWait.timeLeft_) + " pools_in_time=" + std::to_string(aWait.poolsInTime_) +
           " pools_needed=" + std::to_string(aWait.poolsNeeded_);
  });
}

void
RequestLog::OnAttemptFailed(const FailedAttempt& aAttempt)
{
  log_.Write(LogLevel::Info, kAttemptFailed, [&] {
    return "event=attempt_failed request=" + aAttempt.request_.id_ + " path=" + aAttempt.request_.target_ +
           " pool=" + aAttempt.pool_.Value() + " target=" + aAttempt.target_.Value() +
           " verdict=" + std::string(ToString(aAttempt.verdict_)) +
           " reason=" + std::string(ToString(aAttempt.reason_)) + " status=" + std::to_string(aAttempt.status_) +
           " took=" + FormatMillis(aAttempt.duration_) + " in_flight=" + std::to_string(aAttempt.inFlight_) +
           " slowness=" + std::to_string(aAttempt.slowness_) + " extra=" + (aAttempt.isExtra_ ? "yes" : "no") +
           (aAttempt.reason_ == Reason::ConnectionLost ? FormatFingerprint(aAttempt.request_) : "");
  });
}

void
RequestLog::OnNotice(const TargetCall& aCall, const TargetNotice& aNotice)
{
  log_.Write(LogLevel::Info, kNotice, [&] {
    std::string text = "event=target_notice request=" + aCall.request_->id_ + " target=" + aCall.target_.Value() +
                       " leaving=" + (aNotice.isLeaving_ ? "yes" : "no");
    if (aNotice.pause_) {
      text += " pause=" + FormatMillis(*aNotice.pause_);
    }
    return text;
  });
}

void
RequestLog::OnCallerLeft(const CallerRequest& aRequest, const Route& aRoute, Micros aDuration)
{
  log_.Write(LogLevel::Info, kCallerLeft, [&] {
    return "event=caller_left request=" + aRequest.id_ + " route=" + aRoute.name_.Value() +
           " after=" + FormatMillis(aDuration);
  });
}

} // namespace ibisrock::entry
