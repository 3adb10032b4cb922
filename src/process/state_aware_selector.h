#ifndef IBISROCK_PROCESS_STATE_AWARE_SELECTOR_H
#define IBISROCK_PROCESS_STATE_AWARE_SELECTOR_H

#include "base/random.h"
#include "process/replica_selector.h"
#include "process/target_states.h"

#include <memory>

namespace ibisrock {

/// Filters the candidates of another selector: removes draining targets and includes each target in slow start with a
/// probability equal to its weight. Thread-safe.
class StateAwareSelector final : public ReplicaSelector
{
public:
  StateAwareSelector(std::unique_ptr<ReplicaSelector> aDelegate, const TargetStates& aTargets, Random& aRandom);

  std::optional<TargetName> Choose(const std::vector<TargetName>& aCandidates,
                                   AttemptKind aKind,
                                   bool aMayProbe,
                                   TimePoint aNow) override;
  void OnEnd(const TargetName& aTarget, const AttemptOutcome& aOutcome, TimePoint aNow) override;

private:
  const std::unique_ptr<ReplicaSelector> delegate_;
  const TargetStates& targets_;
  Random& random_;
};

} // namespace ibisrock

#endif
