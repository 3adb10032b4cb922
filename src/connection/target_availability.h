#ifndef IBISROCK_CONNECTION_TARGET_AVAILABILITY_H
#define IBISROCK_CONNECTION_TARGET_AVAILABILITY_H

#include "base/target_client.h"
#include "connection/boot_history.h"

namespace ibisrock {

/// Decides whether and how much new work a target gets, from what its owner has seen of it. Not thread-safe.
class TargetAvailability
{
public:
  explicit TargetAvailability(uint32_t aSlots)
    : slots_(aSlots)
  {
  }

  /// Reason::None when an attempt may be queued, else the reason of the refusal.
  Reason RefusalReason(TimePoint aNow, bool aIsIdle) const;
  /// Attempts that may be in flight now: all slots, fewer during the ramp, one when the target is probed.
  uint32_t SlotsAt(TimePoint aNow) const;
  /// Learns from the outcome of an attempt.
  void OnReply(const TargetReply& aReply, TimePoint aNow);
  /// Learns from the health endpoint, which lags: a leaving mark and an unknown boot id count, a ready mark does not.
  void OnHealth(const TargetReply& aReply, TimePoint aNow);
  bool IsLeaving() const { return leaving_; }
  /// True after a connect failure until an attempt reaches the target.
  bool IsEjected() const { return failures_ > 0; }

private:
  bool OnBoot(const BootId& aBoot, bool aFirstHand, TimePoint aNow);
  void OnConnectFailed(TimePoint aNow);

  const uint32_t slots_;
  BootHistory boots_;
  bool leaving_ = false;
  bool ramping_ = false;
  TimePoint rampStart_{};
  /// Connect failures in a row.
  uint32_t failures_ = 0;
  TimePoint retryAt_{};
};

} // namespace ibisrock

#endif
