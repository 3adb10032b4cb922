#include "process/target_poller.h"

#include <utility>

namespace ibisrock {

namespace {

constexpr Micros kPollInterval = Seconds(1);

} // namespace

TargetPoller::TargetPoller(InstanceIdentity aSelf,
                           Environment aEnvironment,
                           const Membership& aMembership,
                           const ActiveConfig& aConfig,
                           TargetStates& aStates)
  : self_(std::move(aSelf))
  , environment_(aEnvironment)
  , membership_(aMembership)
  , config_(aConfig)
  , states_(aStates)
{
}

void
TargetPoller::Start()
{
  environment_.timers_.After(kPollInterval, [this] {
    PollOwned();
    states_.PublishDraining();
    Start();
  });
}

void
TargetPoller::PollOwned()
{
  auto configuration = config_.Current();
  auto view = membership_.View();
  if (!configuration) {
    return;
  }
  for (const auto& [serviceName, service] : configuration->services_) {
    for (const auto& [name, target] : service->targets_) {
      const Member* owner = owners_.Find(view, name, target.dataCentre_);
      if (owner != nullptr && owner->id_ == self_.id_) {
        environment_.targets_.Probe(name, target.address_, [this, probed = name](const TargetReply& aReply) {
          states_.OnHealth(probed, aReply);
        });
      }
    }
  }
}

} // namespace ibisrock
