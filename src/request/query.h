#ifndef IBISROCK_REQUEST_QUERY_H
#define IBISROCK_REQUEST_QUERY_H

#include "base/ids.h"
#include "base/target_client.h"
#include "base/units.h"
#include "base/verdict.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ibisrock {

/// What a caller asks for.
struct Query
{
  ServiceName service_;
  CallerName caller_;
  std::string body_;
  /// False forbids hedges and any retry that is not preceded by a proven "not run".
  bool idempotent_ = true;
  /// Given for a non-idempotent query that the caller may send again; empty for none.
  IdempotencyKey key_;
  /// Time that the caller allows; the service's deadline when there is none, and never more than it.
  std::optional<Micros> deadline_;
  /// Overrides the service's priority: true waits for every shard until the deadline.
  std::optional<bool> fullCoverage_;
};

/// How loaded owners and targets were during a run, for admission.
struct RunLoad
{
  /// A shard is missing because its last attempt was refused as overloaded or expired in a queue.
  bool overloaded_ = false;
  /// Mean wait in the owners' queues over the shards. The mean, because one straggling shard is no overload.
  Micros queueWait_{};
};

/// The answer to one query, or the refusal of it. Matches are merged over the covered shards, sorted by id.
struct Answer
{
  RequestId request_;
  Verdict verdict_ = Verdict::NotRun;
  Reason reason_ = Reason::None;
  /// Version of every match in this answer; none for a refusal.
  IndexVersion version_;
  ConfigVersion config_;
  std::vector<Match> matches_;
  std::set<ShardName> covered_;
  /// Shards of the version's shard map without a reply, each with the reason of its last attempt.
  std::map<ShardName, Reason> missing_;
  /// Attempts that were given to targets or to other instances.
  uint32_t attempts_ = 0;
  /// Suggested wait before the next try, for refusals over a limit.
  Micros retryAfter_{};
  RunLoad load_;
};

using AnswerCallback = std::function<void(Answer)>;

} // namespace ibisrock

#endif
