#ifndef IBISROCK_PROCESS_ROUTER_H
#define IBISROCK_PROCESS_ROUTER_H

#include "process/connection_warmer.h"
#include "process/request_rate.h"
#include "process/router_log.h"
#include "process/routing_context.h"
#include "request/routed_run.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

namespace ibisrock {

/// Settings that can change at run time.
struct RouterLimits
{
  /// One-way delay between callers and this instance.
  Micros callerDelay_ = Millis(3);
  /// Bound, across all instances, on the extra arrivals at a pool (those after the first of each request): a share of
  /// the requests...
  double extraShare_ = 0.2;
  /// ...plus a fixed number in each budget window.
  double extraSlack_ = 0;
};

struct RouterSettings
{
  InstanceId instance_;
  DataCentre dataCentre_;
  RouterLimits limits_;
  /// Time for which a target that leaves is still used while its pool has no other.
  Micros leavingUse_ = Millis(1500);
};

/// Matches caller requests to routes and executes them. Owns the active route table, the per-route and per-pool state,
/// the target directory and the active runs. Not thread-safe.
class Router
{
public:
  using OnReply = std::function<void(CallerReply)>;

  Router(RouterSettings aSettings, TimerService& aTimers, Random& aRandom, TargetLink& aLink, RouterLog* aLog);
  ~Router();

  /// Activates a configuration version unless the active one is the same or newer.
  void SetRoutes(std::shared_ptr<const RouteTable> aTable);
  std::shared_ptr<const RouteTable> Routes() const { return table_; }

  /// Update the known targets. Pending calls are retried after ReplaceTargets and UpsertTarget.
  void ReplaceTargets(const std::vector<TargetRecord>& aRecords, bool aAfterOutage);
  void RestartTargetRetention() { targets_.RestartRetention(); }
  void UpsertTarget(const TargetRecord& aRecord);
  void RemoveTarget(const TargetName& aName) { targets_.Remove(aName); }
  /// Returns the target, or null.
  TargetPtr FindTarget(const TargetName& aName) const { return targets_.Find(aName); }
  /// The records of all known targets.
  std::vector<TargetRecord> KnownTargets() const;
  size_t TargetCount() const { return targets_.Size(); }
  /// Whether the pool has a target that accepts calls.
  bool HasTargets(const PoolName& aPool) const { return targets_.HasServingTargets(aPool); }
  size_t InstanceCount() const { return instances_; }

  /// Whether configuration and target updates are being received. While they are not, a request without a matching
  /// route is refused with 503 instead of 404, because a newer configuration may have a route for it.
  void SetDiscoveryCurrent(bool aCurrent) { discoveryCurrent_ = aCurrent; }
  /// Sets the number of instances that share the connection limits and the extra-attempt budgets.
  void SetInstanceCount(size_t aCount);
  /// Sets the rate of requests to all instances together, as relays report it.
  void SetFleetRate(PerSecond aRate);
  /// Requests that have crashed targets.
  CrashHistory& Crashes() { return context_.crashes_->History(); }
  /// This instance's share of the extra attempts.
  const ExtraAttemptShare& ExtraShare() const { return context_.extraShare_; }
  /// Usual rate of requests to this instance.
  PerSecond RequestRate() const { return usualRate_.At(timers_.Now()); }
  void SetLimits(const RouterLimits& aLimits);

  bool IsReady() const { return table_ != nullptr && hasTargets_; }

  /// Starts a request. aOnReply is called once, possibly before Submit returns, unless the caller disconnects first.
  RunId Submit(std::shared_ptr<const CallerRequest> aRequest, OnReply aOnReply);
  void OnCallerLeft(RunId aRun);
  size_t RunCount() const { return runs_.size(); }
  /// Refuses the requests that come from now on. Used when the process stops.
  void RefuseNewRequests() { isRefusing_ = true; }
  bool IsRefusingNewRequests() const { return isRefusing_; }
  /// Ends all runs immediately with the replies received so far. Used when the process stops.
  void ExpireAll();

private:
  /// Retry-After of refusals. An instance that has just started receives its configuration and targets within this
  /// time.
  static constexpr Micros kRetryAfterRefusal = Millis(250);

  struct ActiveRun
  {
    std::unique_ptr<RoutedRun> run_;
    std::shared_ptr<const CallerRequest> request_;
    OnReply onReply_;
  };

  void Refuse(const CallerRequest& aRequest,
              unsigned aStatus,
              Reason aReason,
              const OnReply& aOnReply,
              Micros aRetryAfter = kRetryAfterRefusal);
  void OnRunEnd(RunId aRun, RunResult aEnd);
  void DestroyLater(std::unique_ptr<RoutedRun> aRun);
  void ApplyConnectionLimit(const TargetPtr& aTarget) const;
  void ApplyConnectionLimits();
  void OnNotice(const TargetCall& aCall, const TargetNotice& aNotice);
  void ApplyBudgets();
  void OnFirstBudgetWindowPassed();

  RouterSettings settings_;
  TimerService& timers_;
  RouterLog* const log_;
  std::unordered_map<PoolName, PoolState> pools_;
  std::unordered_map<RouteName, RouteState> routeStates_;
  TargetLink& link_;
  TargetDirectory targets_;
  const TimePoint startedAt_;
  bool hasJustStarted_ = true;
  TimerId firstBudgetWindow_;
  ::ibisrock::RequestRate latestRate_;
  ::ibisrock::RequestRate usualRate_;
  PerSecond fleetRate_;
  RoutingContext context_;
  ConnectionWarmer warmer_;
  std::shared_ptr<const RouteTable> table_;
  bool hasTargets_ = false;
  bool discoveryCurrent_ = false;
  bool isRefusing_ = false;
  size_t instances_ = 1;
  std::unordered_map<RunId, ActiveRun> runs_;
  RunId lastRun_;
  /// Ended runs. A timer destroys them, because they may still be on the call stack.
  std::vector<std::unique_ptr<RoutedRun>> endedRuns_;
};

} // namespace ibisrock

#endif
