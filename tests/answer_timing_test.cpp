#include "process/reply_lag.h"
#include "request/answer_timing.h"
#include "router_fixture.h"

namespace ibisrock::tests {
namespace {

struct TimingCase
{
  const char* name_;
  Micros timeLeft_;
  bool first_;
  Micros own_;
  Micros cutoff_;
  Micros deadline_;
};

class AnswerTimingTest : public testing::TestWithParam<TimingCase>
{};

/// Guards against answers that are ready within the objective but reach the caller after it. The route has an objective
/// of 100 ms and a timeout of 1 s; the one-way delay to callers is 3 ms.
TEST_P(AnswerTimingTest, LeavesTimeForDelays)
{
  Route route = RouterFixture::MakeRoute("/x/", RequestKind::Idempotent);
  CallerRequest request;
  request.receivedAt_ = TimePoint(Seconds(5));
  request.timeLeft_ = GetParam().timeLeft_;
  request.isFirstOnConnection_ = GetParam().first_;
  const AnswerTiming timing = ComputeAnswerTiming(route, request, { Millis(3), GetParam().own_ });
  EXPECT_EQ(timing.cutoff_ - request.receivedAt_, GetParam().cutoff_);
  EXPECT_EQ(timing.deadline_ - request.receivedAt_, GetParam().deadline_);
}

INSTANTIATE_TEST_SUITE_P(
  AnswerTiming,
  AnswerTimingTest,
  testing::Values(TimingCase{ "Kept", Millis(600), false, Millis(4), Millis(90), Millis(600) },
                  TimingCase{ "NewConnection", Millis(600), true, Millis(4), Millis(84), Millis(600) },
                  TimingCase{ "RouteEndsFirst", Seconds(3), false, Millis(4), Millis(90), Seconds(1) },
                  TimingCase{ "CallerEndsFirst", Millis(50), false, Millis(4), Millis(47), Millis(50) },
                  TimingCase{ "SlowInstance", Millis(600), false, Millis(80), Millis(59), Millis(600) }),
  [](const auto& aInfo) { return aInfo.param.name_; });

/// Guards against a reserved time that one answer in ten exceeds.
TEST(ReplyLag, ReservesTimeForNearlyAllLags)
{
  ReplyLag lag;
  for (int i = 0; i < 400; i++) {
    lag.Observe(i % 10 == 0 ? Millis(8) : Millis(2));
  }
  EXPECT_GE(lag.ReservedTime(), Millis(8));
  for (int i = 0; i < 400; i++) {
    lag.Observe(Micros(200));
  }
  EXPECT_LE(lag.ReservedTime(), Millis(4));
}

/// Models an instance with a fraction of a core, on which 90 replies arrive together and writing each answer takes 10
/// ms. Guards against answers that miss the objective by that time.
TEST(Router, AnswersEarlierWhenRepliesAreWrittenSlowly)
{
  RouterFixture fixture;
  fixture.SetRoutes({ RouterFixture::GatherRoute(4, 0.75) });
  fixture.SetShardTargets(4, 1);
  std::vector<Micros> took;
  for (size_t i = 0; i < 30; i++) {
    auto request = std::make_shared<CallerRequest>();
    request->target_ = "/gather/x";
    request->host_ = "host.example";
    request->receivedAt_ = fixture.timers_.Now();
    const size_t first = fixture.link_.sent_.size();
    fixture.router_.Submit(request, [&fixture, &took, begin = request->receivedAt_](const CallerReply&) {
      fixture.timers_.Advance(Millis(10));
      took.push_back(fixture.timers_.Now() - begin);
    });
    for (size_t part = 0; part < 3; part++) {
      fixture.link_.End(first + part, Success("", "s" + std::to_string(part)));
    }
    fixture.timers_.Advance(Millis(200));
  }
  ASSERT_EQ(took.size(), 30U);
  EXPECT_GT(took.front(), Millis(94));
  EXPECT_LE(took.back(), Millis(94));
}

} // namespace
} // namespace ibisrock::tests
