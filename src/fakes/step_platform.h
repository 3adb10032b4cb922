#ifndef IBISROCK_FAKES_STEP_PLATFORM_H
#define IBISROCK_FAKES_STEP_PLATFORM_H

#include "base/object_store.h"
#include "base/timer_service.h"
#include "fakes/explorer.h"
#include "fakes/fake_store.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace ibisrock::fakes {

/// Faults that one run may have.
struct StepBounds
{
  /// Store calls that fail or whose answers are lost.
  unsigned faults_ = 0;
  /// Processes that stop for ever.
  unsigned stops_ = 0;
};

/// Several processes that share one store, with an explorer's choice of what happens next. Only the moments at which
/// store calls take effect let one process see another. A step is therefore one such moment, followed at once by the
/// caller's own work up to its next calls; a paused process is one whose calls wait while others are chosen.
class StepPlatform
{
public:
  StepPlatform(Choices& aChoices, size_t aProcesses, const StepBounds& aBounds);
  ~StepPlatform();
  StepPlatform(const StepPlatform&) = delete;
  StepPlatform& operator=(const StepPlatform&) = delete;

  ObjectStore& StoreOf(size_t aProcess);
  TimerService& TimersOf(size_t aProcess);
  bool HasStopped(size_t aProcess) const;

  /// Makes a choice that belongs to one process, such as the outcome of its work.
  size_t ChooseFor(size_t aProcess, size_t aCount);
  /// Does one step. Returns false when nothing can happen any more, or when the state was explored by another run.
  bool Step();
  /// True when nothing can happen any more.
  bool IsAtEnd() const { return atEnd_; }
  /// The current value of an object, or an empty text.
  std::string ValueOf(const std::string& aKey);
  /// Sets a text of what the model has observed, as far as its checks depend on it. Processes without calls and timers
  /// are told apart by it alone.
  void SetObservation(std::function<std::string()> aObservation) { observation_ = std::move(aObservation); }
  /// One line for each step, for the text of a failure.
  const std::string& Log() const { return log_; }

private:
  class Port;
  class StepTimers;
  struct Process;

  struct Call
  {
    size_t process_ = 0;
    bool isPut_ = false;
    std::string key_;
    std::string value_;
    StoreRevision expected_;
    ObjectStore::Callback callback_;
    /// The caller has stopped or was told that the answer is lost; the call may still take effect, at any time.
    bool abandoned_ = false;
  };
  enum class Action : uint8_t
  {
    TakeEffect,
    /// Fails without an effect.
    Fail,
    /// The answer is lost; the call takes effect later or never.
    LoseAnswer,
    StopProcess,
  };
  struct Alternative
  {
    Action action_;
    std::list<Call>::iterator call_;
    size_t process_;
  };

  void Send(Call aCall);
  std::vector<Alternative> Alternatives();
  void Perform(const Alternative& aAlternative);
  void TakeEffect(std::list<Call>::iterator aCall);
  StoreResult Forward(const Call& aCall);
  void Answer(const Call& aCall, const StoreResult& aResult);
  void Stop(size_t aProcess);
  void RunIdleTimers();
  void DropVoidCalls(const std::string& aKey, StoreRevision aCurrent);
  bool IsWaiting(size_t aProcess) const;
  void Remember(size_t aProcess, const std::string& aText);
  uint64_t OrdinalOf(StoreRevision aRevision) const;
  uint64_t StateHash() const;

  Choices& choices_;
  StepBounds left_;
  ManualTimerService storeTimers_;
  FakeStore store_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::list<Call> calls_;
  /// Number of each revision among those of its object. Equal states have equal numbers, whatever the order in which
  /// different objects were written.
  std::map<StoreRevision, uint64_t> ordinals_;
  /// Hash of the value and number of the revision of each object.
  std::map<std::string, std::pair<uint64_t, uint64_t>> contents_;
  std::function<std::string()> observation_;
  bool atEnd_ = false;
  std::string log_;
};

} // namespace ibisrock::fakes

#endif
