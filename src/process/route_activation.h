#ifndef IBISROCK_PROCESS_ROUTE_ACTIVATION_H
#define IBISROCK_PROCESS_ROUTE_ACTIVATION_H

#include "process/router.h"

#include <functional>
#include <memory>

namespace ibisrock {

/// Decides when a new configuration comes into force. Configuration and targets arrive separately. A configuration that
/// names new pools waits a short time for their targets, because until these are known its requests could only fail,
/// while the pools of the active configuration still serve. Not thread-safe.
class RouteActivation
{
public:
  /// aMaxDelay bounds the wait. aOnActivated is called after a configuration has come into force.
  RouteActivation(TimerService& aTimers, Router& aRouter, Micros aMaxDelay, std::function<void()> aOnActivated);
  ~RouteActivation();

  /// Takes a new configuration. Returns whether it waits for targets.
  bool Offer(std::shared_ptr<const RouteTable> aTable);
  /// Must be called after targets were added.
  void OnTargetsChanged();

private:
  bool HasTargetsForNewPools() const;
  void Activate();

  TimerService& timers_;
  Router& router_;
  const Micros maxDelay_;
  const std::function<void()> onActivated_;
  std::shared_ptr<const RouteTable> waiting_;
  TimerId deadline_;
};

} // namespace ibisrock

#endif
