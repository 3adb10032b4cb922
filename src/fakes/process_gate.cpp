#include "fakes/process_gate.h"

#include <utility>

namespace ibisrock::fakes {

void
ProcessGate::Freeze()
{
  std::lock_guard lock(mutex_);
  if (state_ == State::Running) {
    state_ = State::Frozen;
  }
}

void
ProcessGate::Thaw()
{
  std::vector<Work> waiting;
  {
    std::lock_guard lock(mutex_);
    if (state_ != State::Frozen) {
      return;
    }
    state_ = State::Running;
    waiting = std::move(waiting_);
  }
  for (const Work& work : waiting) {
    work();
  }
}

void
ProcessGate::Kill()
{
  std::lock_guard lock(mutex_);
  state_ = State::Dead;
  waiting_.clear();
}

bool
ProcessGate::IsRunning() const
{
  std::lock_guard lock(mutex_);
  return state_ == State::Running;
}

void
ProcessGate::Pass(Work aWork)
{
  {
    std::lock_guard lock(mutex_);
    if (state_ == State::Dead) {
      return;
    }
    if (state_ == State::Frozen) {
      waiting_.push_back(std::move(aWork));
      return;
    }
  }
  aWork();
}

GatedTimers::GatedTimers(TimerService& aTimers, std::shared_ptr<ProcessGate> aGate)
  : timers_(aTimers)
  , gate_(std::move(aGate))
{
}

TimerId
GatedTimers::After(Micros aDelay, Callback aCallback)
{
  return timers_.After(aDelay, [gate = gate_, callback = std::move(aCallback)] { gate->Pass(callback); });
}

GatedTargets::GatedTargets(TargetClient& aTargets, std::shared_ptr<ProcessGate> aGate)
  : targets_(aTargets)
  , gate_(std::move(aGate))
{
}

void
GatedTargets::Start(const TargetAttempt& aAttempt, Callback aCallback)
{
  if (!gate_->IsRunning()) {
    return;
  }
  targets_.Start(aAttempt, [gate = gate_, callback = std::move(aCallback)](const TargetReply& aReply) {
    gate->Pass([callback, aReply] { callback(aReply); });
  });
}

void
GatedTargets::Cancel(const AttemptId& aId)
{
  if (gate_->IsRunning()) {
    targets_.Cancel(aId);
  }
}

void
GatedTargets::Probe(const TargetName& aTarget, const TargetAddress& aAddress, Callback aCallback)
{
  if (!gate_->IsRunning()) {
    return;
  }
  targets_.Probe(aTarget, aAddress, [gate = gate_, callback = std::move(aCallback)](const TargetReply& aReply) {
    gate->Pass([callback, aReply] { callback(aReply); });
  });
}

GatedStore::GatedStore(ObjectStore& aStore, std::shared_ptr<ProcessGate> aGate)
  : store_(aStore)
  , gate_(std::move(aGate))
{
}

ObjectStore::Callback
GatedStore::Gated(Callback aCallback, StoreOutcome aCutOutcome) const
{
  return [this, gate = gate_, callback = std::move(aCallback), aCutOutcome](const StoreResult& aResult) {
    gate->Pass([callback, result = cut_ ? StoreResult{ aCutOutcome, {}, {} } : aResult] { callback(result); });
  };
}

void
GatedStore::Get(const std::string& aKey, Callback aCallback)
{
  if (cut_) {
    aCallback({});
  } else if (gate_->IsRunning()) {
    store_.Get(aKey, Gated(std::move(aCallback), StoreOutcome::Unavailable));
  }
}

void
GatedStore::Put(const std::string& aKey, const std::string& aValue, StoreRevision aExpected, Callback aCallback)
{
  if (cut_) {
    aCallback({});
  } else if (gate_->IsRunning()) {
    store_.Put(aKey, aValue, aExpected, Gated(std::move(aCallback), StoreOutcome::Unknown));
  }
}

void
GatedStore::Watch(const std::string& aKey, StoreRevision aAfter, Micros aTimeout, Callback aCallback)
{
  if (cut_) {
    aCallback({});
  } else if (gate_->IsRunning()) {
    store_.Watch(aKey, aAfter, aTimeout, Gated(std::move(aCallback), StoreOutcome::Unavailable));
  }
}

} // namespace ibisrock::fakes
