#include "base/timer_service.h"

namespace ibisrock {

TimerId
TimerQueue::Add(TimePoint aDue, TimerService::Callback aCallback)
{
  lastId_ = lastId_.Next();
  byTime_.emplace(std::make_pair(aDue, lastId_), std::move(aCallback));
  dueTimes_.emplace(lastId_, aDue);
  return lastId_;
}

void
TimerQueue::Cancel(TimerId aId)
{
  auto due = dueTimes_.find(aId);
  if (due == dueTimes_.end()) {
    return;
  }
  byTime_.erase(std::make_pair(due->second, aId));
  dueTimes_.erase(due);
}

TimerService::Callback
TimerQueue::TakeNext()
{
  auto next = byTime_.begin();
  TimerService::Callback callback = std::move(next->second);
  dueTimes_.erase(next->first.second);
  byTime_.erase(next);
  return callback;
}

TimePoint
ManualTimerService::Now() const
{
  std::lock_guard lock(mutex_);
  return now_;
}

TimerId
ManualTimerService::After(Micros aDelay, Callback aCallback)
{
  std::lock_guard lock(mutex_);
  return queue_.Add(now_ + std::max(aDelay, Micros::zero()), std::move(aCallback));
}

void
ManualTimerService::Cancel(TimerId aId)
{
  std::lock_guard lock(mutex_);
  queue_.Cancel(aId);
}

void
ManualTimerService::Advance(Micros aDelay)
{
  const TimePoint end = Now() + aDelay;
  while (true) {
    Callback callback;
    {
      std::lock_guard lock(mutex_);
      if (queue_.IsEmpty() || queue_.NextDue() > end) {
        now_ = end;
        return;
      }
      now_ = std::max(now_, queue_.NextDue());
      callback = queue_.TakeNext();
    }
    callback();
  }
}

bool
ManualTimerService::RunNext()
{
  Callback callback;
  {
    std::lock_guard lock(mutex_);
    if (queue_.IsEmpty()) {
      return false;
    }
    now_ = std::max(now_, queue_.NextDue());
    callback = queue_.TakeNext();
  }
  callback();
  return true;
}

std::unique_ptr<SteadyTimerService>
SteadyTimerService::Create()
{
  std::unique_ptr<SteadyTimerService> service(new SteadyTimerService());
  service->thread_ = std::thread([raw = service.get()] { raw->Run(); });
  return service;
}

SteadyTimerService::~SteadyTimerService()
{
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

TimePoint
SteadyTimerService::Now() const
{
  return TimePoint(std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now().time_since_epoch()));
}

TimerId
SteadyTimerService::After(Micros aDelay, Callback aCallback)
{
  TimerId id;
  {
    std::lock_guard lock(mutex_);
    id = queue_.Add(Now() + std::max(aDelay, Micros::zero()), std::move(aCallback));
  }
  changed_.notify_all();
  return id;
}

void
SteadyTimerService::Cancel(TimerId aId)
{
  std::lock_guard lock(mutex_);
  queue_.Cancel(aId);
}

void
SteadyTimerService::Run()
{
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    if (queue_.IsEmpty()) {
      changed_.wait(lock);
      continue;
    }
    const Micros wait = queue_.NextDue() - Now();
    if (wait > Micros::zero()) {
      changed_.wait_for(lock, wait);
      continue;
    }
    Callback callback = queue_.TakeNext();
    lock.unlock();
    callback();
    callback = nullptr;
    lock.lock();
  }
}

} // namespace ibisrock
