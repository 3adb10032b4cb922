#include "connection/target_availability.h"

#include <algorithm>

namespace ibisrock {

namespace {

/// Duration of slow start, in which the slots of a target that has restarted, is warming or is reachable again rise to
/// their full number.
constexpr Micros kSlowStartDuration = Seconds(10);
/// Back-off after the first connect failure; it doubles with each consecutive one.
constexpr Micros kInitialBackOff = Millis(100);
constexpr Micros kMaxBackOff = Seconds(10);
/// Limits the shift; kMaxBackOff is exceeded after this many doublings.
constexpr uint32_t kMaxDoublings = 7;

} // namespace

Reason
TargetAvailability::RefusalReason(TimePoint aNow, bool aIsIdle) const
{
  if (leaving_) {
    return Reason::Draining;
  }
  if (IsEjected() && (aNow < retryAt_ || !aIsIdle)) {
    return Reason::ConnectFailed;
  }
  return Reason::None;
}

uint32_t
TargetAvailability::SlotsAt(TimePoint aNow) const
{
  if (IsEjected()) {
    return 1;
  }
  const Micros elapsed = aNow - slowStartBegin_;
  if (!inSlowStart_ || elapsed >= kSlowStartDuration) {
    return slots_;
  }
  return std::max(1U, static_cast<uint32_t>(slots_ * elapsed.count() / kSlowStartDuration.count()));
}

/// Returns false when the boot id belongs to an earlier process. A new boot id clears the leaving state and begins
/// slow start, except the first one seen: a change of owner also brings that, without a restart of the target.
bool
TargetAvailability::OnBootId(const BootId& aBoot, bool aIsDirect, TimePoint aNow)
{
  const BootChange change = bootHistory_.Record(aBoot, aIsDirect);
  if (change == BootChange::Restarted) {
    leaving_ = false;
    inSlowStart_ = true;
    slowStartBegin_ = aNow;
  }
  return change != BootChange::Outdated;
}

void
TargetAvailability::OnConnectFailed(TimePoint aNow)
{
  const Micros backOff = kInitialBackOff * (1U << std::min(connectFailures_, kMaxDoublings));
  retryAt_ = aNow + std::min(backOff, kMaxBackOff);
  connectFailures_++;
}

void
TargetAvailability::OnReply(const TargetReply& aReply, TimePoint aNow)
{
  if (aReply.reason_ == Reason::ConnectFailed) {
    OnConnectFailed(aNow);
    return;
  }
  if (aReply.verdict_ == Verdict::MayHaveRun && aReply.state_ == TargetState::Unknown) {
    return;
  }
  if (IsEjected()) {
    connectFailures_ = 0;
    inSlowStart_ = true;
    slowStartBegin_ = aNow;
  }
  OnBootId(aReply.boot_, true, aNow);
  leaving_ = leaving_ || aReply.state_ == TargetState::Draining || aReply.reason_ == Reason::Draining;
  if (aReply.state_ == TargetState::Warming) {
    inSlowStart_ = true;
    slowStartBegin_ = aNow;
  }
}

void
TargetAvailability::OnHealth(const TargetReply& aReply, TimePoint aNow)
{
  if (aReply.verdict_ == Verdict::Ran && OnBootId(aReply.boot_, false, aNow)) {
    leaving_ = leaving_ || aReply.state_ == TargetState::Draining;
  }
}

} // namespace ibisrock
