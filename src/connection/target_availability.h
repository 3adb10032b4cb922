#ifndef IBISROCK_CONNECTION_TARGET_AVAILABILITY_H
#define IBISROCK_CONNECTION_TARGET_AVAILABILITY_H

#include "base/target_client.h"
#include "connection/boot_history.h"

namespace ibisrock {

/// Decides whether a target gets new attempts and how many at a time, from the outcomes of its attempts and from its
/// health endpoint. Not thread-safe.
class TargetAvailability
{
public:
  explicit TargetAvailability(uint32_t aSlots)
    : slots_(aSlots)
  {
  }

  /// Returns Reason::None when an attempt may be queued, else the reason to refuse it.
  Reason RefusalReason(TimePoint aNow, bool aIsIdle) const;
  /// Returns how many attempts may be in flight: all slots, fewer during slow start, one as a probe while ejected.
  uint32_t SlotsAt(TimePoint aNow) const;
  /// Updates the state from the outcome of an attempt.
  void OnReply(const TargetReply& aReply, TimePoint aNow);
  /// Updates the state from the health endpoint. Its reports lag, so only the draining state and a new boot id are
  /// used; the ready state is ignored.
  void OnHealth(const TargetReply& aReply, TimePoint aNow);
  bool IsLeaving() const { return leaving_; }
  /// True after a connect failure until an attempt reaches the target.
  bool IsEjected() const { return connectFailures_ > 0; }

private:
  bool OnBootId(const BootId& aBoot, bool aIsDirect, TimePoint aNow);
  void OnConnectFailed(TimePoint aNow);

  const uint32_t slots_;
  BootHistory bootHistory_;
  bool leaving_ = false;
  bool inSlowStart_ = false;
  TimePoint slowStartBegin_{};
  /// Consecutive connect failures.
  uint32_t connectFailures_ = 0;
  TimePoint retryAt_{};
};

} // namespace ibisrock

#endif
