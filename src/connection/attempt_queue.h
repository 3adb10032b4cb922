#ifndef IBISROCK_CONNECTION_ATTEMPT_QUEUE_H
#define IBISROCK_CONNECTION_ATTEMPT_QUEUE_H

#include "request/attempt_sender.h"

#include <map>
#include <optional>
#include <vector>

namespace ibisrock {

/// An attempt that waits for a slot of its target.
struct WaitingAttempt
{
  wire::SubRequest request_;
  TimePoint arrived_;
  TimePoint deadline_;
  AttemptSender::Callback callback_;
};

/// Waiting attempts of one replica, with fair queueing by caller: a caller with many attempts does not delay the
/// others. The attempts of one caller, and callers that have been served equally often, are ordered by deadline. Not
/// thread-safe.
class AttemptQueue
{
public:
  void Add(WaitingAttempt aAttempt);
  /// The attempt that TakeNext() would return; null when the queue is empty.
  const WaitingAttempt* Next() const;
  /// Removes the next attempt and counts it for its caller. The queue must not be empty.
  WaitingAttempt TakeNext();
  /// Removes an attempt. Returns no value when it is not in the queue.
  std::optional<WaitingAttempt> Remove(const AttemptId& aId);
  /// Removes the attempts whose deadline has been reached.
  std::vector<WaitingAttempt> TakeExpired(TimePoint aNow);
  std::vector<WaitingAttempt> TakeAll();
  /// Returns the number of attempts that would start before a new one of this caller with this deadline.
  size_t CountAhead(const CallerName& aCaller, TimePoint aDeadline) const;
  size_t Size() const { return size_; }

private:
  struct CallerQueue
  {
    std::multimap<TimePoint, WaitingAttempt> attempts_;
    /// Virtual time of the caller: advances by one with each of its attempts that starts. A caller that had no waiting
    /// attempts begins at the virtual time of the queue, so that it gains no share from its idle time.
    uint64_t virtualTime_ = 0;
  };
  using Callers = std::map<CallerName, CallerQueue>;

  Callers::const_iterator NextCaller() const;

  Callers callers_;
  /// Virtual time of the caller served last. The entry of a caller is erased when none of its attempts wait.
  uint64_t virtualTime_ = 0;
  size_t size_ = 0;
};

} // namespace ibisrock

#endif
