#include "process/crash_memory.h"

#include <algorithm>

namespace ibisrock {

std::string
CrashMemory::Summarize(const std::vector<CrashReport>& aReports)
{
  std::string summary;
  for (const CrashReport& report : aReports) {
    if (report.crashes_.size() < kCrashesWorthAWrite) {
      continue;
    }
    summary += std::to_string(report.request_.Value()) + ':';
    for (const CrashReport::Crash& crash : report.crashes_) {
      summary += std::to_string(crash.run_.Value()) + ',';
    }
  }
  return summary;
}

std::vector<CrashReport>
CrashMemory::BeginWrite()
{
  std::vector<CrashReport> reports = history_.Reports(kMaxReports, 1);
  written_ = Summarize(reports);
  nextWriteAt_ = timers_.Now() + writePause_;
  writePause_ = std::min(2 * writePause_, kMaxWritePause);
  return reports;
}

void
CrashMemory::OnWritten()
{
  stored_ = written_;
  writePause_ = kMinWritePause;
}

void
CrashMemory::OnChange(Fingerprint aRequest)
{
  // What is stored may have to be taken out.
  mayHaveChanged_ = mayHaveChanged_ || !stored_.empty() || history_.CrashCount(aRequest) >= kCrashesWorthAWrite;
}

bool
CrashMemory::IsWriteDue()
{
  if (!mayHaveChanged_ || timers_.Now() < nextWriteAt_) {
    return false;
  }
  mayHaveChanged_ = Summarize(history_.Reports(kMaxReports, kCrashesWorthAWrite)) != stored_;
  return mayHaveChanged_;
}

void
CrashMemory::OnRead(const std::vector<CrashReport>& aReports, Micros aAge)
{
  const Micros age = std::clamp<Micros>(aAge, Micros::zero(), CrashHistory::kRefuseTime);
  for (const CrashReport& report : aReports) {
    history_.OnReport(report.After(age));
    OnChange(report.request_);
  }
}

} // namespace ibisrock
