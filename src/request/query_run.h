#ifndef IBISROCK_REQUEST_QUERY_RUN_H
#define IBISROCK_REQUEST_QUERY_RUN_H

#include "base/random.h"
#include "base/timer_service.h"
#include "process/service_state.h"
#include "request/attempt_sender.h"
#include "request/coverage_policy.h"
#include "request/crash_observer.h"
#include "request/query.h"
#include "request/version_source.h"
#include "version/configuration.h"

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

namespace ibisrock {

/// Process-wide services that a run uses. They outlive every run.
struct RunEnvironment
{
  TimerService& timers_;
  AttemptSender& sender_;
  ServiceState& service_;
  VersionSource& versions_;
  CrashObserver& crashes_;
  /// False disables hedged attempts, either under overload or to compare runs with and without them.
  bool hedgingEnabled_ = true;
};

/// Inputs of a run. They stay constant, except that a restart replaces the shard map.
struct RunPlan
{
  RequestId id_;
  Query query_;
  std::shared_ptr<const ServiceConfig> service_;
  ConfigVersion config_;
  ShardMap shards_;
  /// The query is suspected of crashing targets. One shard is queried first, as the only attempt on its target, and the
  /// other shards only after a successful reply.
  bool canaryFirst_ = false;
};

/// Executes one query, from the fan-out over its shards to the merged answer. Thread-safe. Pending callbacks hold
/// references to the run, which keep it alive until it has answered.
class QueryRun : public std::enable_shared_from_this<QueryRun>
{
public:
  static std::shared_ptr<QueryRun> Create(RunPlan aPlan, RunEnvironment aEnvironment, AnswerCallback aCallback);

  /// Sends the first attempt of every shard, or only that of the canary shard if the plan asks for a canary.
  void Start();

private:
  /// Progress of one shard under the pinned index version.
  struct ShardState
  {
    bool started_ = false;
    bool covered_ = false;
    /// A retry is waiting for a token of the extra-attempt budget.
    bool retryPending_ = false;
    /// At least one replica refused the attempt because it does not hold the pinned version.
    bool versionNotHeld_ = false;
    std::set<TargetName> triedTargets_;
    std::vector<Match> matches_;
    Reason lastReason_ = Reason::NoReplica;
    Verdict verdict_ = Verdict::NotRun;
    uint32_t openAttempts_ = 0;
    /// Start time of the latest attempt.
    TimePoint startedAt_;
  };
  /// An attempt is open while its outcome can still affect the answer, and answered once its callback was called.
  struct AttemptState
  {
    ShardName shard_;
    TargetName target_;
    AttemptKind kind_ = AttemptKind::First;
    bool canary_ = false;
    bool open_ = true;
    bool answered_ = false;
    TimePoint startedAt_;
    TimePoint closedAt_;
  };
  /// Side effects that are decided under the lock and performed after its release.
  struct Actions
  {
    std::vector<wire::SubRequest> requestsToSend_;
    std::vector<AttemptId> attemptsToCancel_;
    std::optional<CrashReport> crashReport_;
    std::optional<ShardName> shardWithoutVersion_;
    bool finished_ = false;
  };

  QueryRun(RunPlan aPlan, RunEnvironment aEnvironment, AnswerCallback aCallback);

  void OnReply(const wire::SubReply& aReply);
  void OnDeadline();
  void OnSoftDeadline();
  void OnExtraAttemptTimer();
  void Perform(const Actions& aActions);
  void DeliverAnswer();
  void Restart(const ShardName& aShard);

  // The functions below require mutex_ to be held.
  Answer BuildAnswer();
  RunLoad MeasureLoad(const Answer& aAnswer) const;
  CrashReport MakeCrashReport() const;
  void StartFirstAttempts(Actions& aActions);
  void RestartWithVersion(ShardMap aNext, Actions& aActions);
  bool StartAttempt(const ShardName& aShard, AttemptKind aKind, Actions& aActions);
  void Close(AttemptState& aAttempt);
  void CloseShard(const ShardName& aShard, Actions& aActions);
  void HandleOutcome(AttemptState& aAttempt, const wire::SubReply& aReply, Actions& aActions);
  void AcceptReply(const ShardName& aShard, const TargetReply& aReply, Actions& aActions);
  void HandleFailure(const ShardName& aShard, const wire::SubReply& aReply, Actions& aActions);
  void Retry(const ShardName& aShard, bool aWithoutToken, Actions& aActions);
  void StartHedge(const ShardName& aShard, Actions& aActions);
  void ReportToSelector(const AttemptState& aAttempt, const TargetReply& aReply);
  bool CanHedge(const ShardName& aShard) const;
  Micros NextHedgeDelay(const ShardState& aState) const;
  std::vector<TargetName> UntriedReplicas(const ShardName& aShard) const;
  bool MayStartAttempts() const;
  bool MayRestart() const;
  bool MayHedge() const;
  size_t CoveredShardCount() const;
  void FinishIfDone(Actions& aActions);
  void MarkFinished(Actions& aActions);
  void ScheduleExtraAttempts();

  RunPlan plan_;
  RunEnvironment environment_;
  AnswerCallback callback_;
  const CoveragePolicy& policy_;
  Micros budget_{};
  TimePoint deadline_;
  Fingerprint fingerprint_;

  mutable std::mutex mutex_;
  std::map<ShardName, ShardState> shards_;
  std::deque<AttemptState> attempts_;
  /// Index versions that this run found to be unavailable for at least one shard.
  std::set<IndexVersion> missingVersions_;
  /// Combined verdict of the attempts with index versions that a restart abandoned.
  Verdict earlierVersionsVerdict_ = Verdict::NotRun;
  std::vector<ConnectionLoss> losses_;
  bool canaryPending_ = false;
  bool canaryClean_ = false;
  bool restarting_ = false;
  unsigned restarts_ = 0;
  bool softDeadlinePassed_ = false;
  /// Sum over all attempts that were closed by a reply.
  Micros queueWaitSum_{};
  TimerId deadlineTimer_;
  TimerId softDeadlineTimer_;
  TimerId extraAttemptTimer_;
  bool extraAttemptTimerSet_ = false;
  Micros hedgeDelay_{};
  bool finished_ = false;
};

} // namespace ibisrock

#endif
