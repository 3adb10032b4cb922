#ifndef IBISROCK_PROCESS_CRASH_HISTORY_H
#define IBISROCK_PROCESS_CRASH_HISTORY_H

#include "base/http_message.h"
#include "base/ids.h"
#include "base/timer_service.h"

#include <functional>
#include <unordered_map>
#include <vector>

namespace ibisrock {

/// Identity of a request for the crash history: what its caller sends again, without the id of the attempt.
Fingerprint
RequestFingerprint(const CallerRequest& aRequest);

/// What is known of one request. No crashes mean that it has been answered since.
struct CrashReport
{
  Fingerprint request_;
  unsigned crashes_ = 0;
  /// Time since the last crash.
  Micros age_{};
};

/// How a request may run.
enum class CrashPrecaution : uint8_t
{
  None,
  /// It has crashed a target: one attempt at a time.
  SingleAttempts,
  Refuse,
};

/// Requests that have crashed the targets that ran them, so that they reach few more. A run counts as a crash if it
/// lost its connection and the target cannot be reached right after; one that began before the crash that is known
/// counts as part of it. An answer clears the request, so that those that only shared a target with it are not refused.
/// Instances tell each other of crashes. Not thread-safe.
class CrashHistory
{
public:
  using Publish = std::function<void(const CrashReport&)>;

  /// Crashes after which a request is refused, and for how long.
  static constexpr unsigned kMaxCrashes = 3;
  static constexpr Micros kRefuseTime = Seconds(600);

  explicit CrashHistory(TimerService& aTimers)
    : timers_(aTimers)
  {
  }

  /// aPublish tells other instances. It is called for changes that this instance has seen itself.
  void SetPublish(Publish aPublish) { publish_ = std::move(aPublish); }

  CrashPrecaution Check(const CallerRequest& aRequest) const;
  /// Time for which the request is refused; zero if it is not.
  Micros RefusedFor(const CallerRequest& aRequest) const;
  /// A run of the request that began at aBegan has crashed a target.
  void OnCrash(const CallerRequest& aRequest, TimePoint aBegan);
  void OnAnswered(const CallerRequest& aRequest);
  /// Another instance has reported.
  void OnReport(const CrashReport& aReport);
  /// What other instances should know, the requests that are refused first.
  std::vector<CrashReport> Reports(size_t aMaxCount) const;
  size_t Size() const { return entries_.size(); }

private:
  struct Entry
  {
    unsigned crashes_ = 0;
    TimePoint lastCrashAt_;
  };

  bool HasLapsed(const Entry& aEntry) const;
  Entry* Find(Fingerprint aRequest);
  const Entry* Find(Fingerprint aRequest) const;
  void EvictIfFull();

  TimerService& timers_;
  Publish publish_;
  std::unordered_map<Fingerprint, Entry> entries_;
};

} // namespace ibisrock

#endif
