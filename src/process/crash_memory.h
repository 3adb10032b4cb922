#ifndef IBISROCK_PROCESS_CRASH_MEMORY_H
#define IBISROCK_PROCESS_CRASH_MEMORY_H

#include "base/timer_service.h"
#include "process/crash_history.h"

#include <string>
#include <vector>

namespace ibisrock {

/// Decides what a relay stores of crashing requests together with its registration, and when it has to be stored again,
/// so that the fleet still knows them after all instances have ended at one moment. Not thread-safe.
class CrashMemory
{
public:
  /// Requests with fewer crashes wait for the renewal of the registration: most of them have only shared a target with
  /// another one.
  static constexpr size_t kCrashesWorthAWrite = CrashHistory::kMaxCrashes - 1;
  /// Requests that one relay stores; each takes up to 400 bytes.
  static constexpr size_t kMaxReports = 8;
  /// Shortest time between two writes, so that a failure domain whose targets crash together causes few. It doubles
  /// while writes fail.
  static constexpr Micros kMinWritePause = Seconds(1);
  static constexpr Micros kMaxWritePause = Seconds(8);

  CrashMemory(TimerService& aTimers, CrashHistory& aHistory)
    : timers_(aTimers)
    , history_(aHistory)
  {
  }

  /// What has to be stored now. A write of it begins.
  std::vector<CrashReport> BeginWrite();
  /// The latest write has succeeded.
  void OnWritten();
  /// Something has been learned of the request.
  void OnChange(Fingerprint aRequest);
  /// Whether the registration has to be written before its renewal.
  bool IsWriteDue();
  /// Takes what a relay has stored some time ago. By clocks that differ, it may come from the future.
  void OnRead(const std::vector<CrashReport>& aReports, Micros aAge);

private:
  /// Identifies what is worth a write, without the ages, which change all the time.
  static std::string Summarize(const std::vector<CrashReport>& aReports);

  TimerService& timers_;
  CrashHistory& history_;
  bool mayHaveChanged_ = false;
  TimePoint nextWriteAt_;
  Micros writePause_ = kMinWritePause;
  std::string written_;
  std::string stored_;
};

} // namespace ibisrock

#endif
