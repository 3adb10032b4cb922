#include "history/checker.h"

#include <gtest/gtest.h>
#include <set>

namespace ibisrock::history {
namespace {

const ServiceName kService("dockdesk");
const ShardName kShardA("a");
const ShardName kShardB("b");
const TargetName kTarget("t");
const InstanceId kInstance("entry-0");
const RequestId kRequest{ kInstance, Incarnation(1), 1 };

TimePoint
At(int aSeconds)
{
  return TimePoint(Seconds(aSeconds));
}

ExecutedAttempt
Execution(const ShardName& aShard, uint32_t aNumber, TimePoint aAt)
{
  return { aAt, kTarget, aShard, { kRequest, aNumber }, "op" };
}

/// One whole, correct answer over two shards.
History
GoodHistory()
{
  History history;
  history.shardMaps_[kService][IndexVersion(1)] = { kShardA, kShardB };
  history.executions_ = { Execution(kShardA, 0, At(10)), Execution(kShardB, 1, At(10)) };
  ReceivedAnswer answer;
  answer.at_ = At(11);
  answer.request_ = kRequest;
  answer.verdict_ = Verdict::Ran;
  answer.version_ = IndexVersion(1);
  answer.config_ = ConfigVersion(1);
  answer.covered_ = { kShardA, kShardB };
  answer.matches_ = { { kShardA, IndexVersion(1), "op" }, { kShardB, IndexVersion(1), "op" } };
  history.submissions_ = { { SubmissionId(1), At(10), kInstance, kService, "op", true, {}, { answer } } };
  history.accepted_ = { { ConfigVersion(1), At(1) } };
  history.seen_ = { { kInstance, ConfigVersion(1), At(10) } };
  history.endedAt_ = At(100);
  return history;
}

ReceivedAnswer&
AnswerOf(History& aHistory)
{
  return aHistory.submissions_.front().answers_.front();
}

struct CheckerCase
{
  const char* name_;
  /// Empty when the history is good.
  std::set<std::string> promises_;
  void (*change_)(History&);
};

class Checker : public testing::TestWithParam<CheckerCase>
{};

// Guards against a checker that accepts everything: each rule must reject a history that breaks it alone.
TEST_P(Checker, RejectsExactlyTheBrokenPromise)
{
  History history = GoodHistory();
  GetParam().change_(history);
  std::set<std::string> found;
  for (const Violation& violation : CheckHistory(history, CheckLimits{})) {
    found.insert(violation.promise_);
  }
  EXPECT_EQ(found, GetParam().promises_);
}

INSTANTIATE_TEST_SUITE_P(
  Histories,
  Checker,
  testing::Values(
    CheckerCase{ "Good", {}, [](History&) {} },
    CheckerCase{ "MixedVersions",
                 { "P1" },
                 [](History& aHistory) { AnswerOf(aHistory).matches_[0].version_ = IndexVersion(2); } },
    CheckerCase{ "ShardHidden",
                 { "P2" },
                 [](History& aHistory) {
                   AnswerOf(aHistory).covered_.erase(kShardB);
                   AnswerOf(aHistory).matches_.pop_back();
                 } },
    CheckerCase{ "PartialButTrue",
                 {},
                 [](History& aHistory) {
                   AnswerOf(aHistory).covered_.erase(kShardB);
                   AnswerOf(aHistory).missing_.insert(kShardB);
                   AnswerOf(aHistory).matches_.pop_back();
                 } },
    CheckerCase{ "CoveredWithoutMatch", { "P2" }, [](History& aHistory) { AnswerOf(aHistory).matches_.pop_back(); } },
    CheckerCase{ "CoveredWithoutRun", { "P2" }, [](History& aHistory) { aHistory.executions_.pop_back(); } },
    CheckerCase{ "DoubledMatch",
                 { "P2" },
                 [](History& aHistory) { AnswerOf(aHistory).matches_.push_back(AnswerOf(aHistory).matches_[0]); } },
    CheckerCase{ "OtherCallersMatch",
                 { "P3" },
                 [](History& aHistory) { AnswerOf(aHistory).matches_[0].operation_ = "other"; } },
    CheckerCase{ "AnsweredTwice",
                 { "P3" },
                 [](History& aHistory) { aHistory.submissions_[0].answers_.push_back(AnswerOf(aHistory)); } },
    CheckerCase{ "NeverAnswered", { "P3" }, [](History& aHistory) { aHistory.submissions_[0].answers_.clear(); } },
    CheckerCase{ "LateAnswer", { "P3" }, [](History& aHistory) { AnswerOf(aHistory).at_ = At(50); } },
    CheckerCase{ "FalseNotRun",
                 { "P4" },
                 [](History& aHistory) {
                   ReceivedAnswer& answer = AnswerOf(aHistory);
                   answer.verdict_ = Verdict::NotRun;
                   answer.covered_.clear();
                   answer.matches_.clear();
                 } },
    CheckerCase{ "FalseNotRunOfResend",
                 { "P4" },
                 [](History& aHistory) {
                   Submission& first = aHistory.submissions_[0];
                   first.idempotent_ = false;
                   first.key_ = IdempotencyKey("k");
                   Submission resend = first;
                   resend.id_ = SubmissionId(2);
                   ReceivedAnswer& answer = resend.answers_[0];
                   answer.request_.sequence_ = 2;
                   answer.verdict_ = Verdict::NotRun;
                   answer.covered_.clear();
                   answer.missing_ = { kShardA, kShardB };
                   answer.matches_.clear();
                   aHistory.submissions_.push_back(resend);
                 } },
    CheckerCase{ "SecondRun",
                 { "P5" },
                 [](History& aHistory) {
                   aHistory.submissions_[0].idempotent_ = false;
                   aHistory.executions_.push_back(Execution(kShardA, 2, At(11)));
                 } },
    CheckerCase{ "SecondRunOfKey",
                 { "P5" },
                 [](History& aHistory) {
                   aHistory.submissions_[0].idempotent_ = false;
                   aHistory.submissions_[0].key_ = IdempotencyKey("k");
                   ExecutedAttempt again = Execution(kShardA, 0, At(11));
                   again.attempt_.request_.sequence_ = 2;
                   aHistory.executions_.push_back(again);
                 } },
    CheckerCase{ "WorkOnLeavingTarget",
                 { "P6" },
                 [](History& aHistory) {
                   aHistory.leaving_.push_back({ kTarget, At(5), std::nullopt });
                 } },
    CheckerCase{ "WorkSoonAfterLeaving",
                 {},
                 [](History& aHistory) {
                   aHistory.leaving_.push_back({ kTarget, At(9), std::nullopt });
                 } },
    CheckerCase{ "CutOffByPlannedStop",
                 { "P7" },
                 [](History& aHistory) {
                   aHistory.submissions_[0].answers_.clear();
                   aHistory.ends_.push_back({ kInstance, At(11), true });
                 } },
    CheckerCase{ "CutOffByCrash",
                 {},
                 [](History& aHistory) {
                   aHistory.submissions_[0].answers_.clear();
                   aHistory.ends_.push_back({ kInstance, At(11), false });
                 } },
    CheckerCase{
      "ConfigReverts",
      { "P8" },
      [](History& aHistory) {
        aHistory.seen_ = { { kInstance, ConfigVersion(2), At(10) }, { kInstance, ConfigVersion(1), At(11) } };
      } },
    CheckerCase{ "ConfigLate",
                 { "P8" },
                 [](History& aHistory) {
                   aHistory.accepted_.push_back({ ConfigVersion(2), At(2) });
                   aHistory.seen_.clear();
                 } },
    CheckerCase{ "ConfigMissingOnInstance",
                 { "P8" },
                 [](History& aHistory) {
                   aHistory.accepted_.push_back({ ConfigVersion(2), At(12) });
                   aHistory.seen_.push_back({ kInstance, ConfigVersion(1), At(20) });
                 } }),
  [](const auto& aInfo) { return aInfo.param.name_; });

} // namespace
} // namespace ibisrock::history
