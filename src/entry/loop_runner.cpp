#include "entry/loop_runner.h"

#include "process/token_bucket.h"

#include <exception>
#include <string>

namespace ibisrock::entry {

namespace {

constexpr const char* kComponent = "process";
/// Exceptions that are tolerated, at once and on average.
constexpr double kFailureBurst = 10;
constexpr PerSecond kFailureRate{ 0.1 };

} // namespace

void
RunLoop(boost::asio::io_context& aLoop, TimerService& aTimers, LogSink& aLogs)
{
  TokenBucket tolerated(kFailureRate, kFailureBurst, aTimers.Now());
  while (true) {
    try {
      aLoop.run();
      return;
    } catch (const std::exception& error) {
      const bool isTolerated = tolerated.TryTake(aTimers.Now());
      aLogs.Write(LogLevel::Error,
                  kComponent,
                  std::string("event=handler_failed reason=\"") + error.what() +
                    "\" continues=" + (isTolerated ? "true" : "false"));
      if (!isTolerated) {
        throw;
      }
    }
  }
}

} // namespace ibisrock::entry
