#include "fakes/scripted_run.h"

#include <gtest/gtest.h>

namespace ibisrock {
namespace {

using fakes::ScriptedRun;

const ShardName kShard0("s0");

struct EndCase
{
  const char* name_;
  Priority priority_;
  std::optional<bool> full_;
  /// Shards without a reply, of four.
  unsigned silent_;
  Millis endsAt_;
};

class EndOfRun : public testing::TestWithParam<EndCase>
{};

// Guards against a run that ends too early or too late for its priority, and against untrue coverage at the end.
TEST_P(EndOfRun, FollowsThePolicy)
{
  const EndCase& param = GetParam();
  ScriptedRun run(4, 1);
  run.service_.priority_ = param.priority_;
  run.query_.fullCoverage_ = param.full_;
  run.Start();
  run.SucceedFrom(param.silent_);
  run.timers_.Advance(param.endsAt_ - Micros(1));
  EXPECT_FALSE(run.answer_);
  run.timers_.Advance(Micros(1));
  ASSERT_TRUE(run.answer_);
  EXPECT_EQ(run.answer_->covered_.size(), 4 - param.silent_);
  EXPECT_EQ(run.answer_->matches_.size(), 4 - param.silent_);
  EXPECT_EQ(run.answer_->missing_.size(), param.silent_);
  EXPECT_EQ(run.answer_->missing_.at(kShard0), Reason::TimedOut);
  EXPECT_EQ(run.answer_->verdict_, Verdict::MayHaveRun);
  EXPECT_EQ(run.sender_.Cancelled().size(), param.silent_);
}

INSTANTIATE_TEST_SUITE_P(Policies,
                         EndOfRun,
                         testing::Values(EndCase{ "LatencySome", Priority::Latency, std::nullopt, 1, Millis(200) },
                                         EndCase{ "LatencyNone", Priority::Latency, std::nullopt, 4, Millis(500) },
                                         EndCase{ "LatencyButFull", Priority::Latency, true, 1, Millis(500) },
                                         EndCase{ "Coverage", Priority::Coverage, std::nullopt, 1, Millis(500) },
                                         EndCase{ "CoverageButPartial", Priority::Coverage, false, 1, Millis(200) }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

// Guards against a latency run that found nothing by its soft deadline and then waits on although it has a reply.
TEST(QueryRun, LatencyEndsAtTheFirstReplyAfterTheSoftDeadline)
{
  ScriptedRun run(4, 1);
  run.service_.priority_ = Priority::Latency;
  run.Start();
  run.timers_.Advance(Millis(300));
  EXPECT_FALSE(run.answer_);
  run.sender_.Succeed(2);
  ASSERT_TRUE(run.answer_);
  EXPECT_EQ(run.answer_->covered_, std::set{ ShardName("s2") });
}

struct FailureCase
{
  const char* name_;
  bool idempotent_;
  Verdict verdict_;
  Reason reason_;
  /// Attempts of the shard after its first one failed.
  size_t attempts_;
  /// Verdict when the retry, if there is one, is never answered.
  Verdict end_;
};

class FailedAttempt : public testing::TestWithParam<FailureCase>
{};

// Guards against a second run of a non-idempotent query (P5), and against a false "not run" (P4).
TEST_P(FailedAttempt, IsRetriedOnlyWhereThatIsSafe)
{
  const FailureCase& param = GetParam();
  ScriptedRun run(1, 2);
  run.query_.idempotent_ = param.idempotent_;
  run.Start();
  run.sender_.Fail(0, param.verdict_, param.reason_);
  EXPECT_EQ(run.sender_.Sent().size(), param.attempts_);
  run.timers_.Advance(Millis(500));
  EXPECT_EQ(run.sender_.Sent().size(), param.attempts_);
  ASSERT_TRUE(run.answer_);
  EXPECT_EQ(run.answer_->verdict_, param.end_);
  EXPECT_EQ(run.answer_->attempts_, param.attempts_);
}

INSTANTIATE_TEST_SUITE_P(
  Kinds,
  FailedAttempt,
  testing::Values(
    FailureCase{ "LostOnce", false, Verdict::MayHaveRun, Reason::ConnectionLost, 1, Verdict::MayHaveRun },
    FailureCase{ "OwnerSilent", false, Verdict::MayHaveRun, Reason::TimedOut, 1, Verdict::MayHaveRun },
    FailureCase{ "Refused", false, Verdict::NotRun, Reason::Overloaded, 2, Verdict::MayHaveRun },
    FailureCase{ "NotConnected", false, Verdict::NotRun, Reason::ConnectFailed, 2, Verdict::MayHaveRun },
    FailureCase{ "LostIdempotent", true, Verdict::MayHaveRun, Reason::ConnectionLost, 2, Verdict::MayHaveRun }),
  [](const auto& aInfo) { return aInfo.param.name_; });

// Guards against a run that ends as "may have run" although every replica refused it (P4).
TEST(QueryRun, IsNotRunWhenEveryReplicaRefused)
{
  ScriptedRun run(1, 2);
  run.query_.idempotent_ = false;
  run.Start();
  run.sender_.Fail(0, Verdict::NotRun, Reason::Overloaded);
  run.sender_.Fail(1, Verdict::NotRun, Reason::Overloaded);
  ASSERT_TRUE(run.answer_);
  EXPECT_EQ(run.answer_->verdict_, Verdict::NotRun);
  EXPECT_EQ(run.answer_->reason_, Reason::Overloaded);
}

// Guards against a straggler that is not hedged, and against a loser that keeps its slot.
TEST(QueryRun, HedgesAStragglerOnceAndCancelsTheLoser)
{
  ScriptedRun run(4, 2);
  run.Start();
  run.SucceedFrom(1);
  run.timers_.Advance(Millis(200));
  ASSERT_EQ(run.sender_.Sent().size(), 5U);
  EXPECT_NE(run.sender_.Sent()[4].target_, run.sender_.Sent()[0].target_);
  run.sender_.Succeed(4);
  ASSERT_TRUE(run.answer_);
  EXPECT_EQ(run.answer_->covered_.size(), 4U);
  EXPECT_EQ(run.answer_->verdict_, Verdict::Ran);
  EXPECT_EQ(run.sender_.Cancelled(), std::vector<uint32_t>{ 0 });
  EXPECT_EQ(run.state_.counters_.hedges_, 1U);
  EXPECT_EQ(run.state_.counters_.cancelled_, 1U);
}

// Guards against a shard that stays missing because its hedge failed while the straggler never answers, although a
// third replica could serve it.
TEST(QueryRun, HedgesAgainAfterAFailedHedge)
{
  ScriptedRun run(1, 3);
  run.Start();
  run.timers_.Advance(Millis(200));
  ASSERT_EQ(run.sender_.Sent().size(), 2U);
  run.sender_.Fail(1, Verdict::NotRun, Reason::ConnectFailed);
  run.timers_.Advance(Millis(200));
  ASSERT_EQ(run.sender_.Sent().size(), 3U);
  run.sender_.Succeed(2);
  ASSERT_TRUE(run.answer_);
  EXPECT_EQ(run.answer_->covered_.size(), 1U);
  EXPECT_EQ(run.sender_.Cancelled(), std::vector<uint32_t>{ 0 });
}

// Guards against a shard that stays missing because two replicas never answer, although a third could serve it, and
// against further hedges that start as early as the first.
TEST(QueryRun, HedgesAHedgeThatIsSlowToo)
{
  ScriptedRun run(1, 3);
  run.Start();
  run.timers_.Advance(Millis(100));
  ASSERT_EQ(run.sender_.Sent().size(), 2U);
  run.timers_.Advance(Millis(150));
  EXPECT_EQ(run.sender_.Sent().size(), 2U);
  run.timers_.Advance(Millis(150));
  ASSERT_EQ(run.sender_.Sent().size(), 3U);
  run.sender_.Succeed(2);
  ASSERT_TRUE(run.answer_);
  EXPECT_EQ(run.answer_->covered_.size(), 1U);
  EXPECT_EQ(run.sender_.Cancelled(), (std::vector<uint32_t>{ 0, 1 }));
}

// Guards against a second run of a non-idempotent query by a hedge (P5).
TEST(QueryRun, NeverHedgesANonIdempotentQuery)
{
  ScriptedRun run(2, 2);
  run.query_.idempotent_ = false;
  run.Start();
  run.timers_.Advance(Millis(500));
  EXPECT_EQ(run.sender_.Sent().size(), 2U);
}

// Guards against answers that count a shard twice, or lose one, when replies are late, repeated or out of order (P3).
TEST(QueryRun, DropsLateAndDuplicateReplies)
{
  ScriptedRun run(3, 2);
  run.Start();
  run.sender_.Succeed(2);
  run.sender_.Succeed(2);
  run.sender_.Fail(2, Verdict::MayHaveRun, Reason::ConnectionLost);
  run.timers_.Advance(Millis(100));
  const uint32_t hedge = *run.sender_.Find(kShard0, 3);
  run.sender_.Succeed(hedge);
  run.sender_.Succeed(0);
  EXPECT_FALSE(run.answer_);
  run.sender_.Succeed(1);
  ASSERT_TRUE(run.answer_);
  run.sender_.Succeed(*run.sender_.Find(ShardName("s1"), 3));
  EXPECT_EQ(run.answers_, 1U);
  EXPECT_EQ(run.answer_->matches_.size(), 3U);
  EXPECT_TRUE(run.crashes_.losses_.empty());
}

// Guards against an answer that mixes two versions (P1) when a target replies with another one.
TEST(QueryRun, NeverMergesAReplyOfAnotherVersion)
{
  ScriptedRun run(2, 1);
  run.Start();
  run.sender_.Succeed(0, IndexVersion(9));
  run.sender_.Succeed(1);
  ASSERT_TRUE(run.answer_);
  EXPECT_EQ(run.answer_->missing_, (std::map<ShardName, Reason>{ { kShard0, Reason::VersionNotHeld } }));
  ASSERT_EQ(run.answer_->matches_.size(), 1U);
  EXPECT_EQ(run.answer_->matches_[0].text_, "1");
}

// Guards against a version that disappears in mid-query and leaves a mixed answer (P1) or a needless partial one.
TEST(QueryRun, RestartsWithAnotherVersion)
{
  ScriptedRun run(2, 2);
  run.versions_.maps_ = { run.MakeMap(IndexVersion(2)), run.MakeMap(IndexVersion(1)) };
  run.Start();
  run.sender_.Succeed(1);
  run.sender_.Fail(0, Verdict::NotRun, Reason::VersionNotHeld);
  run.sender_.Fail(2, Verdict::NotRun, Reason::VersionNotHeld);
  ASSERT_EQ(run.sender_.Sent().size(), 5U);
  EXPECT_EQ(run.versions_.reported_, std::vector{ IndexVersion(2) });
  run.sender_.Succeed(3);
  run.sender_.Succeed(4);
  ASSERT_TRUE(run.answer_);
  EXPECT_EQ(run.answer_->version_, IndexVersion(1));
  EXPECT_EQ(run.answer_->verdict_, Verdict::Ran);
  ASSERT_EQ(run.answer_->matches_.size(), 2U);
  for (const Match& match : run.answer_->matches_) {
    EXPECT_EQ(match.text_, "1");
  }
}

struct RestartCase
{
  const char* name_;
  bool idempotent_;
  uint64_t versions_;
  uint64_t restarts_;
};

class RestartLimit : public testing::TestWithParam<RestartCase>
{};

// Guards against endless restarts, and against a restart of a non-idempotent query (P5).
TEST_P(RestartLimit, EndsWithAnAnswerThatIsNotMixed)
{
  const RestartCase& param = GetParam();
  ScriptedRun run(1, 1);
  run.query_.idempotent_ = param.idempotent_;
  run.versions_.maps_.clear();
  for (uint64_t version = param.versions_; version > 0; version--) {
    run.versions_.maps_.push_back(run.MakeMap(IndexVersion(version)));
  }
  run.Start();
  for (uint32_t number = 0; number < run.sender_.Sent().size(); number++) {
    run.sender_.Fail(number, Verdict::NotRun, Reason::VersionNotHeld);
  }
  ASSERT_TRUE(run.answer_);
  EXPECT_EQ(run.state_.counters_.restarts_, param.restarts_);
  EXPECT_EQ(run.answer_->missing_.at(kShard0), Reason::VersionNotHeld);
  EXPECT_EQ(run.answer_->verdict_, Verdict::NotRun);
}

INSTANTIATE_TEST_SUITE_P(Limits,
                         RestartLimit,
                         testing::Values(RestartCase{ "AtMostTwice", true, 5, 2 },
                                         RestartCase{ "NoOtherVersion", true, 1, 0 },
                                         RestartCase{ "NonIdempotent", false, 5, 0 }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

// Guards against a crashing query that goes on to crash a third target.
TEST(QueryRun, StartsNothingAfterASecondConnectionLoss)
{
  ScriptedRun run(4, 3);
  run.Start();
  run.sender_.Fail(0, Verdict::MayHaveRun, Reason::ConnectionLost);
  EXPECT_EQ(run.sender_.Sent().size(), 5U);
  run.sender_.Fail(1, Verdict::MayHaveRun, Reason::ConnectionLost);
  run.sender_.Fail(4, Verdict::MayHaveRun, Reason::ConnectionLost);
  run.sender_.Fail(2, Verdict::NotRun, Reason::Overloaded);
  EXPECT_EQ(run.sender_.Sent().size(), 5U);
  run.sender_.Succeed(3);
  ASSERT_TRUE(run.answer_);
  EXPECT_EQ(run.answer_->verdict_, Verdict::MayHaveRun);
  EXPECT_EQ(run.answer_->missing_.size(), 3U);
  ASSERT_EQ(run.crashes_.losses_.size(), 3U);
  EXPECT_EQ(run.crashes_.losses_[1].losses_[1].shard_, ShardName("s1"));
  EXPECT_EQ(run.crashes_.losses_[1].losses_[1].inFlight_, 1U);
  EXPECT_EQ(run.crashes_.ended_.size(), 1U);
}

// Guards against a crash that is not blamed because its run had already been answered.
TEST(QueryRun, ReportsAConnectionLossAfterItsAnswer)
{
  ScriptedRun run(1, 2);
  run.Start();
  run.timers_.Advance(Millis(500));
  ASSERT_TRUE(run.answer_);
  run.sender_.Fail(0, Verdict::MayHaveRun, Reason::ConnectionLost);
  EXPECT_EQ(run.crashes_.losses_.size(), 1U);
  EXPECT_EQ(run.answers_, 1U);
}

struct CanaryCase
{
  const char* name_;
  bool crashes_;
  size_t attempts_;
  size_t covered_;
  Verdict verdict_;
};

class Canary : public testing::TestWithParam<CanaryCase>
{};

// Guards against a suspect query that reaches further targets before its canary came back clean.
TEST_P(Canary, RunsOneShardAloneFirst)
{
  const CanaryCase& param = GetParam();
  ScriptedRun run(3, 2);
  run.canaryFirst_ = true;
  run.Start();
  run.timers_.Advance(Millis(150));
  ASSERT_EQ(run.sender_.Sent().size(), 1U);
  EXPECT_TRUE(run.sender_.Sent()[0].alone_);
  if (param.crashes_) {
    run.sender_.Fail(0, Verdict::MayHaveRun, Reason::ConnectionLost);
  } else {
    run.sender_.Succeed(0);
    run.SucceedFrom(1);
    EXPECT_FALSE(run.sender_.Sent()[1].alone_);
  }
  ASSERT_TRUE(run.answer_);
  EXPECT_EQ(run.sender_.Sent().size(), param.attempts_);
  EXPECT_EQ(run.answer_->covered_.size(), param.covered_);
  EXPECT_EQ(run.answer_->missing_.size(), 3 - param.covered_);
  EXPECT_EQ(run.answer_->verdict_, param.verdict_);
  ASSERT_EQ(run.crashes_.ended_.size(), 1U);
  EXPECT_EQ(run.crashes_.ended_[0].canarySucceeded_, !param.crashes_);
  EXPECT_EQ(run.crashes_.ended_[0].losses_.size(), param.crashes_ ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(Outcomes,
                         Canary,
                         testing::Values(CanaryCase{ "Clean", false, 3, 3, Verdict::Ran },
                                         CanaryCase{ "Crash", true, 1, 0, Verdict::MayHaveRun }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

struct TokenCase
{
  const char* name_;
  Reason reason_;
  bool touched_;
  size_t attempts_;
};

class EmptyBudget : public testing::TestWithParam<TokenCase>
{};

// Guards against extra attempts beyond the budget, and against a token charged for a refusal that reached no target or
// that is due to the state of one replica: a change of index versions then left shards uncovered.
TEST_P(EmptyBudget, AllowsOnlyRetriesThatCostNoToken)
{
  const TokenCase& param = GetParam();
  ScriptedRun run(1, 2);
  while (run.state_.budget_.TryTake()) {
  }
  run.Start();
  run.sender_.Fail(0, Verdict::NotRun, param.reason_, param.touched_);
  run.timers_.Advance(Millis(400));
  EXPECT_EQ(run.sender_.Sent().size(), param.attempts_);
  EXPECT_FALSE(run.answer_);
  // A retry that waits starts once other queries have earned a token.
  for (unsigned query = 0; query < 40; query++) {
    run.state_.budget_.OnFirstAttempt();
  }
  run.timers_.Advance(Millis(99));
  EXPECT_EQ(run.sender_.Sent().size(), 2U);
}

INSTANTIATE_TEST_SUITE_P(Refusals,
                         EmptyBudget,
                         testing::Values(TokenCase{ "OverloadedTarget", Reason::Overloaded, true, 1 },
                                         TokenCase{ "OverloadedOwner", Reason::Overloaded, false, 2 },
                                         TokenCase{ "VersionNotHeld", Reason::VersionNotHeld, true, 2 },
                                         TokenCase{ "Draining", Reason::Draining, true, 2 }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

} // namespace
} // namespace ibisrock
