#ifndef IBISROCK_PROCESS_ROUTER_H
#define IBISROCK_PROCESS_ROUTER_H

#include "process/router_log.h"
#include "process/routing_context.h"
#include "request/routed_run.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace ibisrock {

/// What may change while a router runs.
struct RouterLimits
{
  /// One-way delay between callers and this instance.
  Micros callerDelay_ = Millis(3);
  /// Bound, over all instances, of the arrivals at a pool beyond the first of each request: a share of the requests...
  double extraShare_ = 0.2;
  /// ...and a number in each budget window.
  double extraSlack_ = 0;
};

struct RouterSettings
{
  InstanceId instance_;
  DataCentre dataCentre_;
  RouterLimits limits_;
};

/// Matches requests of callers to routes and runs them. Owns the routes in force, what was learned about them, the
/// targets and the runs. Used on one thread.
class Router
{
public:
  using OnReply = std::function<void(CallerReply)>;

  Router(RouterSettings aSettings, TimerService& aTimers, Random& aRandom, TargetLink& aLink, RouterLog* aLog);
  ~Router();

  /// Takes a version of the configuration, unless one that is as new is in force.
  void SetRoutes(std::shared_ptr<const RouteTable> aTable);
  std::shared_ptr<const RouteTable> Routes() const { return table_; }

  /// Changes of the known targets. Requests that wait for room are tried again.
  void ReplaceTargets(const std::vector<TargetRecord>& aRecords, bool aAfterOutage);
  void UpsertTarget(const TargetRecord& aRecord);
  void RemoveTarget(const TargetName& aName) { targets_.Remove(aName); }
  size_t TargetCount() const { return targets_.Size(); }
  size_t InstanceCount() const { return instances_; }

  /// Whether configuration and targets come in. While they do not, a request that no known route fits may fit a newer
  /// one.
  void SetDiscoveryCurrent(bool aCurrent) { discoveryCurrent_ = aCurrent; }
  /// Number of instances that share the targets and the budgets.
  void SetInstanceCount(size_t aCount);
  void SetLimits(const RouterLimits& aLimits);

  bool IsReady() const { return table_ != nullptr && hasTargets_; }

  /// Runs a request. aOnReply is called once, possibly from within Submit, unless the caller leaves first.
  RunId Submit(std::shared_ptr<const CallerRequest> aRequest, OnReply aOnReply);
  void OnCallerLeft(RunId aRun);
  size_t RunCount() const { return runs_.size(); }
  /// Answers all runs now with what they have, because the process stops.
  void ExpireAll();

private:
  struct ActiveRun
  {
    std::unique_ptr<RoutedRun> run_;
    std::shared_ptr<const CallerRequest> request_;
    OnReply onReply_;
  };

  void Refuse(const CallerRequest& aRequest, unsigned aStatus, Reason aReason, const OnReply& aOnReply);
  void OnRunEnd(RunId aRun, RunResult aEnd);
  void Retire(std::unique_ptr<RoutedRun> aRun);
  void ApplyLimit(const TargetPtr& aTarget) const;
  void ApplyLimits();
  void ApplyBudgets();

  RouterSettings settings_;
  TimerService& timers_;
  RouterLog* const log_;
  std::unordered_map<PoolName, PoolState> pools_;
  std::unordered_map<RouteName, RouteState> routeStates_;
  TargetLink& link_;
  TargetDirectory targets_;
  RoutingContext context_;
  std::shared_ptr<const RouteTable> table_;
  bool hasTargets_ = false;
  bool discoveryCurrent_ = false;
  size_t instances_ = 1;
  std::unordered_map<RunId, ActiveRun> runs_;
  RunId lastRun_;
  /// Runs that have ended. They are destroyed by a timer, because they may still be on the call stack.
  std::vector<std::unique_ptr<RoutedRun>> retired_;
};

} // namespace ibisrock

#endif
