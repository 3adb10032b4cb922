#include "history/checker.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace ibisrock::history {

namespace {

/// Checks one history and collects what it finds.
class Checker
{
public:
  Checker(const History& aHistory, const CheckLimits& aLimits)
    : history_(aHistory)
    , limits_(aLimits)
  {
    for (const ExecutedAttempt& execution : aHistory.executions_) {
      executionsOfRequest_[execution.attempt_.request_].push_back(&execution);
    }
  }

  std::vector<Violation> Run()
  {
    for (const Submission& submission : history_.submissions_) {
      CheckAnswered(submission);
      for (const ReceivedAnswer& answer : submission.answers_) {
        CheckSnapshot(submission, answer);
        CheckCoverage(submission, answer);
        CheckOwner(submission, answer);
        CheckNotRun(submission, answer);
        CheckConfigOfAnswer(submission, answer);
      }
    }
    CheckAtMostOnce();
    CheckLeavingTargets();
    CheckConfigNeverReverts();
    return std::move(violations_);
  }

private:
  void Add(const char* aPromise, const std::string& aText) { violations_.push_back({ aPromise, aText }); }

  void CheckAnswered(const Submission& aSubmission);
  void CheckSnapshot(const Submission& aSubmission, const ReceivedAnswer& aAnswer);
  void CheckCoverage(const Submission& aSubmission, const ReceivedAnswer& aAnswer);
  void CheckOwner(const Submission& aSubmission, const ReceivedAnswer& aAnswer);
  void CheckNotRun(const Submission& aSubmission, const ReceivedAnswer& aAnswer);
  void CheckConfigOfAnswer(const Submission& aSubmission, const ReceivedAnswer& aAnswer);
  void CheckAtMostOnce();
  void CheckLeavingTargets();
  void CheckConfigNeverReverts();

  std::set<ShardName> ExecutedShards(const RequestId& aRequest) const;
  const InstanceEnd* EndAfter(const Submission& aSubmission) const;

  const History& history_;
  const CheckLimits limits_;
  std::map<RequestId, std::vector<const ExecutedAttempt*>> executionsOfRequest_;
  std::vector<Violation> violations_;
};

std::string
Describe(const Submission& aSubmission)
{
  return "submission " + std::to_string(aSubmission.id_.Value()) + " (" + aSubmission.operation_ + ") to " +
         aSubmission.instance_.Value();
}

std::set<ShardName>
Checker::ExecutedShards(const RequestId& aRequest) const
{
  std::set<ShardName> shards;
  auto found = executionsOfRequest_.find(aRequest);
  if (found != executionsOfRequest_.end()) {
    for (const ExecutedAttempt* execution : found->second) {
      shards.insert(execution->shard_);
    }
  }
  return shards;
}

/// The first end of the submission's instance after the submission.
const InstanceEnd*
Checker::EndAfter(const Submission& aSubmission) const
{
  for (const InstanceEnd& end : history_.ends_) {
    if (end.instance_ == aSubmission.instance_ && end.at_ >= aSubmission.at_) {
      return &end;
    }
  }
  return nullptr;
}

/// P3 and P7: exactly one answer in time, unless the instance crashed before.
void
Checker::CheckAnswered(const Submission& aSubmission)
{
  const TimePoint due = aSubmission.at_ + limits_.answerLimit_;
  if (aSubmission.answers_.size() > 1) {
    Add("P3", Describe(aSubmission) + " was answered more than once");
  }
  if (!aSubmission.answers_.empty()) {
    if (aSubmission.answers_.front().at_ > due) {
      Add("P3", Describe(aSubmission) + " was answered late");
    }
    return;
  }
  const InstanceEnd* end = EndAfter(aSubmission);
  if (end != nullptr && end->at_ <= due) {
    if (end->planned_) {
      Add("P7", Describe(aSubmission) + " was cut off by a planned stop");
    }
    return;
  }
  if (due <= history_.endedAt_) {
    Add("P3", Describe(aSubmission) + " was never answered");
  }
}

/// P1: every match has the answer's index version.
void
Checker::CheckSnapshot(const Submission& aSubmission, const ReceivedAnswer& aAnswer)
{
  for (const ReceivedMatch& match : aAnswer.matches_) {
    if (match.version_ != aAnswer.version_) {
      Add("P1",
          Describe(aSubmission) + " has a match of version " + std::to_string(match.version_.Value()) +
            " in an answer of version " + std::to_string(aAnswer.version_.Value()));
    }
  }
}

/// P2: covered and missing shards are the shards of the version, and every covered shard was run and gave its match.
void
Checker::CheckCoverage(const Submission& aSubmission, const ReceivedAnswer& aAnswer)
{
  if (aAnswer.covered_.empty()) {
    return;
  }
  std::set<ShardName> told = aAnswer.covered_;
  told.insert(aAnswer.missing_.begin(), aAnswer.missing_.end());
  auto service = history_.shardMaps_.find(aSubmission.service_);
  const bool known = service != history_.shardMaps_.end() && service->second.contains(aAnswer.version_);
  if (!known || told != service->second.at(aAnswer.version_) ||
      told.size() != aAnswer.covered_.size() + aAnswer.missing_.size()) {
    Add("P2", Describe(aSubmission) + " names shards that are not those of its index version");
  }
  std::map<ShardName, size_t> matches;
  for (const ReceivedMatch& match : aAnswer.matches_) {
    matches[match.shard_]++;
  }
  const std::set<ShardName> executed = ExecutedShards(aAnswer.request_);
  for (const ShardName& shard : aAnswer.covered_) {
    const bool replayed = !aSubmission.key_.IsEmpty();
    if (matches[shard] != 1 || (!replayed && !executed.contains(shard))) {
      Add("P2", Describe(aSubmission) + " covers shard " + shard.Value() + " without its one match");
    }
  }
  if (matches.size() != aAnswer.covered_.size()) {
    Add("P2", Describe(aSubmission) + " has a match of a shard that it does not cover");
  }
}

/// P3: every match belongs to the caller's own query.
void
Checker::CheckOwner(const Submission& aSubmission, const ReceivedAnswer& aAnswer)
{
  for (const ReceivedMatch& match : aAnswer.matches_) {
    if (match.operation_ != aSubmission.operation_) {
      Add("P3", Describe(aSubmission) + " has a match of the query " + match.operation_);
    }
  }
}

/// P4: a request said to be not run was not run. All submissions under one key are one request.
void
Checker::CheckNotRun(const Submission& aSubmission, const ReceivedAnswer& aAnswer)
{
  if (aAnswer.verdict_ != Verdict::NotRun) {
    return;
  }
  const bool hasKey = !aSubmission.idempotent_ && !aSubmission.key_.IsEmpty();
  const bool otherRan =
    hasKey && std::any_of(history_.executions_.begin(), history_.executions_.end(), [&](const auto& aExecution) {
      return aExecution.operation_ == aSubmission.operation_ && aExecution.at_ <= aAnswer.at_;
    });
  if (otherRan || executionsOfRequest_.contains(aAnswer.request_)) {
    Add("P4", Describe(aSubmission) + " was said to be not run, but a target ran it");
  }
}

/// P8: an answer uses a configuration at least as new as any accepted some seconds before the submission.
void
Checker::CheckConfigOfAnswer(const Submission& aSubmission, const ReceivedAnswer& aAnswer)
{
  if (aAnswer.config_.IsNone()) {
    return;
  }
  for (const AcceptedConfig& accepted : history_.accepted_) {
    if (accepted.at_ + limits_.configGrace_ <= aSubmission.at_ && accepted.version_ > aAnswer.config_) {
      Add("P8",
          Describe(aSubmission) + " used configuration " + std::to_string(aAnswer.config_.Value()) + " although " +
            std::to_string(accepted.version_.Value()) + " had been accepted");
      return;
    }
  }
}

/// P5: no shard runs a non-idempotent operation twice; without a key that holds for each submission alone.
void
Checker::CheckAtMostOnce()
{
  std::map<std::string, const Submission*> keyed;
  std::set<std::string> unkeyed;
  for (const Submission& submission : history_.submissions_) {
    if (!submission.idempotent_ && !submission.key_.IsEmpty()) {
      keyed[submission.operation_] = &submission;
    } else if (!submission.idempotent_) {
      unkeyed.insert(submission.operation_);
    }
  }
  std::map<std::tuple<std::string, RequestId, ShardName>, unsigned> runs;
  for (const ExecutedAttempt& execution : history_.executions_) {
    const bool hasKey = keyed.contains(execution.operation_);
    if (!hasKey && !unkeyed.contains(execution.operation_)) {
      continue;
    }
    const RequestId scope = hasKey ? RequestId() : execution.attempt_.request_;
    if (++runs[{ execution.operation_, scope, execution.shard_ }] == 2) {
      Add("P5", "operation " + execution.operation_ + " ran twice on shard " + execution.shard_.Value());
    }
  }
}

/// P6: a leaving target begins no new work after the grace time.
void
Checker::CheckLeavingTargets()
{
  for (const LeavingPeriod& period : history_.leaving_) {
    for (const ExecutedAttempt& execution : history_.executions_) {
      if (execution.target_ == period.target_ && execution.at_ > period.from_ + limits_.leavingGrace_ &&
          (!period.until_ || execution.at_ < *period.until_)) {
        Add("P6", "target " + period.target_.Value() + " began new work after it was leaving");
        break;
      }
    }
  }
}

/// P8: no instance, restarted or not, goes back to an older configuration, and each has an accepted one in time.
void
Checker::CheckConfigNeverReverts()
{
  std::map<InstanceId, ConfigVersion> newest;
  for (const SeenConfig& seen : history_.seen_) {
    ConfigVersion& last = newest[seen.instance_];
    if (seen.version_ < last) {
      Add("P8", "instance " + seen.instance_.Value() + " went back to an older configuration");
    }
    last = std::max(last, seen.version_);
    for (const AcceptedConfig& accepted : history_.accepted_) {
      if (accepted.version_ > seen.version_ && accepted.at_ + limits_.configGrace_ <= seen.at_) {
        Add("P8",
            "instance " + seen.instance_.Value() + " did not have configuration " +
              std::to_string(accepted.version_.Value()) + " in force in time");
        break;
      }
    }
  }
}

} // namespace

std::vector<Violation>
CheckHistory(const History& aHistory, const CheckLimits& aLimits)
{
  return Checker(aHistory, aLimits).Run();
}

} // namespace ibisrock::history
