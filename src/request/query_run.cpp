#include "request/query_run.h"

#include "base/hashing.h"

#include <algorithm>

namespace ibisrock {

std::shared_ptr<QueryRun>
QueryRun::Create(RunPlan aPlan, RunEnvironment aEnvironment, AnswerCallback aCallback)
{
  return std::shared_ptr<QueryRun>(new QueryRun(std::move(aPlan), aEnvironment, std::move(aCallback)));
}

QueryRun::QueryRun(RunPlan aPlan, RunEnvironment aEnvironment, AnswerCallback aCallback)
  : plan_(std::move(aPlan))
  , environment_(aEnvironment)
  , callback_(std::move(aCallback))
  , budget_(std::min(plan_.query_.deadline_.value_or(plan_.service_->deadline_), plan_.service_->deadline_))
  , deadline_(environment_.timers_.Now() + budget_)
  , fingerprint_(QueryFingerprint(plan_.query_.service_, plan_.query_.body_))
{
}

void
QueryRun::Start()
{
  Actions actions;
  {
    std::lock_guard lock(mutex_);
    deadlineTimer_ = environment_.timers_.After(budget_, [self = shared_from_this()] { self->OnDeadline(); });
    for (const auto& [shard, targets] : plan_.shards_.shards_) {
      shards_.emplace(shard, ShardState{});
      AddAttempt(shard, actions);
    }
    CheckFinished(actions);
  }
  Perform(actions);
}

void
QueryRun::AddAttempt(const ShardName& aShard, Actions& aActions)
{
  ShardState& state = shards_.at(aShard);
  std::vector<TargetName> untried;
  for (const TargetName& target : plan_.shards_.shards_.at(aShard)) {
    if (!state.tried_.contains(target)) {
      untried.push_back(target);
    }
  }
  const Micros left = deadline_ - environment_.timers_.Now();
  if (untried.empty() || left <= Micros::zero()) {
    return;
  }
  const TargetName& target = untried[environment_.random_.Below(static_cast<uint32_t>(untried.size()))];
  state.tried_.insert(target);
  state.open_++;
  wire::SubRequest request;
  request.id_ = { plan_.id_, static_cast<uint32_t>(attempts_.size()) };
  request.caller_ = plan_.query_.caller_;
  request.service_ = plan_.query_.service_;
  request.shard_ = aShard;
  request.target_ = target;
  request.version_ = plan_.shards_.version_;
  request.body_ = plan_.query_.body_;
  request.idempotent_ = plan_.query_.idempotent_;
  request.fingerprint_ = fingerprint_;
  request.budget_ = left;
  attempts_.push_back({ aShard });
  aActions.sends_.push_back(std::move(request));
}

void
QueryRun::OnReply(const wire::SubReply& aReply)
{
  Actions actions;
  {
    std::lock_guard lock(mutex_);
    if (finished_ || aReply.id_.number_ >= attempts_.size() || !attempts_[aReply.id_.number_].open_) {
      return;
    }
    AttemptState& attempt = attempts_[aReply.id_.number_];
    attempt.open_ = false;
    ShardState& state = shards_.at(attempt.shard_);
    state.open_--;
    if (state.covered_) {
      return;
    }
    const TargetReply& reply = aReply.reply_;
    if (reply.verdict_ == Verdict::Ran && reply.version_ == plan_.shards_.version_) {
      state.covered_ = true;
      state.matches_ = reply.matches_;
      state.verdict_ = Verdict::Ran;
    } else {
      HandleFailure(attempt.shard_, reply, actions);
    }
    CheckFinished(actions);
  }
  Perform(actions);
}

/// Records why an attempt failed and tries another replica where that cannot run a request twice.
void
QueryRun::HandleFailure(const ShardName& aShard, const TargetReply& aReply, Actions& aActions)
{
  ShardState& state = shards_.at(aShard);
  state.lastReason_ = aReply.reason_;
  state.verdict_ = Combine(state.verdict_, aReply.verdict_);
  if (aReply.verdict_ == Verdict::NotRun || plan_.query_.idempotent_) {
    AddAttempt(aShard, aActions);
  }
}

void
QueryRun::OnDeadline()
{
  Actions actions;
  {
    std::lock_guard lock(mutex_);
    if (!finished_) {
      Finish(actions);
    }
  }
  Perform(actions);
}

void
QueryRun::CheckFinished(Actions& aActions)
{
  const bool waiting = std::any_of(shards_.begin(), shards_.end(), [](const auto& aEntry) {
    return !aEntry.second.covered_ && aEntry.second.open_ > 0;
  });
  if (!finished_ && !waiting) {
    Finish(aActions);
  }
}

void
QueryRun::Finish(Actions& aActions)
{
  finished_ = true;
  aActions.finished_ = true;
  for (uint32_t number = 0; number < attempts_.size(); number++) {
    if (attempts_[number].open_) {
      aActions.cancels_.push_back({ plan_.id_, number });
    }
  }
}

void
QueryRun::Perform(const Actions& aActions)
{
  for (const wire::SubRequest& request : aActions.sends_) {
    environment_.sender_.Start(request,
                               [self = shared_from_this()](const wire::SubReply& aReply) { self->OnReply(aReply); });
  }
  for (const AttemptId& id : aActions.cancels_) {
    environment_.sender_.Cancel(id);
  }
  if (aActions.finished_) {
    environment_.timers_.Cancel(deadlineTimer_);
    callback_(BuildAnswer());
  }
}

Answer
QueryRun::BuildAnswer()
{
  std::lock_guard lock(mutex_);
  Answer answer;
  answer.request_ = plan_.id_;
  answer.version_ = plan_.shards_.version_;
  answer.config_ = plan_.config_;
  answer.attempts_ = static_cast<uint32_t>(attempts_.size());
  answer.verdict_ = Verdict::NotRun;
  for (auto& [shard, state] : shards_) {
    if (state.covered_) {
      answer.covered_.insert(shard);
      std::move(state.matches_.begin(), state.matches_.end(), std::back_inserter(answer.matches_));
    } else {
      const bool late = state.open_ > 0;
      answer.missing_[shard] = late ? Reason::TimedOut : state.lastReason_;
      state.verdict_ = late ? Verdict::MayHaveRun : state.verdict_;
      answer.reason_ = answer.missing_[shard];
    }
    answer.verdict_ = Combine(answer.verdict_, state.verdict_);
  }
  std::sort(answer.matches_.begin(), answer.matches_.end());
  return answer;
}

} // namespace ibisrock
