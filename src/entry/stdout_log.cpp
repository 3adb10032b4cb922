#include "entry/stdout_log.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <poll.h>
#include <unistd.h>

namespace ibisrock::entry {

namespace {

/// Delay before buffered lines are written.
constexpr Micros kFlushDelay = Millis(100);
/// Buffer limit in bytes, about 300 lines. Further lines are dropped and counted while the output is stalled.
constexpr size_t kMaxBufferSize = 64 << 10;
/// Maximum size of a write. A pipe that poll() reports as writable accepts at least this many bytes without blocking.
constexpr size_t kMaxWriteSize = 4096;

constexpr std::array<const char*, 4> kLevelNames{ "debug", "info", "warning", "error" };

} // namespace

StdoutLog::StdoutLog(TimerService& aTimers, std::string aInstance)
  : timers_(aTimers)
  , instance_(std::move(aInstance))
{
}

void
StdoutLog::Write(LogLevel aLevel, const char* aComponent, const std::string& aText)
{
  if (buffer_.size() > kMaxBufferSize) {
    dropped_++;
    return;
  }
  std::array<char, 32> time{};
  const double seconds = std::chrono::duration<double>(timers_.Now().time_since_epoch()).count();
  std::snprintf(time.data(), time.size(), "%.6f", seconds);
  buffer_.append("t=").append(time.data()).append(" level=").append(kLevelNames[static_cast<size_t>(aLevel)]);
  buffer_.append(" instance=").append(instance_).append(" part=").append(aComponent).append(" ");
  buffer_.append(aText).append("\n");
  if (!flushPending_) {
    flushPending_ = true;
    timers_.After(kFlushDelay, [this] {
      flushPending_ = false;
      Flush();
    });
  }
}

void
StdoutLog::Flush()
{
  while (!buffer_.empty()) {
    pollfd output{ STDOUT_FILENO, POLLOUT, 0 };
    if (poll(&output, 1, 0) <= 0 || (output.revents & POLLOUT) == 0) {
      return;
    }
    const ssize_t written = write(STDOUT_FILENO, buffer_.data(), std::min(buffer_.size(), kMaxWriteSize));
    if (written <= 0) {
      return;
    }
    buffer_.erase(0, static_cast<size_t>(written));
  }
  if (dropped_ > 0) {
    const uint64_t dropped = dropped_;
    dropped_ = 0;
    Write(LogLevel::Warning, "log", "event=lines_dropped count=" + std::to_string(dropped));
  }
}

} // namespace ibisrock::entry
