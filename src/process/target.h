#ifndef IBISROCK_PROCESS_TARGET_H
#define IBISROCK_PROCESS_TARGET_H

#include "base/ids.h"
#include "base/units.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace ibisrock {

/// Attributes of a target as published by discovery.
struct TargetRecord
{
  TargetName name_;
  PoolName pool_;
  TargetAddress address_;
  DataCentre dataCentre_;
  /// Number of requests the target runs concurrently.
  unsigned slots_ = 1;
  bool isLeaving_ = false;
  /// Remaining warm-up time after the start of the target, during which its calls take longer.
  Micros warmUpLeft_{};
  /// Start time in milliseconds since the epoch. A different value means that the target restarted under its name.
  uint64_t startedAt_ = 0;
  /// Number of check-ins of the target since its start, or 0 if unknown. Orders the entries of one start.
  uint64_t checkIns_ = 0;

  bool operator==(const TargetRecord&) const = default;
};

/// A target as seen by this instance: its discovery record and statistics of the calls sent to it. Not thread-safe.
class Target
{
public:
  Target(TargetRecord aRecord, TimePoint aNow);

  const TargetRecord& Record() const { return record_; }
  /// Replaces the record. A changed start time or address resets the latency, failure and back-off statistics.
  void Update(const TargetRecord& aRecord, TimePoint aNow);

  /// The target leaves and may be sent calls until aEnd only.
  void LeaveAt(TimePoint aEnd) { usableUntil_ = aEnd; }
  /// The target serves again.
  void Stay() { usableUntil_.reset(); }
  bool IsLeaving() const { return usableUntil_.has_value(); }
  bool HasLeft(TimePoint aNow) const { return usableUntil_ && aNow >= *usableUntil_; }

  bool IsRemoved() const { return removed_; }
  void MarkRemoved() { removed_ = true; }

  /// Sets the upper bound of the in-flight limit. A changed bound resets the limit to it.
  void SetMaxInFlight(unsigned aMaxInFlight);
  /// Whether one more call may be sent. The in-flight limit adapts below the configured maximum: failures and refused
  /// connections halve it, replies raise it again.
  bool HasCapacity(TimePoint aNow) const
  {
    return aNow >= saturatedUntil_ && !IsPaused(aNow) && inFlight_.size() < static_cast<size_t>(inFlightLimit_);
  }
  size_t InFlight() const { return inFlight_.size(); }
  /// Current adaptive limit on calls in flight.
  double InFlightLimit() const { return inFlightLimit_; }

  /// Ends the calls to the target until aEnd, because it asked for that. Afterwards the load rises with its replies.
  void PauseUntil(TimePoint aEnd);
  bool IsPaused(TimePoint aNow) const { return aNow < pauseEnd_; }
  TimePoint PauseEnd() const { return pauseEnd_; }

  /// Whether calls are held back after failures to connect. After each back-off, one call may try again.
  bool IsBackingOff(TimePoint aNow) const { return aNow < backOffUntil_; }

  /// aExpected is the typical latency of such a call in its pool.
  void OnSent(CallId aCall, TimePoint aNow, Micros aExpected);
  /// Records a call that ended with a complete reply after aTook.
  void OnReply(CallId aCall, TimePoint aNow, Micros aTook, Micros aExpected);
  /// Records a call that ended without a usable reply.
  void OnFailure(CallId aCall, TimePoint aNow);
  /// Records a call for which no connection to the target could be made.
  void OnUnreachable(CallId aCall, TimePoint aNow);
  /// Records that the target refused a further connection. Returns the time after which a call may try again; aJitter,
  /// from 0 to 1, spreads the retries of instances that are refused at the same time.
  Micros OnOverLimit(CallId aCall, TimePoint aNow, double aJitter);
  /// Records a call that was abandoned after aTook because another target was faster. It counts as in flight until it
  /// is released.
  void OnAbandoned(CallId aCall, TimePoint aNow, Micros aTook, Micros aExpected);
  void OnReleased(CallId aCall) { Remove(aCall); }

  /// Recent ratio of call latency to expected latency, including calls still in flight; 1 is as expected.
  double LatencyRatio(TimePoint aNow) const;
  /// Like LatencyRatio, without the calls still in flight.
  double ReplyLatencyRatio(TimePoint aNow) const;
  /// Age of the oldest call in flight that was not abandoned; zero if there is none.
  Micros OldestCallAge(TimePoint aNow) const;
  /// Recent fraction of calls without a usable reply.
  double FailureRate(TimePoint aNow) const;

private:
  struct InFlightCall
  {
    CallId id_;
    TimePoint sentAt_;
    Micros expected_;
    bool abandoned_ = false;
  };

  void Remove(CallId aCall);
  void ObserveLatencyRatio(TimePoint aNow, double aRatio);
  void ObserveFailure(TimePoint aNow, bool aFailed);
  double WarmUpFactor(TimePoint aNow) const;

  TargetRecord record_;
  bool removed_ = false;
  unsigned maxInFlight_ = 1;
  /// Adaptive limit on calls in flight, from 1 to maxInFlight_.
  double inFlightLimit_ = 1;
  std::vector<InFlightCall> inFlight_;
  TimePoint warmUpEnd_;
  double latencyRatio_ = 1;
  TimePoint latencyRatioAt_;
  double failureRate_ = 0;
  TimePoint failureRateAt_;
  TimePoint backOffUntil_{};
  Micros backOff_{};
  TimePoint saturatedUntil_{};
  TimePoint pauseEnd_{};
  std::optional<TimePoint> usableUntil_;
  Micros saturationBackOff_{};
};

} // namespace ibisrock

#endif
