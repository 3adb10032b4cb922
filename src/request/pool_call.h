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

/// What one run shares with its pool calls.
struct RunScope
{
  RoutingContext& context_;
  const Route& route_;
  RouteState& state_;
  std::shared_ptr<const CallerRequest> request_;
  /// End of the time that the caller or the route allows.
  TimePoint deadline_;
  /// End of the time within which an answer is worth most.
  TimePoint objectiveEnds_;
};

/// Gets one reply to a request from a pool: chooses targets, retries, hedges, and waits for room. Callbacks to the
/// observer never come from within Start.
class PoolCall
{
public:
  enum class State : uint8_t
  {
    NotStarted,
    /// No target has room.
    Waiting,
    InFlight,
    Replied,
    /// No target can be asked any more, or none may be.
    GivenUp,
  };

  /// aIndex tells the observer which of its calls has news.
  PoolCall(const RunScope& aScope, PoolName aPool, size_t aIndex, PoolCallObserver& aObserver);
  ~PoolCall();

  PoolCall(const PoolCall&) = delete;
  PoolCall& operator=(const PoolCall&) = delete;

  /// Sends the first attempt or begins to wait. GivenUp when the pool has no target that could take it.
  State Start();
  /// Sends a second attempt to another target if the route and the budget of extra attempts allow it.
  void Hedge();
  /// Ends all attempts.
  void Stop(Abandon aHow);

  /// When a reply is expected, for a call that waits for room or would have to. Zero for any other, because nothing is
  /// known that speaks against a reply in time: a call may be faster than usual.
  WaitEstimate ExpectedReply() const;

  /// Counts a call that is not started because its run was refused as one that would have waited.
  void CountRefusal();

  State CurrentState() const { return state_; }
  bool IsPending() const { return state_ == State::Waiting || state_ == State::InFlight; }
  /// The reply, when there is one; after GivenUp the last failure with a reply that may be passed on.
  const std::optional<TargetOutcome>& Reply() const { return reply_; }
  /// What is known of whether any attempt ran.
  Verdict CombinedVerdict() const;
  Reason LastReason() const { return lastReason_; }
  const PoolName& Pool() const { return pool_; }
  size_t AttemptCount() const { return sent_; }

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
  void Observe(const Attempt& aAttempt, const TargetOutcome& aOutcome);
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
  /// Targets that were asked and may have been reached.
  std::vector<TargetName> tried_;
  size_t sent_ = 0;
  std::optional<PendingCallQueue::Position> queuePosition_;
  std::optional<TargetOutcome> reply_;
  Verdict verdict_ = Verdict::NotRun;
  Reason lastReason_ = Reason::None;
};

/// Whether a reply is an answer that counts: a success with the target's proof.
bool
IsSuccess(const TargetOutcome& aOutcome);

} // namespace ibisrock

#endif
