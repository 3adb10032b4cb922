#include "fakes/fake_targets.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace ibisrock::fakes {

namespace {

/// One way delay between an owner and a target.
constexpr Micros kTargetDelay = Micros(500);

TargetReply
DescribeTarget(const FakeTarget& aTarget, const TargetName& aName)
{
  TargetReply reply;
  reply.held_.assign(aTarget.held_.begin(), aTarget.held_.end());
  reply.state_ = aTarget.state_;
  reply.boot_ = BootId(aName.Value() + "-" + std::to_string(aTarget.boots_));
  return reply;
}

TargetReply
Refusal(TargetReply aReply, Reason aReason)
{
  aReply.verdict_ = Verdict::NotRun;
  aReply.reason_ = aReason;
  return aReply;
}

TargetReply
Lost(Reason aReason)
{
  TargetReply reply;
  reply.verdict_ = Verdict::MayHaveRun;
  reply.reason_ = aReason;
  return reply;
}

Micros
DrawServiceTime(const FakeTarget& aTarget, Random& aRandom)
{
  if (aTarget.spread_ == 0) {
    return aTarget.serviceTime_;
  }
  const double factor = 1 - aTarget.spread_ - aTarget.spread_ * std::log(1 - aRandom.Unit());
  return Scale(aTarget.serviceTime_, factor);
}

std::vector<Match>
DefaultSearch(IndexVersion aVersion, const ShardName& aShard, const std::string& aBody)
{
  return { { aShard.Value() + "/" + aBody, std::to_string(aVersion.Value()) } };
}

} // namespace

FakeTargets::FakeTargets(TimerService& aTimers, Random& aRandom)
  : timers_(aTimers)
  , random_(aRandom)
  , search_(DefaultSearch)
{
}

void
FakeTargets::Set(const TargetName& aName, const FakeTarget& aTarget)
{
  std::lock_guard lock(mutex_);
  targets_[aName] = aTarget;
}

void
FakeTargets::SetSearch(ShardSearch aSearch)
{
  std::lock_guard lock(mutex_);
  search_ = std::move(aSearch);
}

FakeTarget
FakeTargets::Get(const TargetName& aName) const
{
  std::lock_guard lock(mutex_);
  auto found = targets_.find(aName);
  return found == targets_.end() ? FakeTarget() : found->second;
}

std::vector<TargetRun>
FakeTargets::Runs() const
{
  std::lock_guard lock(mutex_);
  return runs_;
}

uint64_t
FakeTargets::Shed() const
{
  std::lock_guard lock(mutex_);
  return shed_;
}

uint64_t
FakeTargets::Crashes() const
{
  std::lock_guard lock(mutex_);
  return crashes_;
}

/// Needs the lock.
unsigned
FakeTargets::RunningOn(const TargetName& aName) const
{
  return static_cast<unsigned>(std::count_if(
    running_.begin(), running_.end(), [&aName](const auto& aEntry) { return aEntry.second.target_ == aName; }));
}

void
FakeTargets::Answer(Callback aCallback, TargetReply aReply, Micros aDelay)
{
  timers_.After(aDelay, [callback = std::move(aCallback), reply = std::move(aReply)] { callback(reply); });
}

unsigned
FakeTargets::PeakConnections(const TargetName& aName) const
{
  std::lock_guard lock(mutex_);
  auto found = peakConnected_.find(aName);
  return found == peakConnected_.end() ? 0 : found->second;
}

/// Opens a connection that lasts until the returned callback is called. Returns nothing when no further one is taken.
TargetClient::Callback
FakeTargets::Connect(const TargetName& aName, Callback aCallback)
{
  std::lock_guard lock(mutex_);
  unsigned& connected = connected_[aName];
  if (!targets_[aName].down_ && connected >= targets_[aName].connections_) {
    return nullptr;
  }
  connected++;
  peakConnected_[aName] = std::max(peakConnected_[aName], connected);
  return [this, aName, callback = std::move(aCallback)](TargetReply aReply) {
    {
      std::lock_guard closing(mutex_);
      connected_[aName]--;
    }
    callback(std::move(aReply));
  };
}

void
FakeTargets::Start(const TargetAttempt& aAttempt, Callback aCallback)
{
  Callback connected = Connect(aAttempt.target_, aCallback);
  if (!connected) {
    Answer(std::move(aCallback), Refusal({}, Reason::ConnectFailed), 2 * kTargetDelay);
    return;
  }
  std::optional<TargetReply> refusal;
  bool crash = false;
  {
    std::lock_guard lock(mutex_);
    FakeTarget& target = targets_[aAttempt.target_];
    TargetReply described = DescribeTarget(target, aAttempt.target_);
    if (target.down_) {
      refusal = Refusal({}, Reason::ConnectFailed);
    } else if (!target.held_.contains(aAttempt.version_)) {
      refusal = Refusal(std::move(described), Reason::VersionNotHeld);
    } else if (RunningOn(aAttempt.target_) >= target.slots_) {
      shed_++;
      refusal = Refusal(std::move(described), Reason::Overloaded);
    } else {
      runs_.push_back({ aAttempt.target_, aAttempt.shard_, aAttempt.id_, aAttempt.body_, timers_.Now() });
      crash = !target.crashBody_.empty() && target.crashBody_ == aAttempt.body_;
      const bool slow = random_.Unit() < target.slowShare_;
      const unsigned cold = target.state_ == TargetState::Warming ? target.coldFactor_ : 1U;
      const Micros work = target.connectTime_ +
                          DrawServiceTime(target, random_) * cold * (slow ? target.slowFactor_ : 1U) + 2 * kTargetDelay;
      const Micros held = std::min(work, aAttempt.budget_);
      const TimerId timer =
        timers_.After(held, [this, attempt = aAttempt, left = aAttempt.budget_ - work] { Finish(attempt, left); });
      running_[aAttempt.id_] = { aAttempt.target_, connected, timer };
    }
  }
  if (refusal) {
    Answer(std::move(connected), std::move(*refusal), 2 * kTargetDelay);
  } else if (crash) {
    timers_.After(kTargetDelay, [this, name = aAttempt.target_] {
      {
        std::lock_guard lock(mutex_);
        crashes_++;
      }
      Crash(name);
    });
  }
}

/// Answers an attempt whose service time or whose budget, if that is shorter, has passed.
void
FakeTargets::Finish(const TargetAttempt& aAttempt, Micros aBudgetLeft)
{
  Callback callback;
  TargetReply reply;
  {
    std::lock_guard lock(mutex_);
    auto found = running_.find(aAttempt.id_);
    if (found == running_.end()) {
      return;
    }
    callback = std::move(found->second.callback_);
    running_.erase(found);
    if (aBudgetLeft < Micros::zero()) {
      reply = Lost(Reason::TimedOut);
    } else {
      reply = DescribeTarget(targets_[aAttempt.target_], aAttempt.target_);
      reply.verdict_ = Verdict::Ran;
      reply.version_ = aAttempt.version_;
      reply.matches_ = search_(aAttempt.version_, aAttempt.shard_, aAttempt.body_);
    }
  }
  callback(std::move(reply));
}

void
FakeTargets::Cancel(const AttemptId& aId)
{
  Callback callback;
  {
    std::lock_guard lock(mutex_);
    auto found = running_.find(aId);
    if (found == running_.end()) {
      return;
    }
    callback = std::move(found->second.callback_);
    timers_.Cancel(found->second.timer_);
    running_.erase(found);
  }
  Answer(std::move(callback), Lost(Reason::Cancelled), 2 * kTargetDelay);
}

void
FakeTargets::Probe(const TargetName& aTarget, const TargetAddress& /*aAddress*/, Callback aCallback)
{
  TargetReply reply = Refusal({}, Reason::ConnectFailed);
  {
    std::lock_guard lock(mutex_);
    const FakeTarget& target = targets_[aTarget];
    if (!target.down_) {
      reply = DescribeTarget(target, aTarget);
      reply.state_ = target.falseHealth_.value_or(target.state_);
      reply.verdict_ = Verdict::Ran;
    }
  }
  Answer(std::move(aCallback), std::move(reply), 2 * kTargetDelay);
}

/// Ends the restart of a crashed target, which may be cold for a time.
void
FakeTargets::BecomeUp(const TargetName& aName)
{
  std::lock_guard lock(mutex_);
  FakeTarget& target = targets_[aName];
  target.down_ = false;
  if (target.coldStart_ > Micros::zero()) {
    target.state_ = TargetState::Warming;
    timers_.After(target.coldStart_, [this, aName] {
      std::lock_guard warmLock(mutex_);
      targets_[aName].state_ = TargetState::Ready;
    });
  }
}

void
FakeTargets::Crash(const TargetName& aName)
{
  std::vector<Callback> lost;
  {
    std::lock_guard lock(mutex_);
    FakeTarget& target = targets_[aName];
    target.down_ = true;
    target.boots_++;
    for (auto entry = running_.begin(); entry != running_.end();) {
      if (entry->second.target_ == aName) {
        timers_.Cancel(entry->second.timer_);
        lost.push_back(std::move(entry->second.callback_));
        entry = running_.erase(entry);
      } else {
        ++entry;
      }
    }
    timers_.After(target.restartTime_, [this, aName] { BecomeUp(aName); });
  }
  for (Callback& callback : lost) {
    callback(Lost(Reason::ConnectionLost));
  }
}

} // namespace ibisrock::fakes
