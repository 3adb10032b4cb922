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
  , maxLines_(aLines)
  , kinds_(aKinds)
{
}

/// Returns the number of lines suppressed since the last written one when a line may be written now, else no value.
std::optional<uint64_t>
ComponentLog::TryReserveLine(size_t aKind)
{
  const TimePoint now = timers_.Now();
  std::lock_guard lock(mutex_);
  KindState& state = kinds_.at(aKind);
  if (!state.periodStart_ || now - *state.periodStart_ >= kPeriod) {
    const uint64_t suppressed = state.suppressed_;
    state = { now, 1, 0 };
    return suppressed;
  }
  if (state.lines_ < maxLines_) {
    state.lines_++;
    return 0;
  }
  state.suppressed_++;
  return std::nullopt;
}

void
ComponentLog::Write(LogLevel aLevel, size_t aKind, const MakeText& aText)
{
  if (sink_ == nullptr) {
    return;
  }
  const auto suppressed = TryReserveLine(aKind);
  if (!suppressed) {
    return;
  }
  std::string text = aText();
  if (*suppressed > 0) {
    text += " (" + std::to_string(*suppressed) + " more since the last such line)";
  }
  sink_->Write(aLevel, component_, text);
}

} // namespace ibisrock
