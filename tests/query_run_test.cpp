#include "fakes/scripted_run.h"

#include <gtest/gtest.h>

namespace ibisrock {
namespace {

using fakes::ScriptedRun;

const ShardName kShard0("s0");

struct RunEndCase
{
  const char* name_;
  Priority priority_;
  std::optional<bool> fullCoverage_;
  /// Number of the four shards that never reply.
  unsigned unansweredShards_;
  Millis endsAt_;
};

class EndOfRun : public testing::TestWithParam<RunEndCase>
{};

// Guards against a run that ends earlier or later than its coverage policy requires, and against an answer that reports
// wrong coverage.
TEST_P(EndOfRun, FollowsCoveragePolicy)
{
  const RunEndCase& param = GetParam();
  ScriptedRun run(4, 1);
  run.service_.priority_ = param.priority_;
  run.query_.fullCoverage_ = param.fullCoverage_;
  run.Start();
  run.SucceedFrom(param.unansweredShards_);
  run.timers_.Advance(param.endsAt_ - Micros(1));
  EXPECT_FALSE(run.answer_);
  run.timers_.Advance(Micros(1));
  ASSERT_TRUE(run.answer_);
  EXPECT_EQ(run.answer_->covered_.size(), 4 - param.unansweredShards_);
  EXPECT_EQ(run.answer_->matches_.size(), 4 - param.unansweredShards_);
  EXPECT_EQ(run.answer_->missing_.size(), param.unansweredShards_);
  EXPECT_EQ(run.answer_->missing_.at(kShard0), Reason::TimedOut);
  EXPECT_EQ(run.answer_->verdict_, Verdict::MayHaveRun);
  EXPECT_EQ(run.sender_.Cancelled().size(), param.unansweredShards_);
}

INSTANTIATE_TEST_SUITE_P(
  Policies,
  EndOfRun,
  testing::Values(RunEndCase{ "LatencyPartialCoverage", Priority::Latency, std::nullopt, 1, Millis(200) },
                  RunEndCase{ "LatencyNoCoverage", Priority::Latency, std::nullopt, 4, Millis(500) },
                  RunEndCase{ "LatencyFullCoverageRequested", Priority::Latency, true, 1, Millis(500) },
                  RunEndCase{ "CoveragePriority", Priority::Coverage, std::nullopt, 1, Millis(500) },
                  RunEndCase{ "CoveragePartialRequested", Priority::Coverage, false, 1, Millis(200) }),
  [](const auto& aInfo) { return aInfo.param.name_; });

// Guards against a latency-priority run without any reply at its soft deadline that keeps waiting after the first
// reply.
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
  /// Total number of attempts of the shard.
  size_t attempts_;
  /// Verdict of the answer, given that a retry is never answered.
  Verdict answerVerdict_;
};

class FailedAttempt : public testing::TestWithParam<FailureCase>
{};

// Guards against a retry that runs a non-idempotent query twice (P5), and against a wrong "not run" verdict (P4).
TEST_P(FailedAttempt, IsRetriedOnlyWhenSafe)
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
  EXPECT_EQ(run.answer_->verdict_, param.answerVerdict_);
  EXPECT_EQ(run.answer_->attempts_, param.attempts_);
}

INSTANTIATE_TEST_SUITE_P(
  Kinds,
  FailedAttempt,
  testing::Values(
    FailureCase{ "ConnectionLost", false, Verdict::MayHaveRun, Reason::ConnectionLost, 1, Verdict::MayHaveRun },
    FailureCase{ "TimedOut", false, Verdict::MayHaveRun, Reason::TimedOut, 1, Verdict::MayHaveRun },
    FailureCase{ "Refused", false, Verdict::NotRun, Reason::Overloaded, 2, Verdict::MayHaveRun },
    FailureCase{ "ConnectFailed", false, Verdict::NotRun, Reason::ConnectFailed, 2, Verdict::MayHaveRun },
    FailureCase{ "ConnectionLostIdempotent",
                 true,
                 Verdict::MayHaveRun,
                 Reason::ConnectionLost,
                 2,
                 Verdict::MayHaveRun }),
  [](const auto& aInfo) { return aInfo.param.name_; });

// Guards against a "may have run" verdict although every replica refused the query (P4).
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

// Guards against a straggler that is not hedged, and against a superseded attempt that is not cancelled and keeps
// occupying a slot of its target.
TEST(QueryRun, HedgesAStragglerOnceAndCancelsTheSlowerAttempt)
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

// Guards against a shard that stays uncovered after its first attempt got no reply and its hedge failed, although a
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

// Guards against a shard that stays uncovered because two replicas never reply, although a third could serve it, and
// against a second hedge that starts after the same delay as the first.
TEST(QueryRun, HedgesAgainAfterASlowHedge)
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

// Guards against a hedge that runs a non-idempotent query twice (P5).
TEST(QueryRun, NeverHedgesANonIdempotentQuery)
{
  ScriptedRun run(2, 2);
  run.query_.idempotent_ = false;
  run.Start();
  run.timers_.Advance(Millis(500));
  EXPECT_EQ(run.sender_.Sent().size(), 2U);
}

// Guards against answers that count a shard twice or omit one when replies are late, duplicated or reordered (P3).
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

// Guards against an answer that mixes two index versions (P1) because a target replies with a version other than the
// pinned one.
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

// Guards against an answer that mixes versions (P1) or is needlessly partial, when an index version becomes unavailable
// during a query.
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

// Guards against unlimited restarts, and against a restart of a non-idempotent query (P5).
TEST_P(RestartLimit, EndsWithASingleVersionAnswer)
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

// Guards against a query that crashes targets and is still sent to further ones after two connection losses.
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

// Guards against a connection loss that is not reported to the crash observer because the run had already answered.
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

// Guards against a query suspected of crashing targets that is sent to further shards before its canary succeeded.
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
  bool touchedTarget_;
  size_t attempts_;
};

class EmptyBudget : public testing::TestWithParam<TokenCase>
{};

// Guards against extra attempts beyond the budget, and against charging a token for the retry after a refusal that
// reached no target or that is due to the state of one replica. With such charges, a change of the index version
// exhausted the budget and left shards uncovered.
TEST_P(EmptyBudget, AllowsOnlyRetriesThatNeedNoToken)
{
  const TokenCase& param = GetParam();
  ScriptedRun run(1, 2);
  while (run.state_.budget_.TryTake()) {
  }
  run.Start();
  run.sender_.Fail(0, Verdict::NotRun, param.reason_, param.touchedTarget_);
  run.timers_.Advance(Millis(400));
  EXPECT_EQ(run.sender_.Sent().size(), param.attempts_);
  EXPECT_FALSE(run.answer_);
  // A pending retry starts once other queries have earned a token.
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
