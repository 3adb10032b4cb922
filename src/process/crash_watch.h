#ifndef IBISROCK_PROCESS_CRASH_WATCH_H
#define IBISROCK_PROCESS_CRASH_WATCH_H

#include "base/http_message.h"
#include "base/target_link.h"
#include "base/timer_service.h"
#include "process/crash_history.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace ibisrock {

/// Finds out which runs ended with the crash of their target, also after nobody waits for their outcome any more, and
/// tells the crash history. Not thread-safe.
class CrashWatch : public std::enable_shared_from_this<CrashWatch>
{
public:
  /// After the end of a run without an answer its target is checked at these times, because it may still be at work.
  static constexpr Micros kFirstCheck = Millis(500);
  static constexpr Micros kLastCheck = Seconds(2);

  static std::shared_ptr<CrashWatch> Create(TimerService& aTimers, TargetLink& aLink);

  CrashHistory& History() { return history_; }

  /// The connection was lost during the run, or after it was abandoned. The target is checked at once.
  void OnConnectionLost(TargetRun aRun);
  /// The run has ended without an answer and its connection is closed, so that a crash does not show on it.
  void OnUnanswered(TargetRun aRun);
  /// Whether nothing is watched and no crash is known, so that answers need not be reported.
  bool IsIdle() const { return targets_.empty() && history_.IsEmpty(); }
  /// Targets of these pools have answered the request with a success.
  void OnAnswered(const CallerRequest& aRequest, const std::vector<PoolName>& aPools);

private:
  struct Suspect
  {
    TargetRun run_;
    /// When the connection was lost; for a run without an answer, when it ended.
    TimePoint endedAt_;
    bool wasLost_ = false;
  };

  struct WatchedTarget
  {
    TargetAddress address_;
    std::vector<Suspect> suspects_;
    bool isChecking_ = false;
    TimePoint checkBeganAt_;
  };

  CrashWatch(TimerService& aTimers, TargetLink& aLink);
  void Add(Suspect aSuspect);
  void CheckLater(const TargetName& aTarget, Micros aDelay);
  void Check(const TargetName& aTarget);
  void OnChecked(const TargetName& aTarget, Reachability aResult);
  bool IsStillOpen(const Suspect& aSuspect, TimePoint aCheckBeganAt) const;

  TimerService& timers_;
  TargetLink& link_;
  CrashHistory history_;
  std::unordered_map<TargetName, WatchedTarget> targets_;
};

} // namespace ibisrock

#endif
