#ifndef IBISROCK_REQUEST_QUERY_RUN_H
#define IBISROCK_REQUEST_QUERY_RUN_H

#include "base/random.h"
#include "base/timer_service.h"
#include "request/attempt_sender.h"
#include "request/query.h"
#include "version/configuration.h"

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

namespace ibisrock {

/// The parts of the process that a run uses. They outlive every run.
struct RunEnvironment
{
  TimerService& timers_;
  Random& random_;
  AttemptSender& sender_;
};

/// What is fixed for the whole life of a run.
struct RunPlan
{
  RequestId id_;
  Query query_;
  std::shared_ptr<const ServiceConfig> service_;
  ConfigVersion config_;
  ShardMap shards_;
};

/// One query from its fan-out to its answer. Thread-safe; it keeps itself alive until it has answered.
class QueryRun : public std::enable_shared_from_this<QueryRun>
{
public:
  static std::shared_ptr<QueryRun> Create(RunPlan aPlan, RunEnvironment aEnvironment, AnswerCallback aCallback);

  /// Sends the first attempt of every shard.
  void Start();

private:
  /// Progress of one shard.
  struct ShardState
  {
    bool covered_ = false;
    std::set<TargetName> tried_;
    std::vector<Match> matches_;
    Reason lastReason_ = Reason::NoReplica;
    Verdict verdict_ = Verdict::NotRun;
    uint32_t open_ = 0;
  };
  struct AttemptState
  {
    ShardName shard_;
    bool open_ = true;
  };
  /// What must be done after the lock is released.
  struct Actions
  {
    std::vector<wire::SubRequest> sends_;
    std::vector<AttemptId> cancels_;
    bool finished_ = false;
  };

  QueryRun(RunPlan aPlan, RunEnvironment aEnvironment, AnswerCallback aCallback);

  void OnReply(const wire::SubReply& aReply);
  void OnDeadline();
  void Perform(const Actions& aActions);
  Answer BuildAnswer();

  // The functions below need the lock.
  void AddAttempt(const ShardName& aShard, Actions& aActions);
  void HandleFailure(const ShardName& aShard, const TargetReply& aReply, Actions& aActions);
  void CheckFinished(Actions& aActions);
  void Finish(Actions& aActions);

  const RunPlan plan_;
  RunEnvironment environment_;
  AnswerCallback callback_;
  Micros budget_{};
  TimePoint deadline_;
  Fingerprint fingerprint_;

  std::mutex mutex_;
  std::map<ShardName, ShardState> shards_;
  std::vector<AttemptState> attempts_;
  TimerId deadlineTimer_;
  bool finished_ = false;
};

} // namespace ibisrock

#endif
