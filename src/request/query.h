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

/// A caller's query to a service.
struct Query
{
  ServiceName service_;
  CallerName caller_;
  std::string body_;
  /// If false, hedges are forbidden, and so are retries unless the previous attempt is proven not to have run.
  bool idempotent_ = true;
  /// Set for a non-idempotent query that the caller may resend; otherwise empty.
  IdempotencyKey key_;
  /// Time that the caller allows. Defaults to the service's deadline and is capped by it.
  std::optional<Micros> deadline_;
  /// Overrides the service's priority: true waits for every shard until the deadline.
  std::optional<bool> fullCoverage_;
};

/// Load of owners and targets observed during a run; input to admission control.
struct RunLoad
{
  /// True if a shard is missing because its last attempt was refused as overloaded or expired in a queue.
  bool overloaded_ = false;
  /// Mean time in the owners' queues over all shards. The mean, because one straggling shard does not indicate
  /// overload.
  Micros queueWait_{};
};

/// The answer to a query, or its refusal. Matches of all covered shards are merged and sorted by id.
struct Answer
{
  RequestId request_;
  Verdict verdict_ = Verdict::NotRun;
  Reason reason_ = Reason::None;
  /// Index version of all matches in this answer; unset for a refusal.
  IndexVersion version_;
  ConfigVersion config_;
  std::vector<Match> matches_;
  std::set<ShardName> covered_;
  /// Shards of the version's shard map without a reply, with the failure reason of their last attempt.
  std::map<ShardName, Reason> missing_;
  /// Number of attempts sent to targets or to other instances.
  uint32_t attempts_ = 0;
  /// Suggested delay before a retry, for refusals because of a limit.
  Micros retryAfter_{};
  RunLoad load_;
};

using AnswerCallback = std::function<void(Answer)>;

} // namespace ibisrock

#endif
