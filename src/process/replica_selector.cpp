#include "process/replica_selector.h"

#include <algorithm>
#include <cmath>

namespace ibisrock {

namespace {

/// Weight of the newest latency in the exponential moving average.
constexpr double kSmoothingFactor = 0.1;
/// Cap on one latency sample, as a multiple of the average, so that one straggler does not divert all attempts from its
/// replica.
constexpr double kMaxLatencyRatio = 2;
/// Time constant of the exponential decay of the average, so that a replica that gets no attempts is tried again.
constexpr double kDecaySeconds = 1.0;
constexpr Micros kMinBackOff = Millis(200);
constexpr Micros kMaxBackOff = Seconds(10);
/// Number of consecutive soft failures, such as time-outs, after which a replica is ejected.
constexpr uint32_t kSoftFailureThreshold = 3;

/// Whether a single failure is enough to eject the replica, because it cannot be reached or is draining.
bool
IsHardFailure(Reason aReason)
{
  return aReason == Reason::ConnectFailed || aReason == Reason::ConnectionLost || aReason == Reason::OwnerUnreachable ||
         aReason == Reason::Draining;
}

bool
IsSoftFailure(Reason aReason)
{
  return aReason == Reason::TimedOut || aReason == Reason::TargetError;
}

} // namespace

/// Expected wait on the replica; lower is better. Requires the lock.
double
PowerOfTwoSelector::Score(const Replica& aReplica, TimePoint aNow)
{
  const double age = std::chrono::duration<double>(aNow - aReplica.observedAt_).count();
  return (aReplica.latency_ * std::exp(-age / kDecaySeconds) + 1) * (aReplica.outstanding_ + 1);
}

/// The replica with the lower score of two random ones. aReplicas must not be empty. Requires the lock.
const TargetName&
PowerOfTwoSelector::PickLessLoaded(const std::vector<TargetName>& aReplicas, TimePoint aNow)
{
  const auto count = static_cast<uint32_t>(aReplicas.size());
  const uint32_t first = random_.Below(count);
  if (count == 1) {
    return aReplicas[first];
  }
  const uint32_t second = (first + 1 + random_.Below(count - 1)) % count;
  return Score(replicas_[aReplicas[second]], aNow) < Score(replicas_[aReplicas[first]], aNow) ? aReplicas[second]
                                                                                              : aReplicas[first];
}

std::optional<TargetName>
PowerOfTwoSelector::Choose(const std::vector<TargetName>& aCandidates,
                           AttemptKind aKind,
                           bool aMayProbe,
                           TimePoint aNow)
{
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  std::lock_guard lock(mutex_);
  std::vector<TargetName> usable;
  for (const TargetName& candidate : aCandidates) {
    Replica& replica = replicas_[candidate];
    if (!replica.ejected_) {
      usable.push_back(candidate);
    } else if (aKind == AttemptKind::First && aMayProbe && !replica.probing_ && replica.probeAt_ <= aNow) {
      replica.probing_ = true;
      replica.outstanding_++;
      return candidate;
    }
  }
  if (usable.empty() && aKind == AttemptKind::Hedge) {
    return std::nullopt;
  }
  const TargetName chosen = PickLessLoaded(usable.empty() ? aCandidates : usable, aNow);
  replicas_[chosen].outstanding_++;
  return chosen;
}

/// Requires the lock.
void
PowerOfTwoSelector::RecordLatency(Replica& aReplica, const AttemptOutcome& aOutcome, TimePoint aNow)
{
  const auto elapsed = static_cast<double>(aOutcome.elapsed_.count());
  const double latency = aReplica.latency_ == 0 ? elapsed : std::min(elapsed, kMaxLatencyRatio * aReplica.latency_);
  // The time until a cancellation is only a lower bound of the latency, so it is ignored below the average.
  if (aOutcome.verdict_ != Verdict::Ran && latency <= aReplica.latency_) {
    return;
  }
  aReplica.latency_ =
    aReplica.latency_ == 0 ? latency : (1 - kSmoothingFactor) * aReplica.latency_ + kSmoothingFactor * latency;
  aReplica.observedAt_ = aNow;
}

/// Requires the lock.
void
PowerOfTwoSelector::RecordFailure(Replica& aReplica, bool aIsHard, TimePoint aNow)
{
  // Attempts in flight when the replica was ejected do not increase its back-off again.
  if (aReplica.ejected_ && !aReplica.probing_) {
    return;
  }
  aReplica.failures_++;
  if (!aIsHard && !aReplica.ejected_ && aReplica.failures_ < kSoftFailureThreshold) {
    return;
  }
  const uint32_t doublings = std::min<uint32_t>(aReplica.failures_ - 1, 16);
  aReplica.ejected_ = true;
  aReplica.probing_ = false;
  aReplica.probeAt_ = aNow + std::min<Micros>(kMinBackOff * (1U << doublings), kMaxBackOff);
}

void
PowerOfTwoSelector::OnEnd(const TargetName& aTarget, const AttemptOutcome& aOutcome, TimePoint aNow)
{
  std::lock_guard lock(mutex_);
  Replica& replica = replicas_[aTarget];
  replica.outstanding_ -= std::min(replica.outstanding_, 1U);
  if (aOutcome.verdict_ == Verdict::Ran) {
    replica.failures_ = 0;
    replica.ejected_ = false;
    replica.probing_ = false;
    RecordLatency(replica, aOutcome, aNow);
  } else if (IsHardFailure(aOutcome.reason_) || IsSoftFailure(aOutcome.reason_)) {
    RecordFailure(replica, IsHardFailure(aOutcome.reason_), aNow);
  } else {
    // A refusal or a cancelled probe is inconclusive; the next attempt may probe again.
    replica.probing_ = false;
    if (aOutcome.reason_ == Reason::Cancelled) {
      RecordLatency(replica, aOutcome, aNow);
    }
  }
}

std::optional<TargetName>
RandomSelector::Choose(const std::vector<TargetName>& aCandidates,
                       AttemptKind /*aKind*/,
                       bool /*aMayProbe*/,
                       TimePoint /*aNow*/)
{
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  return aCandidates[random_.Below(static_cast<uint32_t>(aCandidates.size()))];
}

} // namespace ibisrock
