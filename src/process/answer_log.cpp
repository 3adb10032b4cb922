#include "process/answer_log.h"

#include "base/ids.h"

namespace ibisrock {

namespace {

/// One kind of line for each reason, so that the size does not depend on what callers send.
constexpr size_t kReasons = static_cast<size_t>(Reason::Malformed) + 1;
/// A service name that matches none comes from the caller and may have any length.
constexpr size_t kLongestName = 64;

/// Removes what would break the line or forge another one.
std::string
Printable(const std::string& aText)
{
  std::string text = aText.substr(0, kLongestName);
  for (char& letter : text) {
    if (letter < ' ' || letter > '~') {
      letter = '?';
    }
  }
  return text;
}

/// Reason under which the answer is logged; none for a complete answer.
Reason
ReasonOf(const Answer& aAnswer)
{
  if (aAnswer.covered_.empty() && aAnswer.reason_ != Reason::None) {
    return aAnswer.reason_;
  }
  return aAnswer.missing_.empty() ? aAnswer.reason_ : aAnswer.missing_.begin()->second;
}

std::string
Describe(const Answer& aAnswer, Reason aReason)
{
  const std::string cause = std::string(ToString(aAnswer.verdict_)) + ", " + std::string(ToString(aReason));
  if (aAnswer.covered_.empty()) {
    return "not answered: " + cause;
  }
  const size_t shards = aAnswer.covered_.size() + aAnswer.missing_.size();
  return std::to_string(aAnswer.missing_.size()) + " of " + std::to_string(shards) + " shards missing, first " +
         aAnswer.missing_.begin()->first.Value() + ": " + cause;
}

} // namespace

AnswerLog::AnswerLog(TimerService& aTimers, LogSink* aSink)
  : log_(aTimers, aSink, "coordinator", kReasons, 1)
{
}

void
AnswerLog::OnAnswer(const ServiceName& aService, const Answer& aAnswer)
{
  if (aAnswer.missing_.empty() && !aAnswer.covered_.empty()) {
    return;
  }
  const Reason reason = ReasonOf(aAnswer);
  log_.Write(LogLevel::Warning, static_cast<size_t>(reason), [&] {
    return ToString(aAnswer.request_) + " for " + Printable(aService.Value()) + " " + Describe(aAnswer, reason);
  });
}

} // namespace ibisrock
