#include "connection/target_availability.h"

#include <algorithm>

namespace ibisrock {

namespace {

/// Time over which a restarted or warming target gets back to all of its slots.
constexpr Micros kRampTime = Seconds(10);
/// Wait after the first connect failure; it doubles with each further one.
constexpr Micros kFirstBackOff = Millis(100);
constexpr Micros kMaxBackOff = Seconds(10);
/// Doublings after which kMaxBackOff is passed anyway.
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
  const Micros passed = aNow - rampStart_;
  if (!ramping_ || passed >= kRampTime) {
    return slots_;
  }
  return std::max(1U, static_cast<uint32_t>(slots_ * passed.count() / kRampTime.count()));
}

/// Returns false when the boot id is an earlier one. A new one ends a leaving mark and starts the ramp, except the
/// first one seen, which says nothing of a restart: owners change without one.
bool
TargetAvailability::OnBoot(const BootId& aBoot, bool aFirstHand, TimePoint aNow)
{
  const BootChange change = boots_.Record(aBoot, aFirstHand);
  if (change == BootChange::Restarted) {
    leaving_ = false;
    ramping_ = true;
    rampStart_ = aNow;
  }
  return change != BootChange::Outdated;
}

void
TargetAvailability::OnConnectFailed(TimePoint aNow)
{
  const Micros backOff = kFirstBackOff * (1U << std::min(failures_, kMaxDoublings));
  retryAt_ = aNow + std::min(backOff, kMaxBackOff);
  failures_++;
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
    failures_ = 0;
    ramping_ = true;
    rampStart_ = aNow;
  }
  OnBoot(aReply.boot_, true, aNow);
  leaving_ = leaving_ || aReply.state_ == TargetState::Draining || aReply.reason_ == Reason::Draining;
  if (aReply.state_ == TargetState::Warming) {
    ramping_ = true;
    rampStart_ = aNow;
  }
}

void
TargetAvailability::OnHealth(const TargetReply& aReply, TimePoint aNow)
{
  if (aReply.verdict_ == Verdict::Ran && OnBoot(aReply.boot_, false, aNow)) {
    leaving_ = leaving_ || aReply.state_ == TargetState::Draining;
  }
}

} // namespace ibisrock
