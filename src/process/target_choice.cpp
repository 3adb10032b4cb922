#include "process/target_choice.h"

#include <algorithm>

namespace ibisrock {

namespace {

/// Penalty for a target in another data centre, in calls in flight. It stands for the traffic between data centres and
/// the round trip.
constexpr double kDistancePenalty = 0.5;
/// Penalty for a target without an idle connection, in calls in flight. Setting up a connection costs a round trip and
/// occupies a slot of the target for part of a call. If there are more instances than a target accepts connections,
/// each instance has to keep to a subset of the targets.
constexpr double kNewConnectionPenalty = 0.75;
/// Weight of the failure rate: a target that fails all calls scores like one with 1 + kFailurePenalty times the load.
constexpr double kFailurePenalty = 8;
/// Relative random variation of the score, so that instances do not all choose the same of several equal targets.
constexpr double kJitter = 0.1;

double
Score(const Target& aTarget, const TargetChoiceContext& aContext, Random& aRandom)
{
  const double distance = aTarget.Record().dataCentre_ == aContext.ownDataCentre_ ? 0 : kDistancePenalty;
  const double connection = aContext.link_.HasIdleConnection(aTarget.Record().name_) ? 0 : kNewConnectionPenalty;
  const double load =
    (static_cast<double>(aTarget.InFlight()) + 1) * aTarget.LatencyRatio(aContext.now_) + distance + connection;
  const double failures = 1 + kFailurePenalty * aTarget.FailureRate(aContext.now_);
  return load * failures * (1 + kJitter * aRandom.Unit());
}

bool
IsExcluded(const Target& aTarget, const TargetChoiceContext& aContext)
{
  return std::find(aContext.excluded_.begin(), aContext.excluded_.end(), aTarget.Record().name_) !=
         aContext.excluded_.end();
}

} // namespace

TargetChoice
ChooseTarget(std::span<const TargetPtr> aTargets, const TargetChoiceContext& aContext, Random& aRandom)
{
  TargetChoice choice;
  double best = 0;
  for (const TargetPtr& target : aTargets) {
    const bool pausesTooLong = target->IsPaused(aContext.now_) && target->PauseEnd() >= aContext.deadline_;
    if (target->IsRemoved() || target->HasLeft(aContext.now_) || target->IsBackingOff(aContext.now_) || pausesTooLong ||
        IsExcluded(*target, aContext)) {
      continue;
    }
    if (!target->HasCapacity(aContext.now_)) {
      choice.hasSaturatedTarget_ = true;
      continue;
    }
    const double score = Score(*target, aContext, aRandom);
    if (!choice.target_ || score < best) {
      choice.target_ = target;
      best = score;
    }
  }
  return choice;
}

} // namespace ibisrock
