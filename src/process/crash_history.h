#ifndef IBISROCK_PROCESS_CRASH_HISTORY_H
#define IBISROCK_PROCESS_CRASH_HISTORY_H

#include "base/http_message.h"
#include "base/ids.h"
#include "base/timer_service.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace ibisrock {

/// Identity of a request for the crash history: what its caller sends again, without the id of the attempt.
Fingerprint
RequestFingerprint(const CallerRequest& aRequest);

/// A run of a request at a target.
struct TargetRun
{
  TargetName target_;
  TargetAddress address_;
  PoolName pool_;
  std::shared_ptr<const CallerRequest> request_;
  TimePoint began_;
};

/// What one instance tells another about a request. Times are ages, because clocks differ between machines.
struct CrashReport
{
  /// A run that ended with the crash of its target.
  struct Crash
  {
    /// Identifies the run within the fleet.
    Fingerprint run_;
    Fingerprint pool_;
    /// Time since the beginning and since the end of the run.
    Micros beganAge_{};
    Micros endedAge_{};
  };

  /// The last success of a pool.
  struct Answer
  {
    Fingerprint pool_;
    Micros age_{};
  };

  Fingerprint request_;
  std::vector<Crash> crashes_;
  std::vector<Answer> answers_;

  /// The report as it is after some time.
  CrashReport After(Micros aTime) const;
};

/// How a request may run.
enum class CrashPrecaution : uint8_t
{
  None,
  /// It has crashed a target: one attempt at a time.
  SingleAttempts,
  Refuse,
};

/// Requests that have crashed the targets that ran them, so that they reach few more. Runs that overlap in time count
/// as one crash, because a failure that takes many targets at once takes sound requests with them. A success of a pool
/// clears the crashes there, so that a request that only shared a target with a crashing one is not refused. Instances
/// tell each other of crashes and answers, and add up what they know. Not thread-safe.
class CrashHistory
{
public:
  using Publish = std::function<void(Fingerprint aRequest)>;

  /// Crashes after which a request is refused, and for how long.
  static constexpr unsigned kMaxCrashes = 3;
  static constexpr Micros kRefuseTime = Seconds(600);
  /// Time that a report may take from one instance to another. Runs at two instances that are closer in time may be
  /// parts of the same crash.
  static constexpr Micros kReportDelay = Millis(50);

  explicit CrashHistory(TimerService& aTimers)
    : timers_(aTimers)
  {
  }

  /// aPublish is called with a request of which this instance has learned something by itself.
  void SetPublish(Publish aPublish) { publish_ = std::move(aPublish); }

  CrashPrecaution Check(const CallerRequest& aRequest) const;
  /// Time for which the request is refused; zero if it is not.
  Micros RefusedFor(const CallerRequest& aRequest) const;
  /// The run has ended at aEnded with the crash of its target.
  void OnCrash(const TargetRun& aRun, TimePoint aEnded);
  void OnAnswered(const CallerRequest& aRequest, const std::vector<PoolName>& aPools);
  /// Another instance has reported.
  void OnReport(const CrashReport& aReport);
  CrashReport ReportOn(Fingerprint aRequest) const;
  /// Crashes of the request that count.
  size_t CrashCount(Fingerprint aRequest) const { return CountCrashes(Find(aRequest)); }
  /// What other instances should know, the requests with most crashes first, of those with aMinCrashes at least.
  std::vector<CrashReport> Reports(size_t aMaxCount, size_t aMinCrashes = 0) const;
  /// Number of requests with crashes that count.
  size_t Size() const;
  bool IsEmpty() const { return entries_.empty(); }

private:
  struct Crash
  {
    Fingerprint run_;
    Fingerprint pool_;
    TimePoint began_;
    TimePoint ended_;
  };

  struct Answer
  {
    Fingerprint pool_;
    TimePoint at_;
  };

  struct Entry
  {
    /// Crashes that do not overlap, oldest first.
    std::vector<Crash> crashes_;
    /// They keep crashes that are cleared from coming back with a report.
    std::vector<Answer> answers_;

    TimePoint LastChange() const;
  };

  bool HasLapsed(const Entry& aEntry) const;
  const Entry* Find(Fingerprint aRequest) const;
  Entry& FindOrAdd(Fingerprint aRequest);
  size_t CountCrashes(const Entry* aEntry) const;
  static bool AddCrash(Entry& aEntry, const Crash& aCrash);
  static bool AddAnswer(Entry& aEntry, const Answer& aAnswer);
  CrashReport MakeReport(Fingerprint aRequest, const Entry& aEntry) const;
  void EvictIfFull();

  TimerService& timers_;
  Publish publish_;
  std::unordered_map<Fingerprint, Entry> entries_;
};

} // namespace ibisrock

#endif
