#ifndef IBISROCK_REQUEST_POOL_CALL_H
#define IBISROCK_REQUEST_POOL_CALL_H

#include "process/routing_context.h"
#include "process/wait_estimate.h"
#include "request/pool_call_observer.h"
#include "version/route_table.h"

#include <memory>
#include <optional>
#include <vector>

namespace ibisrock {

/// State that a run shares with its pool calls.
struct RunScope
{
  RoutingContext& context_;
  const Route& route_;
  RouteState& state_;
  std::shared_ptr<const CallerRequest> request_;
  /// The earlier of the caller's deadline and the route's timeout.
  TimePoint deadline_;
  /// Time after which a reply misses the route's objective.
  TimePoint objectiveEnds_;
  /// Number of targets of a pool to which the request may be sent.
  unsigned maxTargets_;
};

/// Obtains one reply to a request from a pool: selects targets, retries, hedges, and queues while all targets are at
/// their limits. Start never calls the observer.
class PoolCall
{
public:
  enum class State : uint8_t
  {
    NotStarted,
    /// Queued until a target is below its concurrency limit.
    Waiting,
    InFlight,
    Replied,
    /// No further attempt is possible or allowed.
    GivenUp,
  };

  /// aIndex identifies this call to the observer.
  PoolCall(const RunScope& aScope, PoolName aPool, size_t aIndex, PoolCallObserver& aObserver);
  ~PoolCall();

  PoolCall(const PoolCall&) = delete;
  PoolCall& operator=(const PoolCall&) = delete;

  /// Sends the first attempt or queues the call. Returns GivenUp when the pool has no eligible target.
  State Start();
  /// Sends an additional attempt to another target if the route and the extra-attempt budget allow it.
  void Hedge();
  /// Leaves the queue and abandons all attempts in flight.
  void Stop(Abandon aHow);

  /// Estimated time to the reply, for a call that is queued or would have to queue. Zero for any other call: its reply
  /// may be faster than the mean latency, so a late reply cannot be predicted.
  WaitEstimate ExpectedReply() const;

  /// Counts a call of a refused run as an arrival at the queue, so that the arrival rate includes refused load.
  void CountRefusal();

  State CurrentState() const { return state_; }
  bool IsPending() const { return state_ == State::Waiting || state_ == State::InFlight; }
  /// The final reply; after GivenUp, the last failed reply that may be passed to the caller, if any.
  const std::optional<TargetOutcome>& Reply() const { return reply_; }
  /// Combined verdict of all attempts on whether the request was executed.
  Verdict CombinedVerdict() const;
  Reason LastReason() const { return lastReason_; }
  const PoolName& Pool() const { return pool_; }
  size_t AttemptCount() const { return sent_; }
  /// Time until the first target of the pool takes requests again; no value unless all of them pause.
  std::optional<Micros> PauseLeft() const;
  /// Has up to aMaxCount attempts in flight watched for crashes of their targets, and returns their number. To be
  /// called before the call is stopped, unless an answer came.
  size_t WatchForCrashes(size_t aMaxCount);

private:
  struct Attempt
  {
    CallId id_;
    TargetPtr target_;
    TimePoint sentAt_;
    Micros expected_;
    bool extra_ = false;
  };

  bool IsFinal(const TargetOutcome& aOutcome) const;
  bool MayRepeat() const { return scope_.route_.kind_ == RequestKind::Idempotent; }
  TargetChoice Choose() const;
  bool TrySend(bool aExtra);
  void WaitForCapacity();
  bool SendFromQueue();
  Micros ExpectedLatency() const;
  void OnOutcome(CallId aId, TargetOutcome aOutcome);
  void OnOverLimit(Target& aTarget, CallId aCall);
  TargetRun MakeRun(const Attempt& aAttempt) const;
  void Observe(const Attempt& aAttempt, const TargetOutcome& aOutcome);
  /// Whether the request has crashed too many targets since its run began, so that no further target may get it.
  bool IsRefused() const
  {
    return scope_.context_.crashes_->History().Check(*scope_.request_) == CrashPrecaution::Refuse;
  }
  bool HasExpired() const { return scope_.context_.timers_.Now() >= scope_.deadline_; }
  void OnFailedAttempt(bool aWasExtra);
  bool Retry(bool aWasExtra);
  void GiveUp();

  const RunScope& scope_;
  const PoolName pool_;
  const size_t index_;
  PoolCallObserver& observer_;
  State state_ = State::NotStarted;
  std::vector<Attempt> attempts_;
  /// Targets that received an attempt or may have received it.
  std::vector<TargetName> tried_;
  size_t sent_ = 0;
  std::optional<PendingCallQueue::Position> queuePosition_;
  std::optional<TargetOutcome> reply_;
  Verdict verdict_ = Verdict::NotRun;
  Reason lastReason_ = Reason::None;
};

/// True for a 2xx reply that carries the target's stamp, which proves that the target ran the request.
bool
IsSuccess(const TargetOutcome& aOutcome);

} // namespace ibisrock

#endif
