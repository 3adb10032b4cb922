#include "request/gather_run.h"

#include "request/error_reply.h"
#include "request/record_merge.h"

#include <algorithm>
#include <cmath>

namespace ibisrock {

namespace {

/// Absorbs floating-point error, so that a coverage of 0.6 of 5 shards requires 3 shards and not 4.
constexpr double kRoundingTolerance = 1e-9;

/// If a larger share of the shards has not replied at the hedge delay, this instance or its links are slow and not the
/// targets. Hedges would add to the load then, so they wait until other shards have replied.
constexpr double kMaxHedgedShare = 0.5;
/// With fewer shards the share that is pending says little.
constexpr size_t kMinShardsForShare = 10;
/// Time until the next check, as a share of the time since the request.
constexpr double kHedgeRecheckShare = 0.25;

} // namespace

GatherRun::GatherRun(const Plan& aPlan, EndCallback aOnEnd)
  : RoutedRun(aPlan, std::move(aOnEnd))
{
  const std::vector<PoolName>& shards = scope_.route_.gather_->shards_;
  calls_.reserve(shards.size());
  for (size_t i = 0; i < shards.size(); i++) {
    calls_.push_back(std::make_unique<PoolCall>(scope_, shards[i], i, *this));
  }
}

void
GatherRun::Start()
{
  if (RefuseIfDeadlineUnreachable()) {
    return;
  }
  // A request that may crash its targets runs on one shard first, and on the others after that one has replied.
  StartCalls(precaution_ == CrashPrecaution::None ? calls_.size() : 1);
  started_ = true;
  StartTimers();
  EndIfSettled();
}

/// Starts calls until aCount of them are pending.
void
GatherRun::StartCalls(size_t aCount)
{
  for (size_t started = 0; started < aCount && next_ < calls_.size(); next_++) {
    if (calls_[next_]->Start() != PoolCall::State::GivenUp) {
      pending_++;
      started++;
    }
  }
}

void
GatherRun::OnPoolCallEnded(size_t aIndex)
{
  pending_--;
  if (calls_[aIndex]->CurrentState() == PoolCall::State::Replied) {
    covered_++;
    StartCalls(calls_.size());
  } else if (next_ < calls_.size()) {
    EndWithFailure(Reason::CrashSuspect);
    return;
  }
  EndIfSettled();
}

size_t
GatherRun::NeededCalls() const
{
  const double share = scope_.route_.gather_->minCoverage_ * static_cast<double>(calls_.size());
  return std::max<size_t>(static_cast<size_t>(std::ceil(share - kRoundingTolerance)), 1);
}

bool
GatherRun::MeetsCoverage(size_t aShards) const
{
  return aShards >= NeededCalls();
}

/// Ends the run when no shard is pending, when the minimum coverage is out of reach, or when it is reached and the
/// cutoff has passed.
void
GatherRun::EndIfSettled()
{
  if (!started_) {
    return;
  }
  if (!MeetsCoverage(covered_ + pending_ + calls_.size() - next_)) {
    EndWithFailure(Reason::NoReplica);
  } else if ((pending_ == 0 && next_ == calls_.size()) || (MeetsCoverage(covered_) && HasPassed(timing_.cutoff_))) {
    EndWithParts();
  }
}

void
GatherRun::OnHedgeDelay()
{
  const TimePoint now = scope_.context_.timers_.Now();
  if (calls_.size() >= kMinShardsForShare &&
      now<timing_.cutoff_&& static_cast<double>(pending_)> kMaxHedgedShare * static_cast<double>(calls_.size())) {
    PostponeHedges(Scale(now - scope_.request_->receivedAt_, kHedgeRecheckShare));
    return;
  }
  for (const auto& call : calls_) {
    if (call->IsPending()) {
      call->Hedge();
    }
  }
}

void
GatherRun::OnCutoff()
{
  if (!MeetsCoverage(covered_)) {
    EndLateRunIfDeadlineUnreachable();
    return;
  }
  RoutingContext& context = scope_.context_;
  const TimePoint cutoff = timing_.cutoff_;
  // This may destroy the run.
  EndIfSettled();
  // The lag is measured in the next iteration of the event loop, because the kernel may send the answer only then.
  context.timers_.After(Micros::zero(),
                        [&context, cutoff] { context.replyLag_.Observe(context.timers_.Now() - cutoff); });
}

void
GatherRun::OnDeadline()
{
  if (MeetsCoverage(covered_)) {
    EndWithParts();
  } else {
    EndWithFailure(Reason::TimedOut);
  }
}

void
GatherRun::EndWithParts()
{
  CallerReply reply;
  reply.status_ = 200;
  std::vector<std::string_view> parts;
  for (const auto& call : calls_) {
    if (call->CurrentState() != PoolCall::State::Replied) {
      reply.missingShards_++;
      continue;
    }
    reply.stamps_.push_back(call->Reply()->stamp_);
    parts.emplace_back(*call->Reply()->body_);
  }
  reply.body_ = std::make_shared<std::string>(MergeRecords(parts, scope_.route_.gather_->topRecords_));
  Finish(std::move(reply), Verdict::Ran, Reason::None);
}

void
GatherRun::EndWithFailure(Reason aReason)
{
  const Verdict verdict = CombinedVerdict();
  Finish(MakeFailureReply(verdict, aReason, HasPassed(timing_.deadline_), RetryAfterGivenUp()), verdict, aReason);
}

} // namespace ibisrock
