#include "process/answer_log.h"

#include "base/ids.h"

namespace ibisrock {

namespace {

/// One kind of log line per reason, so that memory use does not depend on the input of callers.
constexpr size_t kLineKinds = static_cast<size_t>(Reason::Malformed) + 1;
/// An unknown service name comes from the caller and may have any length.
constexpr size_t kMaxNameLength = 64;

/// Truncates the text and replaces characters that could break the line or forge another log line.
std::string
SanitizeName(const std::string& aText)
{
  std::string text = aText.substr(0, kMaxNameLength);
  for (char& character : text) {
    if (character < ' ' || character > '~') {
      character = '?';
    }
  }
  return text;
}

/// Reason for which the answer is logged: that of the refusal, or of the first missing shard.
Reason
LoggedReason(const Answer& aAnswer)
{
  if (aAnswer.covered_.empty() && aAnswer.reason_ != Reason::None) {
    return aAnswer.reason_;
  }
  return aAnswer.missing_.empty() ? aAnswer.reason_ : aAnswer.missing_.begin()->second;
}

std::string
Describe(const Answer& aAnswer, Reason aReason)
{
  const std::string verdictAndReason = std::string(ToString(aAnswer.verdict_)) + ", " + std::string(ToString(aReason));
  if (aAnswer.covered_.empty()) {
    return "not answered: " + verdictAndReason;
  }
  const size_t shards = aAnswer.covered_.size() + aAnswer.missing_.size();
  return std::to_string(aAnswer.missing_.size()) + " of " + std::to_string(shards) + " shards missing, first " +
         aAnswer.missing_.begin()->first.Value() + ": " + verdictAndReason;
}

} // namespace

AnswerLog::AnswerLog(TimerService& aTimers, LogSink* aSink)
  : log_(aTimers, aSink, "coordinator", kLineKinds, 1)
{
}

void
AnswerLog::OnAnswer(const ServiceName& aService, const Answer& aAnswer)
{
  if (aAnswer.missing_.empty() && !aAnswer.covered_.empty()) {
    return;
  }
  const Reason reason = LoggedReason(aAnswer);
  log_.Write(LogLevel::Warning, static_cast<size_t>(reason), [&] {
    return ToString(aAnswer.request_) + " for " + SanitizeName(aService.Value()) + " " + Describe(aAnswer, reason);
  });
}

} // namespace ibisrock
