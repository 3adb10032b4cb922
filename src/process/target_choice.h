#ifndef IBISROCK_PROCESS_TARGET_CHOICE_H
#define IBISROCK_PROCESS_TARGET_CHOICE_H

#include "base/random.h"
#include "base/target_link.h"
#include "process/target.h"

#include <memory>
#include <span>
#include <vector>

namespace ibisrock {

using TargetPtr = std::shared_ptr<Target>;

/// What a choice among the targets of a pool depends on besides the targets.
struct TargetChoiceContext
{
  TimePoint now_;
  const DataCentre& ownDataCentre_;
  const TargetLink& link_;
  /// Targets that the request was already sent to.
  std::span<const TargetName> excluded_;
};

struct TargetChoice
{
  /// Null when no target can take the request now.
  TargetPtr target_;
  /// Some target could take it once it has room.
  bool hasSaturatedTarget_ = false;
};

/// The target with the least expected wait: its own calls in flight, times its slowness, raised by failures and by the
/// distance and by a connection that has to be set up. Load pattern: many instances share a few slots per target,
/// targets pause and differ in speed, and no instance sees the queue of a target other than through the time that its
/// own calls take.
TargetChoice
ChooseTarget(std::span<const TargetPtr> aTargets, const TargetChoiceContext& aContext, Random& aRandom);

} // namespace ibisrock

#endif
