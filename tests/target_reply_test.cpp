#include "adapters/http_target_client.h"
#include "adapters/target_protocol.h"

#include <gtest/gtest.h>

namespace ibisrock::adapters {
namespace {

struct ReplyCase
{
  const char* name_;
  Verdict attemptVerdict_;
  unsigned status_;
  std::string notRun_;
  std::string body_;
  Verdict expectedVerdict_;
  size_t matchCount_;
};

class TargetReplyConversion : public testing::TestWithParam<ReplyCase>
{};

// Guards against a false NotRun verdict, which only a connect failure or the target's not-run header may give, and
// against matches that are lost when the body is parsed.
TEST_P(TargetReplyConversion, DerivesVerdictAndMatches)
{
  const ReplyCase& param = GetParam();
  HttpOutcome outcome;
  outcome.verdict_ = param.attemptVerdict_;
  outcome.status_ = param.status_;
  outcome.body_ = param.body_;
  if (!param.notRun_.empty()) {
    outcome.headers_[kNotRunHeader] = param.notRun_;
  }
  const TargetReply reply = ToTargetReply(outcome);
  EXPECT_EQ(reply.verdict_, param.expectedVerdict_);
  EXPECT_EQ(reply.matches_.size(), param.matchCount_);
}

constexpr const char* kTwoMatches = R"({"matches":[{"id":"a","text":"x"},{"id":"b","text":"y"}]})";

INSTANTIATE_TEST_SUITE_P(
  Outcomes,
  TargetReplyConversion,
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
