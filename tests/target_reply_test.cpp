#include "adapters/http_target_client.h"
#include "adapters/target_protocol.h"

#include <gtest/gtest.h>

namespace ibisrock::adapters {
namespace {

struct ReplyCase
{
  const char* name_;
  Verdict called_;
  unsigned status_;
  std::string notRun_;
  std::string body_;
  Verdict expected_;
  size_t matches_;
};

class TargetReplyOf : public testing::TestWithParam<ReplyCase>
{};

// Guards against a false "not run": only a connect failure or the target's own mark may give it.
// Guards against matches that are lost while a body is read.
TEST_P(TargetReplyOf, GivesTheVerdictThatIsKnown)
{
  const ReplyCase& param = GetParam();
  HttpOutcome outcome;
  outcome.verdict_ = param.called_;
  outcome.status_ = param.status_;
  outcome.body_ = param.body_;
  if (!param.notRun_.empty()) {
    outcome.headers_[kNotRunHeader] = param.notRun_;
  }
  const TargetReply reply = ToTargetReply(outcome);
  EXPECT_EQ(reply.verdict_, param.expected_);
  EXPECT_EQ(reply.matches_.size(), param.matches_);
}

constexpr const char* kTwoMatches = R"({"matches":[{"id":"a","text":"x"},{"id":"b","text":"y"}]})";

INSTANTIATE_TEST_SUITE_P(
  Outcomes,
  TargetReplyOf,
  testing::Values(ReplyCase{ "Whole", Verdict::Ran, 200, "", kTwoMatches, Verdict::Ran, 2 },
                  ReplyCase{ "Truncated", Verdict::Ran, 200, "", R"({"matches":[{"id":)", Verdict::MayHaveRun, 0 },
                  ReplyCase{ "NoMatches", Verdict::Ran, 200, "", "{}", Verdict::MayHaveRun, 0 },
                  ReplyCase{ "Shed", Verdict::Ran, 503, "overloaded", "", Verdict::NotRun, 0 },
                  ReplyCase{ "ErrorWithoutMark", Verdict::Ran, 503, "", "", Verdict::MayHaveRun, 0 },
                  ReplyCase{ "NotConnected", Verdict::NotRun, 0, "", "", Verdict::NotRun, 0 },
                  ReplyCase{ "ConnectionLost", Verdict::MayHaveRun, 0, "", "", Verdict::MayHaveRun, 0 }),
  [](const auto& aInfo) { return aInfo.param.name_; });

} // namespace
} // namespace ibisrock::adapters
