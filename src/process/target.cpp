#include "process/target.h"

#include <algorithm>
#include <cmath>

namespace ibisrock {

namespace {

/// Weight of one observation in the moving averages. At a few calls per second to a target, they follow a change within
/// about a second.
constexpr double kSmoothingFactor = 0.25;
/// Half-life of the averages without new observations, so that a target that was slow is tried again.
constexpr Micros kDecayHalfLife = Seconds(2);
/// Multiplicative decrease of the in-flight limit after a failure, and its additive increase per reply, divided by the
/// limit. Load pattern: many instances reach a target whose queue is full, and each reset connection would be followed
/// by one more.
constexpr double kDecreaseFactor = 0.5;
constexpr double kIncreasePerReply = 0.5;
/// Exponential back-off between attempts to connect to an unreachable target.
constexpr Micros kMinBackOff = Millis(100);
constexpr Micros kMaxBackOff = Seconds(1);
/// Exponential back-off of an instance whose connection a target refused because of its connection limit. One
/// connection is set up in milliseconds; those of a whole fleet after a restart take a few hundred milliseconds.
constexpr Micros kMinSaturationBackOff = Millis(50);
constexpr Micros kMaxSaturationBackOff = Millis(400);
/// Factor by which calls to a target take longer during its warm-up.
constexpr double kWarmUpLatencyFactor = 1.5;

/// Remaining fraction of an observation's weight after aElapsed.
double
DecayFactor(Micros aElapsed)
{
  return std::exp2(-static_cast<double>(aElapsed.count()) / static_cast<double>(kDecayHalfLife.count()));
}

double
Ratio(Micros aTook, Micros aExpected)
{
  return static_cast<double>(aTook.count()) / static_cast<double>(std::max<Micros::rep>(aExpected.count(), 1));
}

} // namespace

Target::Target(TargetRecord aRecord, TimePoint aNow)
  : record_(std::move(aRecord))
  , warmUpEnd_(aNow + record_.warmUpLeft_)
  , latencyRatioAt_(aNow)
  , failureRateAt_(aNow)
{
}

void
Target::Update(const TargetRecord& aRecord, TimePoint aNow)
{
  if (aRecord.startedAt_ != record_.startedAt_ || aRecord.address_ != record_.address_) {
    latencyRatio_ = 1;
    failureRate_ = 0;
    backOffUntil_ = {};
    backOff_ = {};
    saturatedUntil_ = {};
    saturationBackOff_ = {};
    pauseEnd_ = {};
    usableUntil_.reset();
  }
  record_ = aRecord;
  warmUpEnd_ = aNow + aRecord.warmUpLeft_;
}

void
Target::SetMaxInFlight(unsigned aMaxInFlight)
{
  if (aMaxInFlight == maxInFlight_) {
    return;
  }
  maxInFlight_ = aMaxInFlight;
  inFlightLimit_ = aMaxInFlight;
}

void
Target::OnSent(CallId aCall, TimePoint aNow, Micros aExpected)
{
  inFlight_.push_back({ aCall, aNow, aExpected, false });
  if (backOff_ > Micros::zero()) {
    backOffUntil_ = aNow + backOff_;
  }
}

void
Target::OnReply(CallId aCall, TimePoint aNow, Micros aTook, Micros aExpected)
{
  Remove(aCall);
  backOff_ = {};
  backOffUntil_ = {};
  saturationBackOff_ = {};
  saturatedUntil_ = {};
  inFlightLimit_ = std::min(static_cast<double>(maxInFlight_), inFlightLimit_ + kIncreasePerReply / inFlightLimit_);
  ObserveLatencyRatio(aNow, Ratio(aTook, aExpected));
  ObserveFailure(aNow, false);
}

void
Target::OnFailure(CallId aCall, TimePoint aNow)
{
  Remove(aCall);
  inFlightLimit_ = std::max(1.0, kDecreaseFactor * inFlightLimit_);
  ObserveFailure(aNow, true);
}

void
Target::OnUnreachable(CallId aCall, TimePoint aNow)
{
  Remove(aCall);
  backOff_ = std::clamp(2 * backOff_, Micros(kMinBackOff), Micros(kMaxBackOff));
  backOffUntil_ = aNow + backOff_;
}

Micros
Target::OnOverLimit(CallId aCall, TimePoint aNow, double aJitter)
{
  Remove(aCall);
  // Calls refused during the same back-off count as one refusal.
  if (aNow >= saturatedUntil_) {
    inFlightLimit_ = std::max(1.0, kDecreaseFactor * inFlightLimit_);
    saturationBackOff_ =
      std::clamp(2 * saturationBackOff_, Micros(kMinSaturationBackOff), Micros(kMaxSaturationBackOff));
    saturatedUntil_ = aNow + Scale(saturationBackOff_, 0.5 + aJitter);
  }
  return saturatedUntil_ - aNow;
}

void
Target::PauseUntil(TimePoint aEnd)
{
  pauseEnd_ = std::max(pauseEnd_, aEnd);
  inFlightLimit_ = 1;
}

void
Target::OnAbandoned(CallId aCall, TimePoint aNow, Micros aTook, Micros aExpected)
{
  for (InFlightCall& call : inFlight_) {
    call.abandoned_ = call.abandoned_ || call.id_ == aCall;
  }
  // The elapsed time is only a lower bound of the latency, so it counts only if it exceeds the current ratio.
  if (Ratio(aTook, aExpected) > LatencyRatio(aNow)) {
    ObserveLatencyRatio(aNow, Ratio(aTook, aExpected));
  }
}

double
Target::LatencyRatio(TimePoint aNow) const
{
  double ratio = ReplyLatencyRatio(aNow);
  for (const InFlightCall& call : inFlight_) {
    if (!call.abandoned_) {
      ratio = std::max(ratio, Ratio(aNow - call.sentAt_, call.expected_) * WarmUpFactor(aNow));
    }
  }
  return ratio;
}

double
Target::ReplyLatencyRatio(TimePoint aNow) const
{
  return (1 + (latencyRatio_ - 1) * DecayFactor(aNow - latencyRatioAt_)) * WarmUpFactor(aNow);
}

Micros
Target::OldestCallAge(TimePoint aNow) const
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
Target::FailureRate(TimePoint aNow) const
{
  return failureRate_ * DecayFactor(aNow - failureRateAt_);
}

void
Target::Remove(CallId aCall)
{
  std::erase_if(inFlight_, [aCall](const InFlightCall& aInFlight) { return aInFlight.id_ == aCall; });
}

void
Target::ObserveLatencyRatio(TimePoint aNow, double aRatio)
{
  const double before = 1 + (latencyRatio_ - 1) * DecayFactor(aNow - latencyRatioAt_);
  latencyRatio_ = before + kSmoothingFactor * (aRatio - before);
  latencyRatioAt_ = aNow;
}

void
Target::ObserveFailure(TimePoint aNow, bool aFailed)
{
  failureRate_ = FailureRate(aNow) * (1 - kSmoothingFactor) + (aFailed ? kSmoothingFactor : 0);
  failureRateAt_ = aNow;
}

double
Target::WarmUpFactor(TimePoint aNow) const
{
  return aNow < warmUpEnd_ ? kWarmUpLatencyFactor : 1;
}

} // namespace ibisrock
