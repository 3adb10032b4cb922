#include "process/target.h"

#include <algorithm>
#include <cmath>

namespace ibisrock {

namespace {

/// Weight of one observation. With a few calls a second to a target, a change shows after about a second.
constexpr double kObservationWeight = 0.25;
/// Time in which an observation without a successor loses half of its weight, so that a target that was slow is tried
/// again.
constexpr Micros kForgetting = Seconds(2);
/// What is left of the allowed calls after a loss, and what one reply adds for each allowed call. Load pattern: many
/// instances meet at a target whose queue is full, and each reset would bring one more connection.
constexpr double kCut = 0.5;
constexpr double kRaise = 0.5;
/// Pauses between tries to reach a target that could not be reached, doubled from the first to the last.
constexpr Micros kFirstPause = Millis(100);
constexpr Micros kLastPause = Seconds(1);
/// Pauses of an instance that a target had no connection for, doubled from the first to the last. A connection to a
/// target is set up in milliseconds; those of a whole fleet after a restart take a few hundred.
constexpr Micros kFirstFullPause = Millis(50);
constexpr Micros kLastFullPause = Millis(400);
/// Work of a target that has just started takes about this many times as long.
constexpr double kWarmUpFactor = 1.5;

/// Share of an observation's weight that is left after aElapsed.
double
Remaining(Micros aElapsed)
{
  return std::exp2(-static_cast<double>(aElapsed.count()) / static_cast<double>(kForgetting.count()));
}

double
Ratio(Micros aTook, Micros aExpected)
{
  return static_cast<double>(aTook.count()) / static_cast<double>(std::max<Micros::rep>(aExpected.count(), 1));
}

} // namespace

Target::Target(TargetRecord aRecord, TimePoint aNow)
  : record_(std::move(aRecord))
  , warmAt_(aNow + record_.warmUpLeft_)
  , slownessAt_(aNow)
  , failuresAt_(aNow)
{
}

void
Target::Update(const TargetRecord& aRecord, TimePoint aNow)
{
  if (aRecord.startedAt_ != record_.startedAt_ || aRecord.address_ != record_.address_) {
    slowness_ = 1;
    failures_ = 0;
    avoidedUntil_ = {};
    pause_ = {};
    fullUntil_ = {};
    fullPause_ = {};
  }
  record_ = aRecord;
  warmAt_ = aNow + aRecord.warmUpLeft_;
}

void
Target::SetLimit(unsigned aLimit)
{
  if (aLimit == limit_) {
    return;
  }
  limit_ = aLimit;
  allowed_ = aLimit;
}

void
Target::OnSent(CallId aCall, TimePoint aNow, Micros aExpected)
{
  inFlight_.push_back({ aCall, aNow, aExpected, false });
  if (pause_ > Micros::zero()) {
    avoidedUntil_ = aNow + pause_;
  }
}

void
Target::OnReply(CallId aCall, TimePoint aNow, Micros aTook, Micros aExpected)
{
  Remove(aCall);
  pause_ = {};
  avoidedUntil_ = {};
  fullPause_ = {};
  fullUntil_ = {};
  allowed_ = std::min(static_cast<double>(limit_), allowed_ + kRaise / allowed_);
  ObserveSlowness(aNow, Ratio(aTook, aExpected));
  ObserveFailure(aNow, false);
}

void
Target::OnFailure(CallId aCall, TimePoint aNow)
{
  Remove(aCall);
  allowed_ = std::max(1.0, kCut * allowed_);
  ObserveFailure(aNow, true);
}

void
Target::OnUnreachable(CallId aCall, TimePoint aNow)
{
  Remove(aCall);
  pause_ = std::clamp(2 * pause_, Micros(kFirstPause), Micros(kLastPause));
  avoidedUntil_ = aNow + pause_;
}

Micros
Target::OnOverLimit(CallId aCall, TimePoint aNow, double aSpread)
{
  Remove(aCall);
  // Calls that were turned away together count once.
  if (aNow >= fullUntil_) {
    allowed_ = std::max(1.0, kCut * allowed_);
    fullPause_ = std::clamp(2 * fullPause_, Micros(kFirstFullPause), Micros(kLastFullPause));
    fullUntil_ = aNow + Scale(fullPause_, 0.5 + aSpread);
  }
  return fullUntil_ - aNow;
}

void
Target::OnAbandoned(CallId aCall, TimePoint aNow, Micros aTook, Micros aExpected)
{
  for (InFlightCall& call : inFlight_) {
    call.abandoned_ = call.abandoned_ || call.id_ == aCall;
  }
  // The call would have taken longer, so a short time so far says nothing.
  if (Ratio(aTook, aExpected) > Slowness(aNow)) {
    ObserveSlowness(aNow, Ratio(aTook, aExpected));
  }
}

double
Target::Slowness(TimePoint aNow) const
{
  double slowness = SlownessOfReplies(aNow);
  for (const InFlightCall& call : inFlight_) {
    if (!call.abandoned_) {
      slowness = std::max(slowness, Ratio(aNow - call.sentAt_, call.expected_) * WarmUpFactor(aNow));
    }
  }
  return slowness;
}

double
Target::SlownessOfReplies(TimePoint aNow) const
{
  return (1 + (slowness_ - 1) * Remaining(aNow - slownessAt_)) * WarmUpFactor(aNow);
}

Micros
Target::LongestWait(TimePoint aNow) const
{
  Micros longest{};
  for (const InFlightCall& call : inFlight_) {
    if (!call.abandoned_) {
      longest = std::max(longest, aNow - call.sentAt_);
    }
  }
  return longest;
}

double
Target::FailureShare(TimePoint aNow) const
{
  return failures_ * Remaining(aNow - failuresAt_);
}

void
Target::Remove(CallId aCall)
{
  std::erase_if(inFlight_, [aCall](const InFlightCall& aInFlight) { return aInFlight.id_ == aCall; });
}

void
Target::ObserveSlowness(TimePoint aNow, double aRatio)
{
  const double before = 1 + (slowness_ - 1) * Remaining(aNow - slownessAt_);
  slowness_ = before + kObservationWeight * (aRatio - before);
  slownessAt_ = aNow;
}

void
Target::ObserveFailure(TimePoint aNow, bool aFailed)
{
  failures_ = FailureShare(aNow) * (1 - kObservationWeight) + (aFailed ? kObservationWeight : 0);
  failuresAt_ = aNow;
}

double
Target::WarmUpFactor(TimePoint aNow) const
{
  return aNow < warmAt_ ? kWarmUpFactor : 1;
}

} // namespace ibisrock
