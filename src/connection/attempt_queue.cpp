#include "connection/attempt_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ibisrock {

void
AttemptQueue::Add(WaitingAttempt aAttempt)
{
  auto [caller, isNew] = callers_.try_emplace(aAttempt.request_.caller_);
  if (isNew) {
    caller->second.virtualTime_ = virtualTime_;
  }
  const TimePoint deadline = aAttempt.deadline_;
  caller->second.attempts_.emplace(deadline, std::move(aAttempt));
  size_++;
}

AttemptQueue::Callers::const_iterator
AttemptQueue::NextCaller() const
{
  return std::min_element(callers_.begin(), callers_.end(), [](const auto& aLeft, const auto& aRight) {
    const CallerQueue& left = aLeft.second;
    const CallerQueue& right = aRight.second;
    return std::pair(left.virtualTime_, left.attempts_.begin()->first) <
           std::pair(right.virtualTime_, right.attempts_.begin()->first);
  });
}

const WaitingAttempt*
AttemptQueue::Next() const
{
  auto caller = NextCaller();
  return caller == callers_.end() ? nullptr : &caller->second.attempts_.begin()->second;
}

WaitingAttempt
AttemptQueue::TakeNext()
{
  auto caller = callers_.find(NextCaller()->first);
  CallerQueue& queue = caller->second;
  WaitingAttempt next = std::move(queue.attempts_.begin()->second);
  queue.attempts_.erase(queue.attempts_.begin());
  virtualTime_ = ++queue.virtualTime_;
  size_--;
  if (queue.attempts_.empty()) {
    callers_.erase(caller);
  }
  return next;
}

std::optional<WaitingAttempt>
AttemptQueue::Remove(const AttemptId& aId)
{
  for (auto caller = callers_.begin(); caller != callers_.end(); ++caller) {
    auto& attempts = caller->second.attempts_;
    auto found = std::find_if(
      attempts.begin(), attempts.end(), [&aId](const auto& aEntry) { return aEntry.second.request_.id_ == aId; });
    if (found != attempts.end()) {
      WaitingAttempt removed = std::move(found->second);
      attempts.erase(found);
      size_--;
      if (attempts.empty()) {
        callers_.erase(caller);
      }
      return removed;
    }
  }
  return std::nullopt;
}

std::vector<WaitingAttempt>
AttemptQueue::TakeExpired(TimePoint aNow)
{
  std::vector<WaitingAttempt> expired;
  for (auto caller = callers_.begin(); caller != callers_.end();) {
    auto& attempts = caller->second.attempts_;
    while (!attempts.empty() && attempts.begin()->first <= aNow) {
      expired.push_back(std::move(attempts.begin()->second));
      attempts.erase(attempts.begin());
    }
    caller = attempts.empty() ? callers_.erase(caller) : std::next(caller);
  }
  size_ -= expired.size();
  return expired;
}

std::vector<WaitingAttempt>
AttemptQueue::TakeAll()
{
  return TakeExpired(TimePoint::max());
}

size_t
AttemptQueue::CountAhead(const CallerName& aCaller, TimePoint aDeadline) const
{
  size_t own = 0;
  if (auto found = callers_.find(aCaller); found != callers_.end()) {
    const auto& attempts = found->second.attempts_;
    own = static_cast<size_t>(std::distance(attempts.begin(), attempts.upper_bound(aDeadline)));
  }
  size_t ahead = own;
  for (const auto& [caller, queue] : callers_) {
    if (caller != aCaller) {
      ahead += std::min(queue.attempts_.size(), own + 1);
    }
  }
  return ahead;
}

} // namespace ibisrock
