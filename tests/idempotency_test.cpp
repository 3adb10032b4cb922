#include "fakes/fake_store.h"
#include "process/idempotency.h"

#include <gtest/gtest.h>

namespace ibisrock {
namespace {

using fakes::FakeStore;
using fakes::StoreFaults;

/// The managers of two instances over one store.
class IdempotencyTest : public testing::Test
{
protected:
  static Query MakeQuery(const std::string& aBody)
  {
    Query query;
    query.service_ = ServiceName("bestelbalie");
    query.caller_ = CallerName("desk/1");
    query.body_ = aBody;
    query.idempotent_ = false;
    query.key_ = IdempotencyKey("order 418");
    return query;
  }

  static Answer MakeAnswer(Verdict aVerdict)
  {
    Answer answer;
    answer.verdict_ = aVerdict;
    answer.covered_ = { ShardName("s0") };
    answer.matches_ = { { "a", "text" } };
    return answer;
  }

  KeyClaimResult Claim(IdempotencyManager& aManager, uint64_t aSequence, const std::string& aBody = "book")
  {
    std::optional<KeyClaimResult> decision;
    aManager.Claim(MakeQuery(aBody),
                   { InstanceId("entry"), Incarnation(1), aSequence },
                   [&decision](KeyClaimResult aDecision) { decision = std::move(aDecision); });
    timers_.Advance(Seconds(1));
    return *decision;
  }

  ManualTimerService timers_;
  FakeStore store_{ timers_ };
  IdempotencyManager first_{ timers_, store_ };
  IdempotencyManager second_{ timers_, store_ };
};

// Guards against running a request again while the holder of its key is paused or its outcome is unknown.
TEST_F(IdempotencyTest, ClaimedKeyIsNotTakenOver)
{
  ASSERT_TRUE(Claim(first_, 1).claim_);
  timers_.Advance(Seconds(86400));
  const KeyClaimResult decision = Claim(second_, 2);
  ASSERT_TRUE(decision.answer_);
  EXPECT_EQ(decision.answer_->verdict_, Verdict::MayHaveRun);
  EXPECT_EQ(decision.answer_->reason_, Reason::KeyInProgress);
}

// Guards against running a completed request again instead of replaying its answer.
TEST_F(IdempotencyTest, RecordedAnswerIsReplayed)
{
  const KeyClaimResult held = Claim(first_, 1);
  first_.Finish(*held.claim_, MakeAnswer(Verdict::Ran));
  timers_.Advance(Seconds(1));
  const KeyClaimResult decision = Claim(second_, 2);
  ASSERT_TRUE(decision.answer_);
  EXPECT_EQ(decision.answer_->verdict_, Verdict::Ran);
  EXPECT_EQ(decision.answer_->matches_.size(), 1U);
  EXPECT_EQ(first_.PendingOutcomes(), 0U);
}

// Guards against a key that stays claimed although its request is proven not to have run.
TEST_F(IdempotencyTest, ReleasedKeyIsClaimedOnce)
{
  const KeyClaimResult held = Claim(first_, 1);
  first_.Finish(*held.claim_, MakeAnswer(Verdict::NotRun));
  timers_.Advance(Seconds(1));
  EXPECT_TRUE(Claim(second_, 2).claim_);
  EXPECT_FALSE(Claim(first_, 3).claim_);
}

// Guards against treating two different requests with the same key as one.
TEST_F(IdempotencyTest, DifferentBodyWithSameKeyIsAConflict)
{
  ASSERT_TRUE(Claim(first_, 1).claim_);
  const KeyClaimResult decision = Claim(second_, 2, "cancel");
  ASSERT_TRUE(decision.answer_);
  EXPECT_EQ(decision.answer_->verdict_, Verdict::NotRun);
  EXPECT_EQ(decision.answer_->reason_, Reason::KeyConflict);
}

struct StoreFaultCase
{
  const char* name_;
  StoreFaults faults_;
  bool claimed_;
};

class ClaimDuringStoreFault
  : public IdempotencyTest
  , public testing::WithParamInterface<StoreFaultCase>
{};

// Guards against the verdict NotRun during a store outage, when an earlier submission with the same key may have run,
// and against losing a claim whose write succeeded but whose reply was lost.
TEST_P(ClaimDuringStoreFault, IsResolvedOrRefused)
{
  store_.SetFaults(GetParam().faults_);
  const KeyClaimResult decision = Claim(first_, 1);
  EXPECT_EQ(decision.claim_.has_value(), GetParam().claimed_);
  if (!decision.claim_) {
    EXPECT_EQ(decision.answer_->verdict_, Verdict::MayHaveRun);
    EXPECT_EQ(decision.answer_->reason_, Reason::StoreUnavailable);
  }
}

INSTANTIATE_TEST_SUITE_P(Faults,
                         ClaimDuringStoreFault,
                         testing::Values(StoreFaultCase{ "Outage", { .outage_ = true }, false },
                                         StoreFaultCase{ "LostAnswer", { .lostAnswers_ = 1 }, true }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

// Guards against losing an outcome because the store was unavailable when the request ended.
TEST_F(IdempotencyTest, OutcomeIsRecordedAfterAnOutage)
{
  const KeyClaimResult held = Claim(first_, 1);
  store_.SetFaults({ .outage_ = true });
  first_.Finish(*held.claim_, MakeAnswer(Verdict::Ran));
  timers_.Advance(Seconds(20));
  EXPECT_EQ(first_.PendingOutcomes(), 1U);
  store_.SetFaults({});
  timers_.Advance(Seconds(20));
  EXPECT_EQ(first_.PendingOutcomes(), 0U);
  EXPECT_TRUE(Claim(second_, 2).answer_);
}

// Guards against keyed requests that exceed their share of the store's write rate.
TEST_F(IdempotencyTest, WritesStayWithinRateLimit)
{
  first_.SetWriteRate(PerSecond{ 4 });
  unsigned claimed = 0;
  for (uint64_t sequence = 1; sequence <= 100; sequence++) {
    Query query = MakeQuery("book");
    query.key_ = IdempotencyKey(std::to_string(sequence));
    first_.Claim(query, { InstanceId("entry"), Incarnation(1), sequence }, [&claimed](const KeyClaimResult& aDecision) {
      claimed += aDecision.claim_ ? 1 : 0;
    });
    timers_.Advance(Millis(100));
  }
  EXPECT_LE(claimed, 22U);
  EXPECT_GE(claimed, 18U);
}

} // namespace
} // namespace ibisrock
