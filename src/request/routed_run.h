#ifndef IBISROCK_REQUEST_ROUTED_RUN_H
#define IBISROCK_REQUEST_ROUTED_RUN_H

#include "request/answer_timing.h"
#include "request/pool_call.h"

#include <functional>
#include <memory>

namespace ibisrock {

/// Result of a run: the reply, and details for logs and metrics.
struct RunResult
{
  CallerReply reply_;
  Verdict verdict_ = Verdict::NotRun;
  Reason reason_ = Reason::None;
  /// Attempts sent to targets, and how many of them were beyond the first of each pool (retries and hedges).
  size_t attempts_ = 0;
  size_t extraAttempts_ = 0;
  size_t shards_ = 1;
  /// Pools without a reply.
  std::vector<PoolName> missingPools_{};
};

/// Processing of one caller's request on its route. Ends once, with a reply or because the caller has disconnected.
class RoutedRun : public PoolCallObserver
{
public:
  using EndCallback = std::function<void(RunResult)>;

  struct Plan
  {
    RoutingContext& context_;
    /// Owns the route, so that it outlives a change of configuration.
    std::shared_ptr<const RouteTable> table_;
    const Route& route_;
    RouteState& state_;
    std::shared_ptr<const CallerRequest> request_;
    AnswerTiming timing_;
    CrashPrecaution precaution_ = CrashPrecaution::None;
  };

  /// Creates a run of the route's type: relayed to one pool, or gathered from many.
  static std::unique_ptr<RoutedRun> Create(const Plan& aPlan, EndCallback aOnEnd);
  ~RoutedRun() override;

  RoutedRun(const RoutedRun&) = delete;
  RoutedRun& operator=(const RoutedRun&) = delete;

  /// May end the run at once.
  virtual void Start() = 0;
  /// The caller has disconnected: cancels all attempts at the targets. The run ends without a reply.
  void OnCallerLeft();
  /// Answers immediately with the replies received so far, as at the deadline. Used when the process shuts down.
  void EndNow() { OnDeadline(); }

  const Route& MatchedRoute() const { return scope_.route_; }
  ConfigVersion RouteTableVersion() const { return table_->Version(); }

protected:
  RoutedRun(const Plan& aPlan, EndCallback aOnEnd);

  /// Retry-After time for a request that failed because no target could be reached.
  static constexpr Micros kRetryAfterNoTarget = Millis(300);

  virtual void OnHedgeDelay() = 0;
  /// Calls OnHedgeDelay once more.
  void PostponeHedges(Micros aDelay);
  virtual void OnCutoff() = 0;
  virtual void OnDeadline() = 0;
  virtual std::vector<std::unique_ptr<PoolCall>>& Calls() = 0;

  /// Number of calls that must have a reply for the run to succeed.
  virtual size_t NeededCalls() const = 0;

  /// Refuses the request if too few calls are expected to have a reply by the deadline. Called before any attempt is
  /// sent. Returns true if the run has ended.
  bool RefuseIfDeadlineUnreachable();
  /// Retry-After time for a run that is not expected to have enough replies by its deadline; no value if it is.
  std::optional<Micros> RetryAfterIfDeadlineUnreachable();
  /// Ends a queued run that is past its cutoff if its request has crashed too many targets meanwhile, or if it is not
  /// expected to get enough replies by its deadline, and checks again later otherwise. A late call is queued behind all
  /// calls that can still meet their objective.
  void EndLateRunIfDeadlineUnreachable();
  /// Retry-After time of a run whose calls were given up: until the request is no longer refused for its crashes, or
  /// until the first of their targets that pause is back.
  Micros RetryAfterGivenUp();
  /// Time for which the request is refused because it has crashed too many targets since the run began; zero if it is
  /// not.
  Micros RefusedForCrashes() const { return scope_.context_.crashes_->History().RefusedFor(*scope_.request_); }
  /// Combined verdict of all calls on whether the request was executed.
  Verdict CombinedVerdict();
  void StartTimers();
  void Finish(CallerReply aReply, Verdict aVerdict, Reason aReason);
  bool HasPassed(TimePoint aTime) const { return scope_.context_.timers_.Now() >= aTime; }

  const std::shared_ptr<const RouteTable> table_;
  const RunScope scope_;
  const AnswerTiming timing_;
  const CrashPrecaution precaution_;

private:
  void ScheduleAt(TimePoint aTime, void (RoutedRun::*aHandler)());
  void CancelTimers();
  void WatchForCrashes();
  void ReportAnswers();

  const EndCallback onEnd_;
  std::vector<TimerId> timers_;
  bool ended_ = false;
};

} // namespace ibisrock

#endif
