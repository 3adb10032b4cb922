#include "fakes/step_platform.h"

#include "base/hashing.h"

#include <algorithm>
#include <array>
#include <utility>

namespace ibisrock::fakes {

namespace {

constexpr Micros kStoreLatency = Micros(1);

const char*
NameOf(StoreOutcome aOutcome)
{
  constexpr std::array kNames = { "ok", "not found", "conflict", "unavailable", "unknown" };
  return kNames.at(static_cast<size_t>(aOutcome));
}

} // namespace

/// The store as one process sees it.
class StepPlatform::Port final : public ObjectStore
{
public:
  Port(StepPlatform& aPlatform, size_t aProcess)
    : platform_(aPlatform)
    , process_(aProcess)
  {
  }

  void Get(const std::string& aKey, Callback aCallback) override
  {
    platform_.Send({ process_, false, aKey, {}, {}, std::move(aCallback), false });
  }
  void Put(const std::string& aKey, const std::string& aValue, StoreRevision aExpected, Callback aCallback) override
  {
    platform_.Send({ process_, true, aKey, aValue, aExpected, std::move(aCallback), false });
  }
  void Watch(const std::string&, StoreRevision, Micros, Callback) override {}

private:
  StepPlatform& platform_;
  const size_t process_;
};

/// A clock that moves only when its process has nothing else to do.
class StepPlatform::StepTimers final : public TimerService
{
public:
  TimePoint Now() const override { return now_; }
  TimerId After(Micros aDelay, Callback aCallback) override { return queue_.Add(now_ + aDelay, std::move(aCallback)); }
  void Cancel(TimerId aId) override { queue_.Cancel(aId); }

  bool IsEmpty() const { return queue_.IsEmpty(); }
  void RunNext()
  {
    now_ = std::max(now_, queue_.NextDue());
    queue_.TakeNext()();
  }

private:
  TimePoint now_{ Seconds(1) };
  TimerQueue queue_;
};

struct StepPlatform::Process
{
  Process(StepPlatform& aPlatform, size_t aProcess)
    : port_(aPlatform, aProcess)
  {
  }

  Port port_;
  StepTimers timers_;
  bool stopped_ = false;
  /// Hash of all that the process was answered and chose; its state depends on nothing else.
  uint64_t history_ = 0;
};

StepPlatform::StepPlatform(Choices& aChoices, size_t aProcesses, const StepBounds& aBounds)
  : choices_(aChoices)
  , left_(aBounds)
  , store_(storeTimers_)
{
  StoreFaults faults;
  faults.latency_ = kStoreLatency;
  store_.SetFaults(faults);
  for (size_t process = 0; process < aProcesses; process++) {
    processes_.push_back(std::make_unique<Process>(*this, process));
  }
}

StepPlatform::~StepPlatform() = default;

ObjectStore&
StepPlatform::StoreOf(size_t aProcess)
{
  return processes_.at(aProcess)->port_;
}

TimerService&
StepPlatform::TimersOf(size_t aProcess)
{
  return processes_.at(aProcess)->timers_;
}

bool
StepPlatform::HasStopped(size_t aProcess) const
{
  return processes_.at(aProcess)->stopped_;
}

void
StepPlatform::Remember(size_t aProcess, const std::string& aText)
{
  uint64_t& history = processes_[aProcess]->history_;
  history = HashBytes(aText, history + 1);
}

size_t
StepPlatform::ChooseFor(size_t aProcess, size_t aCount)
{
  const size_t choice = choices_.Choose(aCount);
  Remember(aProcess, "chose " + std::to_string(choice));
  log_ += "process " + std::to_string(aProcess) + " chose " + std::to_string(choice) + "\n";
  return choice;
}

void
StepPlatform::Send(Call aCall)
{
  calls_.push_back(std::move(aCall));
}

bool
StepPlatform::IsWaiting(size_t aProcess) const
{
  return std::any_of(calls_.begin(), calls_.end(), [aProcess](const Call& aCall) {
    return aCall.process_ == aProcess && !aCall.abandoned_;
  });
}

/// A timer of a process leads to its next call and is seen by nobody else, so that its time needs no choice.
void
StepPlatform::RunIdleTimers()
{
  for (size_t process = 0; process < processes_.size(); process++) {
    StepTimers& timers = processes_[process]->timers_;
    while (!processes_[process]->stopped_ && !IsWaiting(process) && !timers.IsEmpty()) {
      timers.RunNext();
    }
  }
}

std::vector<StepPlatform::Alternative>
StepPlatform::Alternatives()
{
  std::vector<Alternative> alternatives;
  for (auto call = calls_.begin(); call != calls_.end(); ++call) {
    alternatives.push_back({ Action::TakeEffect, call, call->process_ });
    if (call->abandoned_ || left_.faults_ == 0) {
      continue;
    }
    alternatives.push_back({ Action::Fail, call, call->process_ });
    if (call->isPut_) {
      alternatives.push_back({ Action::LoseAnswer, call, call->process_ });
    }
  }
  for (size_t process = 0; process < processes_.size() && left_.stops_ > 0; process++) {
    if (IsWaiting(process)) {
      alternatives.push_back({ Action::StopProcess, calls_.end(), process });
    }
  }
  return alternatives;
}

bool
StepPlatform::Step()
{
  RunIdleTimers();
  const std::vector<Alternative> alternatives = Alternatives();
  if (alternatives.empty()) {
    atEnd_ = true;
    return false;
  }
  if (!choices_.Enter(StateHash())) {
    return false;
  }
  Perform(alternatives[choices_.Choose(alternatives.size())]);
  return true;
}

void
StepPlatform::Perform(const Alternative& aAlternative)
{
  switch (aAlternative.action_) {
    case Action::TakeEffect:
      TakeEffect(aAlternative.call_);
      return;
    case Action::Fail: {
      left_.faults_--;
      const Call call = std::move(*aAlternative.call_);
      calls_.erase(aAlternative.call_);
      Answer(call, { StoreOutcome::Unavailable, {}, {} });
      return;
    }
    case Action::LoseAnswer:
      left_.faults_--;
      aAlternative.call_->abandoned_ = true;
      Answer(*aAlternative.call_, { StoreOutcome::Unknown, {}, {} });
      return;
    case Action::StopProcess:
      left_.stops_--;
      Stop(aAlternative.process_);
  }
}

/// Lets a call reach the store, and answers it if its caller still waits.
void
StepPlatform::TakeEffect(std::list<Call>::iterator aCall)
{
  const Call call = std::move(*aCall);
  calls_.erase(aCall);
  const StoreResult result = Forward(call);
  if (call.isPut_ && result.outcome_ == StoreOutcome::Ok) {
    auto& [value, ordinal] = contents_[call.key_];
    value = HashBytes(call.value_);
    ordinals_[result.revision_] = ++ordinal;
    DropVoidCalls(call.key_, result.revision_);
  }
  if (call.abandoned_) {
    log_ += "late call of process " + std::to_string(call.process_) + ": put " + call.key_ + ": " +
            NameOf(result.outcome_) + "\n";
  } else {
    Answer(call, result);
  }
}

/// Drops the late calls that can no longer take effect, because the object has passed the revision that they expect.
void
StepPlatform::DropVoidCalls(const std::string& aKey, StoreRevision aCurrent)
{
  std::erase_if(calls_, [&aKey, aCurrent](const Call& aCall) {
    return aCall.abandoned_ && aCall.key_ == aKey && aCall.expected_ != aCurrent;
  });
}

StoreResult
StepPlatform::Forward(const Call& aCall)
{
  StoreResult result;
  const auto keep = [&result](StoreResult aResult) { result = std::move(aResult); };
  if (aCall.isPut_) {
    store_.Put(aCall.key_, aCall.value_, aCall.expected_, keep);
  } else {
    store_.Get(aCall.key_, keep);
  }
  storeTimers_.Advance(kStoreLatency);
  return result;
}

void
StepPlatform::Answer(const Call& aCall, const StoreResult& aResult)
{
  const std::string outcome = NameOf(aResult.outcome_);
  log_ += "process " + std::to_string(aCall.process_) + (aCall.isPut_ ? ": put " : ": get ") + aCall.key_ + ": " +
          outcome + "\n";
  Remember(aCall.process_, outcome + std::to_string(OrdinalOf(aResult.revision_)) + aResult.value_);
  // The callback may send calls, so that it must not be reached through the list.
  const ObjectStore::Callback callback = aCall.callback_;
  callback(aResult);
}

void
StepPlatform::Stop(size_t aProcess)
{
  processes_[aProcess]->stopped_ = true;
  log_ += "process " + std::to_string(aProcess) + " stopped\n";
  std::erase_if(calls_, [aProcess](const Call& aCall) { return aCall.process_ == aProcess && !aCall.isPut_; });
  for (Call& call : calls_) {
    call.abandoned_ = call.abandoned_ || call.process_ == aProcess;
  }
}

std::string
StepPlatform::ValueOf(const std::string& aKey)
{
  Call call;
  call.key_ = aKey;
  const StoreResult result = Forward(call);
  return result.outcome_ == StoreOutcome::Ok ? result.value_ : std::string();
}

uint64_t
StepPlatform::OrdinalOf(StoreRevision aRevision) const
{
  auto found = ordinals_.find(aRevision);
  return found == ordinals_.end() ? 0 : found->second;
}

/// Covers the store, the late calls, the processes, the observations and the faults left. The calls that are not late
/// follow from the histories of the processes.
uint64_t
StepPlatform::StateHash() const
{
  std::string state = std::to_string(left_.faults_) + "," + std::to_string(left_.stops_);
  for (size_t index = 0; index < processes_.size(); index++) {
    const Process& process = *processes_[index];
    const bool isActive = IsWaiting(index) || !process.timers_.IsEmpty();
    state += ";" + (isActive && !process.stopped_ ? std::to_string(process.history_) : "idle");
    state += process.stopped_ ? ",stopped" : "";
  }
  state += ";" + (observation_ ? observation_() : "");
  for (const auto& [key, content] : contents_) {
    state += ";" + key + "," + std::to_string(content.first) + "," + std::to_string(content.second);
  }
  std::vector<std::string> late;
  for (const Call& call : calls_) {
    if (call.abandoned_) {
      late.push_back(std::to_string(call.process_) + "," + call.key_ + "," + std::to_string(HashBytes(call.value_)) +
                     "," + std::to_string(OrdinalOf(call.expected_)));
    }
  }
  std::sort(late.begin(), late.end());
  for (const std::string& call : late) {
    state += ";late," + call;
  }
  return HashBytes(state);
}

} // namespace ibisrock::fakes
