#include "process/crash_watch.h"

#include <algorithm>
#include <utility>

namespace ibisrock {

namespace {

/// Runs that are watched at one target. Further ones add nothing: all of them would be parts of the same crash.
constexpr size_t kMaxSuspects = 64;

} // namespace

CrashWatch::CrashWatch(TimerService& aTimers, TargetLink& aLink)
  : timers_(aTimers)
  , link_(aLink)
  , history_(aTimers)
{
}

std::shared_ptr<CrashWatch>
CrashWatch::Create(TimerService& aTimers, TargetLink& aLink)
{
  return std::shared_ptr<CrashWatch>(new CrashWatch(aTimers, aLink));
}

void
CrashWatch::OnConnectionLost(TargetRun aRun)
{
  const TargetName target = aRun.target_;
  Add({ std::move(aRun), timers_.Now(), true });
  Check(target);
}

void
CrashWatch::OnUnanswered(TargetRun aRun)
{
  const TargetName target = aRun.target_;
  Add({ std::move(aRun), timers_.Now(), false });
  CheckLater(target, kFirstCheck);
  CheckLater(target, kLastCheck);
}

void
CrashWatch::OnAnswered(const CallerRequest& aRequest, const std::vector<PoolName>& aPools)
{
  for (auto& [name, target] : targets_) {
    std::erase_if(target.suspects_, [&](const Suspect& aSuspect) {
      return aSuspect.run_.request_.get() == &aRequest &&
             std::find(aPools.begin(), aPools.end(), aSuspect.run_.pool_) != aPools.end();
    });
  }
  history_.OnAnswered(aRequest, aPools);
}

void
CrashWatch::Add(Suspect aSuspect)
{
  WatchedTarget& target = targets_[aSuspect.run_.target_];
  target.address_ = aSuspect.run_.address_;
  if (target.suspects_.size() < kMaxSuspects) {
    target.suspects_.push_back(std::move(aSuspect));
  }
}

void
CrashWatch::CheckLater(const TargetName& aTarget, Micros aDelay)
{
  timers_.After(aDelay, [weak = weak_from_this(), aTarget] {
    if (auto self = weak.lock()) {
      self->Check(aTarget);
    }
  });
}

void
CrashWatch::Check(const TargetName& aTarget)
{
  auto found = targets_.find(aTarget);
  if (found == targets_.end() || found->second.isChecking_) {
    return;
  }
  const std::vector<Suspect>& suspects = found->second.suspects_;
  const bool hasLoss =
    std::any_of(suspects.begin(), suspects.end(), [](const Suspect& aSuspect) { return aSuspect.wasLost_; });
  found->second.checkBeganAt_ = timers_.Now();
  // A crash closes idle connections too, but this instance may see that later than the loss of another one.
  if (!hasLoss && link_.HasIdleConnection(aTarget)) {
    OnChecked(aTarget, Reachability::Reachable);
    return;
  }
  found->second.isChecking_ = true;
  link_.CheckReachable(aTarget, found->second.address_, [weak = weak_from_this(), aTarget](Reachability aResult) {
    if (auto self = weak.lock()) {
      self->OnChecked(aTarget, aResult);
    }
  });
}

void
CrashWatch::OnChecked(const TargetName& aTarget, Reachability aResult)
{
  auto found = targets_.find(aTarget);
  if (found == targets_.end()) {
    return;
  }
  WatchedTarget& target = found->second;
  target.isChecking_ = false;
  const TimePoint now = timers_.Now();
  bool checkAgain = false;
  for (Suspect& suspect : std::exchange(target.suspects_, {})) {
    // A target that does not answer at all may be cut off, which says nothing of a run whose connection was not lost.
    // Without an attempt to connect, nothing is known of the target.
    const bool hasCrashed =
      aResult == Reachability::NoListener || (aResult == Reachability::Silent && suspect.wasLost_);
    if (hasCrashed) {
      history_.OnCrash(suspect.run_, suspect.wasLost_ ? suspect.endedAt_ : now);
    } else if (IsStillOpen(suspect, target.checkBeganAt_)) {
      checkAgain = checkAgain || suspect.wasLost_;
      target.suspects_.push_back(std::move(suspect));
    }
  }
  if (target.suspects_.empty()) {
    targets_.erase(found);
  } else if (checkAgain) {
    Check(aTarget);
  }
}

/// Whether a check that found the target alive says nothing of the run: the connection was lost after the check began,
/// or the target may still be at work.
bool
CrashWatch::IsStillOpen(const Suspect& aSuspect, TimePoint aCheckBeganAt) const
{
  return aSuspect.wasLost_ ? aSuspect.endedAt_ > aCheckBeganAt : timers_.Now() - aSuspect.endedAt_ < kLastCheck;
}

} // namespace ibisrock
