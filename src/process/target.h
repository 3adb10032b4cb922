#ifndef IBISROCK_PROCESS_TARGET_H
#define IBISROCK_PROCESS_TARGET_H

#include "base/ids.h"
#include "base/units.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace ibisrock {

/// What discovery says of a target.
struct TargetRecord
{
  TargetName name_;
  PoolName pool_;
  TargetAddress address_;
  DataCentre dataCentre_;
  /// Requests that the target runs at the same time.
  unsigned slots_ = 1;
  bool isLeaving_ = false;
  /// How much longer the target is slow after its start.
  Micros warmUpLeft_{};
  /// Start time in milliseconds since the epoch. A later one means that the target restarted under its name.
  uint64_t startedAt_ = 0;

  bool operator==(const TargetRecord&) const = default;
};

/// A target as this instance sees it: its record and what the calls to it showed. Used on one thread.
class Target
{
public:
  Target(TargetRecord aRecord, TimePoint aNow);

  const TargetRecord& Record() const { return record_; }
  /// Takes a new record. A restart forgets everything that was observed.
  void Update(const TargetRecord& aRecord, TimePoint aNow);

  bool IsRemoved() const { return removed_; }
  void MarkRemoved() { removed_ = true; }

  /// Calls that this instance may have in flight to the target.
  void SetMaxInFlight(unsigned aMaxInFlight);
  /// Whether one more call may be sent. Below the limit this follows from the target itself: losses and refusals halve
  /// what it is given, replies raise it again.
  bool HasCapacity(TimePoint aNow) const
  {
    return aNow >= saturatedUntil_ && inFlight_.size() < static_cast<size_t>(inFlightLimit_);
  }
  size_t InFlight() const { return inFlight_.size(); }
  /// Calls that it may have in flight now.
  double InFlightLimit() const { return inFlightLimit_; }

  /// Whether recent failures to connect keep new work away. After each pause one call may try again.
  bool IsBackingOff(TimePoint aNow) const { return aNow < backOffUntil_; }

  /// aExpected is the usual time of such a call in its pool.
  void OnSent(CallId aCall, TimePoint aNow, Micros aExpected);
  /// A call ended with a complete reply after aTook.
  void OnReply(CallId aCall, TimePoint aNow, Micros aTook, Micros aExpected);
  /// A call ended without a usable reply.
  void OnFailure(CallId aCall, TimePoint aNow);
  /// The call could not reach the target at all.
  void OnUnreachable(CallId aCall, TimePoint aNow);
  /// The target took no further connection. Returns the time after which one call may try again; aJitter from 0 to 1
  /// spreads instances that are turned away together.
  Micros OnOverLimit(CallId aCall, TimePoint aNow, double aJitter);
  /// A call was given up after aTook, because another target was faster. It takes room until it is released.
  void OnAbandoned(CallId aCall, TimePoint aNow, Micros aTook, Micros aExpected);
  void OnReleased(CallId aCall) { Remove(aCall); }

  /// Recent time of calls over their usual time, including the calls that still wait; 1 is usual.
  double LatencyRatio(TimePoint aNow) const;
  /// The same from replies alone.
  double ReplyLatencyRatio(TimePoint aNow) const;
  /// How long the oldest call that is still wanted has been in flight; zero without calls.
  Micros OldestCallAge(TimePoint aNow) const;
  /// Recent share of calls without a usable reply.
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
  /// Calls in flight that the target is found to bear; from 1 to maxInFlight_.
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
  Micros saturationBackOff_{};
};

} // namespace ibisrock

#endif
