#include "line_sink.h"
#include "process/answer_log.h"

#include <gtest/gtest.h>

namespace ibisrock {
namespace {

Answer
MakeRefusal(Reason aReason)
{
  Answer answer;
  answer.request_ = { InstanceId("entry-0"), Incarnation(7), 42 };
  answer.reason_ = aReason;
  return answer;
}

// Guards against one reason that floods the log, and against a frequent reason that suppresses lines of another.
TEST(AnswerLog, LimitsEachReasonAndCountsSuppressedLines)
{
  ManualTimerService timers;
  LineSink sink;
  AnswerLog log(timers, &sink);
  for (int i = 0; i < 5; i++) {
    log.OnAnswer(ServiceName("dockdesk"), MakeRefusal(Reason::OverLimit));
  }
  log.OnAnswer(ServiceName("dockdesk"), MakeRefusal(Reason::NotReady));
  ASSERT_EQ(sink.lines_.size(), 2U);
  EXPECT_EQ(sink.lines_[0], "coordinator: entry-0/7/42 for dockdesk not answered: not-run, over-limit");
  timers.Advance(Seconds(10));
  log.OnAnswer(ServiceName("dockdesk"), MakeRefusal(Reason::OverLimit));
  ASSERT_EQ(sink.lines_.size(), 3U);
  EXPECT_NE(sink.lines_[2].find("(4 more since the last such line)"), std::string::npos);
}

// Guards against a partial answer that is not logged, and against logging complete answers.
TEST(AnswerLog, NamesTheMissingShardAndSkipsCompleteAnswers)
{
  ManualTimerService timers;
  LineSink sink;
  AnswerLog log(timers, &sink);
  Answer answer = MakeRefusal(Reason::None);
  answer.verdict_ = Verdict::Ran;
  answer.covered_ = { ShardName("s01") };
  log.OnAnswer(ServiceName("dockdesk"), answer);
  EXPECT_TRUE(sink.lines_.empty());
  answer.missing_[ShardName("s00")] = Reason::ConnectFailed;
  log.OnAnswer(ServiceName("dockdesk"), answer);
  ASSERT_EQ(sink.lines_.size(), 1U);
  EXPECT_NE(sink.lines_[0].find("1 of 2 shards missing, first s00: ran, connect-failed"), std::string::npos);
}

// Guards against log injection by a caller through a service name that contains a line break.
TEST(AnswerLog, SanitizesServiceNames)
{
  ManualTimerService timers;
  LineSink sink;
  AnswerLog log(timers, &sink);
  log.OnAnswer(ServiceName("x\nERROR forged"), MakeRefusal(Reason::UnknownService));
  ASSERT_EQ(sink.lines_.size(), 1U);
  EXPECT_EQ(sink.lines_[0].find('\n'), std::string::npos);
}

} // namespace
} // namespace ibisrock
