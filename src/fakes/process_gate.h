#ifndef IBISROCK_FAKES_PROCESS_GATE_H
#define IBISROCK_FAKES_PROCESS_GATE_H

#include "base/instance_list.h"
#include "base/object_store.h"
#include "base/target_client.h"
#include "base/timer_service.h"

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace ibisrock::fakes {

/// Decides what reaches one instance: everything while it runs, nothing while it is frozen, as with SIGSTOP, until it
/// is thawed, and nothing ever again once it is dead.
class ProcessGate
{
public:
  using Work = std::function<void()>;

  void Freeze();
  /// Runs what arrived while frozen, in order.
  void Thaw();
  void Kill();
  bool IsRunning() const;
  /// Runs the work now, later or never.
  void Pass(Work aWork);

private:
  enum class State : uint8_t
  {
    Running,
    Frozen,
    Dead,
  };

  mutable std::mutex mutex_;
  State state_ = State::Running;
  std::vector<Work> waiting_;
};

/// A timer service whose callbacks pass a gate.
class GatedTimers final : public TimerService
{
public:
  GatedTimers(TimerService& aTimers, std::shared_ptr<ProcessGate> aGate);

  TimePoint Now() const override { return timers_.Now(); }
  TimerId After(Micros aDelay, Callback aCallback) override;
  void Cancel(TimerId aId) override { timers_.Cancel(aId); }

private:
  TimerService& timers_;
  std::shared_ptr<ProcessGate> gate_;
};

/// A target client whose calls and callbacks pass a gate.
class GatedTargets final : public TargetClient
{
public:
  GatedTargets(TargetClient& aTargets, std::shared_ptr<ProcessGate> aGate);

  void Start(const TargetAttempt& aAttempt, Callback aCallback) override;
  void Cancel(const AttemptId& aId) override;
  void Probe(const TargetName& aTarget, const TargetAddress& aAddress, Callback aCallback) override;

private:
  TargetClient& targets_;
  std::shared_ptr<ProcessGate> gate_;
};

/// An object store whose calls and callbacks pass a gate.
class GatedStore final : public ObjectStore
{
public:
  GatedStore(ObjectStore& aStore, std::shared_ptr<ProcessGate> aGate);

  void Get(const std::string& aKey, Callback aCallback) override;
  void Put(const std::string& aKey, const std::string& aValue, StoreRevision aExpected, Callback aCallback) override;
  void Watch(const std::string& aKey, StoreRevision aAfter, Micros aTimeout, Callback aCallback) override;
  /// While cut off, every call of this instance, also a waiting watch, fails as Unavailable.
  void SetCut(bool aCut) { cut_ = aCut; }

private:
  /// aCutOutcome is the outcome of a call that was on its way when the cut began.
  Callback Gated(Callback aCallback, StoreOutcome aCutOutcome) const;

  ObjectStore& store_;
  bool cut_ = false;
  std::shared_ptr<ProcessGate> gate_;
};

} // namespace ibisrock::fakes

#endif
