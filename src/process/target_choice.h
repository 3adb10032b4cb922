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

/// Inputs to the choice of a target besides the targets of the pool.
struct TargetChoiceContext
{
  TimePoint now_;
  const DataCentre& ownDataCentre_;
  const TargetLink& link_;
  /// Targets to which the request was already sent.
  std::span<const TargetName> excluded_;
  /// Time after which a reply is useless.
  TimePoint deadline_ = TimePoint::max();
};

struct TargetChoice
{
  /// Null if no target can take the request now.
  TargetPtr target_;
  /// Whether a target was passed over only because it has no capacity at the moment.
  bool hasSaturatedTarget_ = false;
};

/// Chooses the target with the lowest expected wait. The score is the number of this instance's calls in flight times
/// the latency ratio, plus penalties for another data centre and for a connection that has to be set up, scaled by the
/// failure rate. Load pattern: many instances share a few slots per target, targets pause and differ in speed, and an
/// instance observes the queue of a target only through the latency of its own calls.
TargetChoice
ChooseTarget(std::span<const TargetPtr> aTargets, const TargetChoiceContext& aContext, Random& aRandom);

} // namespace ibisrock

#endif
