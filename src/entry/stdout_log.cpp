#include "entry/stdout_log.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <poll.h>
#include <unistd.h>

namespace ibisrock::entry {

namespace {

/// Lines are written together after this time.
constexpr Micros kFlushPeriod = Millis(100);
/// About 300 lines; what comes beyond while the output is stalled is dropped and counted.
constexpr size_t kMostBuffered = 64 << 10;
/// A pipe that is writable takes at least this much without blocking.
constexpr size_t kChunk = 4096;

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
  if (buffer_.size() > kMostBuffered) {
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
    timers_.After(kFlushPeriod, [this] {
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
    const ssize_t written = write(STDOUT_FILENO, buffer_.data(), std::min(buffer_.size(), kChunk));
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
