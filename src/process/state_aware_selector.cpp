#include "process/state_aware_selector.h"

#include <utility>

namespace ibisrock {

StateAwareSelector::StateAwareSelector(std::unique_ptr<ReplicaSelector> aDelegate,
                                       const TargetStates& aTargets,
                                       Random& aRandom)
  : delegate_(std::move(aDelegate))
  , targets_(aTargets)
  , random_(aRandom)
{
}

std::optional<TargetName>
StateAwareSelector::Choose(const std::vector<TargetName>& aCandidates,
                           AttemptKind aKind,
                           bool aMayProbe,
                           TimePoint aNow)
{
  std::vector<TargetName> available;
  std::vector<TargetName> preferred;
  for (const TargetName& target : aCandidates) {
    if (targets_.IsDraining(target)) {
      continue;
    }
    available.push_back(target);
    const double weight = targets_.SlowStartWeight(target);
    if (weight >= 1.0 || random_.Unit() < weight) {
      preferred.push_back(target);
    }
  }
  // If every available target was left out because of its slow start, all of them are candidates.
  return delegate_->Choose(preferred.empty() ? available : preferred, aKind, aMayProbe, aNow);
}

void
StateAwareSelector::OnEnd(const TargetName& aTarget, const AttemptOutcome& aOutcome, TimePoint aNow)
{
  delegate_->OnEnd(aTarget, aOutcome, aNow);
}

} // namespace ibisrock
