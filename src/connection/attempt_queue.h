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

/// Waiting attempts of one replica. Callers take turns, so that one with many attempts does not delay the others; the
/// attempts of one caller, and callers whose turns are equal, are ordered by deadline. Not thread-safe.
class AttemptQueue
{
public:
  void Add(WaitingAttempt aAttempt);
  /// The attempt that TakeNext() would return; null when the queue is empty.
  const WaitingAttempt* Next() const;
  /// Removes the next attempt and ends its caller's turn. The queue must not be empty.
  WaitingAttempt TakeNext();
  /// Removes an attempt. Returns no value when it is not in the queue.
  std::optional<WaitingAttempt> Remove(const AttemptId& aId);
  std::vector<WaitingAttempt> TakeExpired(TimePoint aNow);
  std::vector<WaitingAttempt> TakeAll();
  /// Attempts that would start before a new one of this caller with this deadline.
  size_t CountAhead(const CallerName& aCaller, TimePoint aDeadline) const;
  size_t Size() const { return size_; }

private:
  struct CallerQueue
  {
    std::multimap<TimePoint, WaitingAttempt> attempts_;
    /// Attempts started for the caller, raised to the current turn when the caller comes back after a pause.
    uint64_t turn_ = 0;
  };
  using Callers = std::map<CallerName, CallerQueue>;

  Callers::const_iterator NextCaller() const;

  Callers callers_;
  /// Turn of the caller served last. Callers without waiting attempts are forgotten and start from here.
  uint64_t turn_ = 0;
  size_t size_ = 0;
};

} // namespace ibisrock

#endif
