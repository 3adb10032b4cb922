#include "process/state_aware_selector.h"

#include <utility>

namespace ibisrock {

StateAwareSelector::StateAwareSelector(std::unique_ptr<ReplicaSelector> aChooser,
                                       const TargetStates& aTargets,
                                       Random& aRandom)
  : chooser_(std::move(aChooser))
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
  std::vector<TargetName> staying;
  std::vector<TargetName> preferred;
  for (const TargetName& target : aCandidates) {
    if (targets_.IsDraining(target)) {
      continue;
    }
    staying.push_back(target);
    const double share = targets_.SlowStartWeight(target);
    if (share >= 1.0 || random_.Unit() < share) {
      preferred.push_back(target);
    }
  }
  // A ramping target is still better than none.
  return chooser_->Choose(preferred.empty() ? staying : preferred, aKind, aMayProbe, aNow);
}

void
StateAwareSelector::OnEnd(const TargetName& aTarget, const AttemptOutcome& aOutcome, TimePoint aNow)
{
  chooser_->OnEnd(aTarget, aOutcome, aNow);
}

} // namespace ibisrock
