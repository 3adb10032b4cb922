#ifndef IBISROCK_PROCESS_COMPONENT_LOG_H
#define IBISROCK_PROCESS_COMPONENT_LOG_H

#include "base/log_sink.h"
#include "base/timer_service.h"

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace ibisrock {

/// Rate-limited log of one component. Limits each kind of line separately, so that an overload or a large failure does
/// not flood the log. Write() must be called without a lock held. Thread-safe.
class ComponentLog
{
public:
  using MakeText = std::function<std::string()>;

  /// aSink may be null; then nothing is logged. At most aLines lines of each kind are written per period of 10 s; kinds
  /// are numbered from 0 to aKinds - 1.
  ComponentLog(TimerService& aTimers, LogSink* aSink, const char* aComponent, size_t aKinds, unsigned aLines);

  /// Writes a line, or suppresses it when its kind has reached its limit; aText is called only for a written line. The
  /// first line of a later period states how many lines were suppressed.
  void Write(LogLevel aLevel, size_t aKind, const MakeText& aText);

private:
  struct KindState
  {
    std::optional<TimePoint> periodStart_;
    unsigned lines_ = 0;
    uint64_t suppressed_ = 0;
  };

  std::optional<uint64_t> TryReserveLine(size_t aKind);

  TimerService& timers_;
  LogSink* const sink_;
  const char* const component_;
  const unsigned maxLines_;
  std::mutex mutex_;
  std::vector<KindState> kinds_;
};

} // namespace ibisrock

#endif
