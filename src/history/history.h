#ifndef IBISROCK_HISTORY_HISTORY_H
#define IBISROCK_HISTORY_HISTORY_H

#include "base/ids.h"
#include "base/units.h"
#include "base/verdict.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ibisrock::history {

/// Identifies one submission of a query in a history.
using SubmissionId = NumberId<struct SubmissionIdTag>;

/// A match as the caller received it. A recorder gets shard, version and operation from what the target put into it.
struct ReceivedMatch
{
  ShardName shard_;
  IndexVersion version_;
  /// Body of the query that the target ran.
  std::string operation_;
};

/// What a caller received.
struct ReceivedAnswer
{
  TimePoint at_;
  RequestId request_;
  Verdict verdict_ = Verdict::NotRun;
  Reason reason_ = Reason::None;
  IndexVersion version_;
  ConfigVersion config_;
  std::set<ShardName> covered_;
  std::set<ShardName> missing_;
  std::vector<ReceivedMatch> matches_;
};

/// One query as its caller sees it. Each operation has a body of its own; a resend repeats the body.
struct Submission
{
  SubmissionId id_;
  TimePoint at_;
  InstanceId instance_;
  ServiceName service_;
  std::string operation_;
  bool idempotent_ = true;
  IdempotencyKey key_;
  std::vector<ReceivedAnswer> answers_;
};

/// One request that a target began to run.
struct ExecutedAttempt
{
  TimePoint at_;
  TargetName target_;
  ShardName shard_;
  AttemptId attempt_;
  std::string operation_;
};

/// Time in which a target was leaving.
struct LeavingPeriod
{
  TargetName target_;
  TimePoint from_;
  /// None while it has not come back.
  std::optional<TimePoint> until_;
};

/// End of an instance. A planned one must not cut off any query.
struct InstanceEnd
{
  InstanceId instance_;
  TimePoint at_;
  bool planned_ = false;
};

/// A configuration version for which an operator was told "accepted".
struct AcceptedConfig
{
  ConfigVersion version_;
  TimePoint at_;
};

/// The configuration that an instance had in force at some time.
struct SeenConfig
{
  InstanceId instance_;
  ConfigVersion version_;
  TimePoint at_;
};

/// Everything that callers, targets, operators and the test itself saw, in the order of time for each kind.
struct History
{
  std::vector<Submission> submissions_;
  std::vector<ExecutedAttempt> executions_;
  std::vector<LeavingPeriod> leaving_;
  std::vector<InstanceEnd> ends_;
  std::vector<AcceptedConfig> accepted_;
  std::vector<SeenConfig> seen_;
  /// Shards of each index version of each service.
  std::map<ServiceName, std::map<IndexVersion, std::set<ShardName>>> shardMaps_;
  /// Time at which the recording ended.
  TimePoint endedAt_;
};

} // namespace ibisrock::history

#endif
