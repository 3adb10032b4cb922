#include "process/component_log.h"

namespace ibisrock {

namespace {

constexpr Micros kPeriod = Seconds(10);

} // namespace

ComponentLog::ComponentLog(TimerService& aTimers,
                           LogSink* aSink,
                           const char* aComponent,
                           size_t aKinds,
                           unsigned aLines)
  : timers_(aTimers)
  , sink_(aSink)
  , component_(aComponent)
  , limit_(aLines)
  , entries_(aKinds)
{
}

/// Returns the number of lines left out in the period before when a line may be written now, else no value.
std::optional<uint64_t>
ComponentLog::TakeTurn(size_t aKind)
{
  const TimePoint now = timers_.Now();
  std::lock_guard lock(mutex_);
  Entry& entry = entries_.at(aKind);
  if (!entry.began_ || now - *entry.began_ >= kPeriod) {
    const uint64_t leftOut = entry.leftOut_;
    entry = { now, 1, 0 };
    return leftOut;
  }
  if (entry.lines_ < limit_) {
    entry.lines_++;
    return 0;
  }
  entry.leftOut_++;
  return std::nullopt;
}

void
ComponentLog::Write(LogLevel aLevel, size_t aKind, const MakeText& aText)
{
  if (sink_ == nullptr) {
    return;
  }
  const auto leftOut = TakeTurn(aKind);
  if (!leftOut) {
    return;
  }
  std::string text = aText();
  if (*leftOut > 0) {
    text += " (" + std::to_string(*leftOut) + " more since the last such line)";
  }
  sink_->Write(aLevel, component_, text);
}

} // namespace ibisrock
