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

/// Writes the log lines of one component and limits each kind of line, so that an overload or a large failure does not
/// flood the log. Lines must be written without a lock held. Thread-safe.
class ComponentLog
{
public:
  using MakeText = std::function<std::string()>;

  /// aSink may be null; then nothing is logged. In each period of 10 s, at most aLines lines of each kind are written;
  /// kinds count from 0 to aKinds - 1.
  ComponentLog(TimerService& aTimers, LogSink* aSink, const char* aComponent, size_t aKinds, unsigned aLines);

  /// Writes a line, or leaves it out when its kind has reached its limit; then aText is not called. The first line of
  /// a later period states how many were left out.
  void Write(LogLevel aLevel, size_t aKind, const MakeText& aText);

private:
  struct Entry
  {
    std::optional<TimePoint> began_;
    unsigned lines_ = 0;
    uint64_t leftOut_ = 0;
  };

  std::optional<uint64_t> TakeTurn(size_t aKind);

  TimerService& timers_;
  LogSink* const sink_;
  const char* const component_;
  const unsigned limit_;
  std::mutex mutex_;
  std::vector<Entry> entries_;
};

} // namespace ibisrock

#endif
