#ifndef IBISROCK_ENTRY_STDOUT_LOG_H
#define IBISROCK_ENTRY_STDOUT_LOG_H

#include "base/log_sink.h"
#include "base/timer_service.h"

#include <cstdint>
#include <string>

namespace ibisrock::entry {

/// Writes log lines in logfmt format to the standard output. Lines are buffered and written by a timer, and only while
/// the output accepts data, so that a stalled reader never blocks the process. Lines written while
/// the buffer is full are dropped and counted.
class StdoutLog final : public LogSink
{
public:
  explicit StdoutLog(TimerService& aTimers, std::string aInstance);

  void Write(LogLevel aLevel, const char* aComponent, const std::string& aText) override;
  /// Writes as much of the buffer as the output accepts without blocking.
  void Flush();

private:
  TimerService& timers_;
  const std::string instance_;
  std::string buffer_;
  uint64_t dropped_ = 0;
  bool flushPending_ = false;
};

} // namespace ibisrock::entry

#endif
