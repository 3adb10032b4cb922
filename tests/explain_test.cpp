#include "cli/command_line.h"
#include "cli/request_story.h"

#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <unistd.h>

namespace ibisrock::cli {
namespace {

constexpr const char* kLog =
  "t=10.000000 level=info instance=entry-1 part=process event=started version=\"ibisrock-entry 0.2.0\"\n"
  "t=11.500000 level=info instance=entry-1 part=discovery event=configuration_in_force version=7 routes=12\n"
  "t=11.600000 level=warning instance=entry-2 part=discovery event=store_lost\n"
  "t=11.700000 level=warning instance=entry-1 part=discovery event=store_era_began era=3 previous=2\n"
  "t=12.000000 level=info instance=entry-1 part=router event=attempt_failed request=r1 pool=p target=i-1 "
  "verdict=not-run reason=connect-failed status=0 took=400.1ms in_flight=2 slowness=6.1 extra=yes\n"
  "t=12.200000 level=info instance=entry-1 part=router event=ended request=r1 route=x config=7 status=502 "
  "verdict=may-have-run reason=no-replica took=400.5ms time_left=2500.0ms shards=20 missing=0 attempts=21 extra=1 "
  "missing_pools=p,q (3 more since the last such line)\n"
  "t=12.100000 level=warning instance=entry-2 part=router event=refused request=r1 host=h status=503 reason=not-ready "
  "config=0\n"
  "t=12.300000 level=warning instance=entry-1 part=router event=hopeless_wait request=r2 pool=p waiting=9 "
  "expected=never left=80.0ms pools_in_time=17 pools_needed=18\n"
  "t=12.400000 level=info instance=entry-1 part=router event=target_notice request=r3 target=i-2 leaving=yes "
  "pause=2500.0ms\n";

struct RequestCase
{
  const char* name_;
  const char* request_;
  /// Substrings that the explanation must contain, and one that it must not.
  std::vector<std::string> expected_;
  const char* unwanted_;
};

class ExplainRequest : public testing::TestWithParam<RequestCase>
{};

/// Guards against explanations that omit the inputs of a decision or include lines of another request.
TEST_P(ExplainRequest, ReportsDecisionInputs)
{
  RequestStory explanation(GetParam().request_);
  std::istringstream log(kLog);
  explanation.Read(log);
  std::string text;
  for (const std::string& line : explanation.Lines()) {
    text += line + "\n";
  }
  for (const std::string& part : GetParam().expected_) {
    EXPECT_NE(text.find(part), std::string::npos) << part << " is missing in\n" << text;
  }
  EXPECT_EQ(text.find(GetParam().unwanted_), std::string::npos) << text;
  EXPECT_EQ(explanation.LeftOutCount(), 3U);
}

INSTANTIATE_TEST_SUITE_P(
  Explain,
  ExplainRequest,
  testing::Values(RequestCase{ "Failed",
                               "r1",
                               { "instance entry-1",
                                 "knew since 0.500 s: configuration_in_force routes=12 version=7",
                                 "knew since 0.300 s: store_era_began era=3 previous=2",
                                 "+0.000 s attempt at target i-1 of pool p (hedge or retry) failed: connect-failed",
                                 "+0.200 s answered with 502 after 400.5ms of 2500.0ms",
                                 "without a reply: p,q",
                                 "instance entry-2",
                                 "knew since 0.500 s: store_lost",
                                 "refused with 503 before any target was asked: not-ready" },
                               "hopeless" },
                  RequestCase{ "HopelessWait",
                               "r2",
                               { "pool p with 9 waiting calls replies after never", "17 of 18 needed" },
                               "attempt" },
                  RequestCase{
                    "TargetNotice",
                    "r3",
                    { "target i-2 said beside its answer that it leaves and that it wants nothing for 2500.0ms" },
                    "attempt" }),
  [](const auto& aCase) { return aCase.param.name_; });

struct LineCase
{
  const char* name_;
  const char* text_;
  bool isParsed_;
};

class ExplainLogLine : public testing::TestWithParam<LineCase>
{};

/// Guards against log lines of other programs that stop the parser, and against prefixes added by log collectors that
/// make lines unrecognizable.
TEST_P(ExplainLogLine, IsParsedOrSkipped)
{
  const auto line = ParseLogLine(GetParam().text_);
  ASSERT_EQ(line.has_value(), GetParam().isParsed_);
  if (line) {
    EXPECT_EQ(line->event_, "e");
    EXPECT_DOUBLE_EQ(line->time_, 1.5);
  }
}

INSTANTIATE_TEST_SUITE_P(
  Explain,
  ExplainLogLine,
  testing::Values(LineCase{ "Plain", "t=1.5 instance=a event=e", true },
                  LineCase{ "Prefix", "12:00 machine-1 t=1.5 instance=a event=e", true },
                  LineCase{ "CarriageReturn", "t=1.5 instance=a event=e\r", true },
                  LineCase{ "QuotedSpaces", "t=1.5 instance=a reason=\"t=3 event=x\" event=e", true },
                  LineCase{ "OpenQuote", "t=1.5 instance=a event=e reason=\"cut", true },
                  LineCase{ "Empty", "", false },
                  LineCase{ "NoTime", "instance=a event=e", false },
                  LineCase{ "TimeIsText", "t=soon instance=a event=e", false },
                  LineCase{ "NoEvent", "t=1.5 instance=a", false },
                  LineCase{ "OtherProgram", "{\"message\": \"hello\"}", false }),
  [](const auto& aCase) { return aCase.param.name_; });

/// Guards against a wrong request id or file that is mistaken for a request without log lines.
TEST(Explain, ReportsUnknownRequestAndUnreadableFile)
{
  const std::string path = testing::TempDir() + "ibisrock_explain_" + std::to_string(getpid());
  std::ofstream(path) << kLog;
  std::ostringstream out;
  std::ostringstream err;
  EXPECT_EQ(RunCommandLine({ "explain", "r1", path }, out, err), ExitCode::Done);
  EXPECT_NE(out.str().find("answered with 502"), std::string::npos);
  EXPECT_NE(err.str().find("left out 3 lines"), std::string::npos);
  EXPECT_EQ(RunCommandLine({ "explain", "r9", path }, out, err), ExitCode::Failed);
  EXPECT_NE(err.str().find("none of 9 log lines names request r9"), std::string::npos);
  EXPECT_EQ(RunCommandLine({ "explain", "r1", path + ".no" }, out, err), ExitCode::BadInput);
  EXPECT_NE(err.str().find(".no: cannot be read"), std::string::npos);
  std::remove(path.c_str());
}

} // namespace
} // namespace ibisrock::cli
