#ifndef IBISROCK_REQUEST_ROUTED_RUN_H
#define IBISROCK_REQUEST_ROUTED_RUN_H

#include "request/answer_timing.h"
#include "request/pool_call.h"

#include <functional>
#include <memory>

namespace ibisrock {

/// What the end of a run tells besides the reply, for logs and metrics.
struct RunResult
{
  CallerReply reply_;
  Verdict verdict_ = Verdict::NotRun;
  Reason reason_ = Reason::None;
  /// Attempts at targets, and how many of them were beyond the first of each pool.
  size_t attempts_ = 0;
  size_t extraAttempts_ = 0;
  size_t shards_ = 1;
  /// Pools without a reply.
  std::vector<PoolName> missingPools_{};
};

/// One request of a caller on its way through a route. Ends once, with a reply or because the caller has left.
class RoutedRun : public PoolCallObserver
{
public:
  using EndCallback = std::function<void(RunResult)>;

  struct Plan
  {
    RoutingContext& context_;
    /// Keeps the route alive while later versions come.
    std::shared_ptr<const RouteTable> table_;
    const Route& route_;
    RouteState& state_;
    std::shared_ptr<const CallerRequest> request_;
    AnswerTiming timing_;
  };

  /// A run for the kind of the route: relayed to one pool, or gathered from many.
  static std::unique_ptr<RoutedRun> Create(const Plan& aPlan, EndCallback aOnEnd);
  ~RoutedRun() override;

  RoutedRun(const RoutedRun&) = delete;
  RoutedRun& operator=(const RoutedRun&) = delete;

  /// May end the run at once.
  virtual void Start() = 0;
  /// The caller has left: targets are told to stop. The run does not end with a reply any more.
  void OnCallerLeft();
  /// Answers now with what is there, because the process stops.
  void EndNow() { OnDeadline(); }

  const Route& MatchedRoute() const { return scope_.route_; }
  ConfigVersion RouteTableVersion() const { return table_->Version(); }

protected:
  RoutedRun(const Plan& aPlan, EndCallback aOnEnd);

  /// Pause after which a caller finds a target again, when none could be reached.
  static constexpr Micros kRetryAfterNoTarget = Millis(300);

  virtual void OnHedgeDelay() = 0;
  virtual void OnCutoff() = 0;
  virtual void OnDeadline() = 0;
  virtual std::vector<std::unique_ptr<PoolCall>>& Calls() = 0;

  /// Number of calls that must be answered for a success.
  virtual size_t NeededCalls() const = 0;

  /// Ends the run with a refusal if too few calls are expected to be answered in time. Asked before anything is sent.
  bool RefuseIfDeadlineUnreachable();
  /// When to return, for a run whose calls cannot be answered in time; no value if enough of them can.
  std::optional<Micros> RetryAfterIfDeadlineUnreachable();
  /// Ends a late run that waits for room now and not at its deadline if it will not find room. A late call goes behind
  /// all that can still be in time.
  void EndLateRunIfDeadlineUnreachable();
  /// What is known of whether any attempt ran.
  Verdict CombinedVerdict();
  void StartTimers();
  void Finish(CallerReply aReply, Verdict aVerdict, Reason aReason);
  bool HasPassed(TimePoint aTime) const { return scope_.context_.timers_.Now() >= aTime; }

  const std::shared_ptr<const RouteTable> table_;
  const RunScope scope_;
  const AnswerTiming timing_;

private:
  void ScheduleAt(TimePoint aTime, void (RoutedRun::*aHandler)());
  void CancelTimers();

  const EndCallback onEnd_;
  std::vector<TimerId> timers_;
  bool ended_ = false;
};

} // namespace ibisrock

#endif
