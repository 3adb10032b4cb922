#ifndef IBISROCK_PROCESS_TARGET_POLLER_H
#define IBISROCK_PROCESS_TARGET_POLLER_H

#include "process/active_config.h"
#include "process/membership.h"
#include "process/ownership.h"
#include "process/target_states.h"

namespace ibisrock {

/// Polls the health endpoint of each target that this instance owns once per second and publishes the draining targets
/// again. Must outlive the timers and probes that it starts.
class TargetPoller
{
public:
  TargetPoller(InstanceIdentity aSelf,
               Environment aEnvironment,
               const Membership& aMembership,
               const ActiveConfig& aConfig,
               TargetStates& aStates);

  void Start();

private:
  void PollOwned();

  const InstanceIdentity self_;
  Environment environment_;
  const Membership& membership_;
  const ActiveConfig& config_;
  TargetStates& states_;
  OwnerCache owners_;
};

} // namespace ibisrock

#endif
