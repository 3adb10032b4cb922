#ifndef IBISROCK_BASE_TIMER_SERVICE_H
#define IBISROCK_BASE_TIMER_SERVICE_H

#include "base/ids.h"
#include "base/units.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>

namespace ibisrock {

/// The only source of time in the library. Parts subscribe with After(). Callbacks run one after another on the thread
/// that drives the service, and without any lock of the service held.
class TimerService
{
public:
  using Callback = std::function<void()>;

  virtual ~TimerService() = default;

  virtual TimePoint Now() const = 0;
  /// Runs aCallback once, aDelay from now; a delay of zero or less runs it as soon as possible.
  virtual TimerId After(Micros aDelay, Callback aCallback) = 0;
  /// Drops a timer. Does nothing if it has run or is running.
  virtual void Cancel(TimerId aId) = 0;
};

/// Timers ordered by due time, then by the order of subscription. Not thread-safe.
class TimerQueue
{
public:
  TimerId Add(TimePoint aDue, TimerService::Callback aCallback);
  void Cancel(TimerId aId);
  bool IsEmpty() const { return byTime_.empty(); }
  /// Due time of the next timer. The queue must not be empty.
  TimePoint NextDue() const { return byTime_.begin()->first.first; }
  /// Removes and returns the next timer's callback. The queue must not be empty.
  TimerService::Callback TakeNext();

private:
  std::map<std::pair<TimePoint, TimerId>, TimerService::Callback> byTime_;
  std::unordered_map<TimerId, TimePoint> dueTimes_;
  TimerId lastId_;
};

/// A clock that moves only when it is told to, for tests and embedding simulations.
class ManualTimerService final : public TimerService
{
public:
  TimePoint Now() const override;
  TimerId After(Micros aDelay, Callback aCallback) override;
  void Cancel(TimerId aId) override;

  /// Moves time forward by aDelay and runs every timer that falls due, in order.
  void Advance(Micros aDelay);
  /// Moves time to the next timer and runs it. Returns false when there is none.
  bool RunNext();

private:
  mutable std::mutex mutex_;
  TimePoint now_{ Seconds(1) };
  TimerQueue queue_;
};

/// The steady clock of the machine, with one thread that runs the callbacks.
class SteadyTimerService final : public TimerService
{
public:
  static std::unique_ptr<SteadyTimerService> Create();
  ~SteadyTimerService() override;

  TimePoint Now() const override;
  TimerId After(Micros aDelay, Callback aCallback) override;
  void Cancel(TimerId aId) override;

private:
  SteadyTimerService() = default;
  void Run();

  std::mutex mutex_;
  std::condition_variable changed_;
  TimerQueue queue_;
  bool stopping_ = false;
  std::thread thread_;
};

} // namespace ibisrock

#endif
