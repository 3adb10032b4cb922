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
  if (link_.HasIdleConnection(aTarget)) {
    // A crash would have closed it.
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
  found->second.isChecking_ = false;
  const TimePoint now = timers_.Now();
  std::vector<Suspect> watched;
  for (Suspect& suspect : std::exchange(found->second.suspects_, {})) {
    // A target that does not answer at all may be cut off, which says nothing of a run whose connection was not lost.
    const bool hasCrashed = aResult == Reachability::Refused || (aResult == Reachability::Silent && suspect.wasLost_);
    if (hasCrashed) {
      history_.OnCrash(suspect.run_, suspect.wasLost_ ? suspect.endedAt_ : now);
    } else if (!suspect.wasLost_ && now - suspect.endedAt_ < kLastCheck) {
      watched.push_back(std::move(suspect));
    }
  }
  if (watched.empty()) {
    targets_.erase(found);
  } else {
    found->second.suspects_ = std::move(watched);
  }
}

} // namespace ibisrock
