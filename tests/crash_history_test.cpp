#include "process/crash_history.h"
#include "router_fixture.h"

namespace ibisrock {
namespace {

using tests::Failure;
using tests::RouterFixture;
using tests::Success;

CallerRequest
Request(const std::string& aPath)
{
  CallerRequest request;
  request.method_ = "GET";
  request.host_ = "h";
  request.target_ = aPath;
  return request;
}

enum class Event : uint8_t
{
  /// A run that began after all events before has crashed a target.
  Crash,
  /// One that began before the last crash has.
  CrashOfSameWave,
  Answer,
  /// Another instance has seen two crashes, or an answer.
  ReportOfTwo,
  ReportOfAnswer,
  TenMinutes,
};

struct HistoryCase
{
  const char* name_;
  std::vector<Event> events_;
  CrashPrecaution expected_;
};

class CrashesOfARequest : public testing::TestWithParam<HistoryCase>
{};

/// Guards against a request that crashes targets without end, and against sound requests that are refused because they
/// shared a target with it.
TEST_P(CrashesOfARequest, DecideHowItMayRun)
{
  ManualTimerService timers;
  CrashHistory history(timers);
  const CallerRequest request = Request("/a");
  TimePoint lastCrash = timers.Now();
  for (const Event event : GetParam().events_) {
    timers.Advance(Millis(100));
    switch (event) {
      case Event::Crash:
        history.OnCrash(request, timers.Now());
        timers.Advance(Millis(10));
        lastCrash = timers.Now();
        break;
      case Event::CrashOfSameWave:
        history.OnCrash(request, lastCrash - Millis(50));
        break;
      case Event::Answer:
        history.OnAnswered(request);
        break;
      case Event::ReportOfTwo:
        history.OnReport({ RequestFingerprint(request), 2, {} });
        break;
      case Event::ReportOfAnswer:
        history.OnReport({ RequestFingerprint(request), 0, {} });
        break;
      case Event::TenMinutes:
        timers.Advance(CrashHistory::kRefuseTime);
        break;
    }
  }
  EXPECT_EQ(history.Check(request), GetParam().expected_);
  EXPECT_EQ(history.RefusedFor(request) > Micros::zero(), GetParam().expected_ == CrashPrecaution::Refuse);
  EXPECT_EQ(history.Check(Request("/b")), CrashPrecaution::None);
}

INSTANTIATE_TEST_SUITE_P(
  CrashHistory,
  CrashesOfARequest,
  testing::Values(
    HistoryCase{ "None", {}, CrashPrecaution::None },
    HistoryCase{ "One", { Event::Crash }, CrashPrecaution::SingleAttempts },
    HistoryCase{ "Three", { Event::Crash, Event::Crash, Event::Crash }, CrashPrecaution::Refuse },
    HistoryCase{ "ManyOfOneWave",
                 { Event::Crash, Event::CrashOfSameWave, Event::CrashOfSameWave, Event::CrashOfSameWave },
                 CrashPrecaution::SingleAttempts },
    HistoryCase{ "AnsweredBetween",
                 { Event::Crash, Event::Crash, Event::Answer, Event::Crash },
                 CrashPrecaution::SingleAttempts },
    HistoryCase{ "OneAfterAReport", { Event::ReportOfTwo, Event::Crash }, CrashPrecaution::Refuse },
    HistoryCase{ "AnsweredElsewhere",
                 { Event::Crash, Event::Crash, Event::Crash, Event::ReportOfAnswer },
                 CrashPrecaution::None },
    HistoryCase{ "LongAgo", { Event::Crash, Event::Crash, Event::Crash, Event::TenMinutes }, CrashPrecaution::None }),
  [](const auto& aInfo) { return aInfo.param.name_; });

/// Guards against reports that keep one another alive for ever.
TEST(CrashHistory, ReportsKeepTheAgeOfTheCrash)
{
  ManualTimerService timers;
  CrashHistory first(timers);
  CrashHistory second(timers);
  const CallerRequest request = Request("/a");
  first.OnReport({ RequestFingerprint(request), CrashHistory::kMaxCrashes, {} });
  for (int minute = 0; minute < 12; minute++) {
    timers.Advance(Seconds(60));
    for (const CrashReport& report : first.Reports(10)) {
      second.OnReport(report);
    }
    for (const CrashReport& report : second.Reports(10)) {
      first.OnReport(report);
    }
  }
  EXPECT_EQ(first.Check(request), CrashPrecaution::None);
  EXPECT_EQ(second.Check(request), CrashPrecaution::None);
}

/// Answers each call to a target by the loss of its connection, after which the target cannot be reached.
size_t
CrashTargets(RouterFixture& aFixture, size_t aFrom)
{
  for (; aFrom < aFixture.link_.sent_.size(); aFrom++) {
    aFixture.link_.unreachable_.insert(aFixture.link_.sent_[aFrom].call_.target_.Value());
    aFixture.link_.End(aFrom, Failure(Verdict::MayHaveRun, Reason::ConnectionLost));
  }
  return aFrom;
}

struct CrashingCase
{
  const char* name_;
  std::string path_;
  /// Calls to targets by all copies of the request together.
  size_t maxCalls_;
};

class CrashingRequest : public testing::TestWithParam<CrashingCase>
{};

/// Guards against a request that comes again and again and crashes each target that begins to run it: at most three
/// runs reach targets, the later ones with one attempt and, of a gathered request, at one shard.
TEST_P(CrashingRequest, ReachesFewTargets)
{
  constexpr size_t kShards = 4;
  RouterFixture fixture;
  fixture.SetRoutes({ RouterFixture::RelayRoute(RequestKind::Idempotent), RouterFixture::GatherRoute(kShards, 0.5) });
  fixture.SetTargets({ "pool", "shard-0", "shard-1", "shard-2", "shard-3" }, 4);
  size_t ended = 0;
  for (int copy = 0; copy < 10; copy++) {
    fixture.Submit(GetParam().path_);
    ended = CrashTargets(fixture, ended);
    fixture.timers_.Advance(Seconds(4));
    fixture.link_.unreachable_.clear();
  }
  EXPECT_EQ(fixture.replies_.size(), 10U);
  EXPECT_LE(fixture.link_.sent_.size(), GetParam().maxCalls_);
  EXPECT_EQ(fixture.replies_.back().status_, 503U);
  EXPECT_GT(fixture.replies_.back().retryAfter_.value_or(Micros::zero()), Seconds(500));
}

INSTANTIATE_TEST_SUITE_P(Router,
                         CrashingRequest,
                         testing::Values(CrashingCase{ "Relayed", "/relay/x", 2 + 1 + 1 },
                                         CrashingCase{ "Gathered", "/gather/x", 2 * 4 + 1 + 1 }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

/// Guards against sound requests that are refused because of resets: their targets can be reached right after.
TEST(Router, LostConnectionsToTargetsThatLiveAreNoCrashes)
{
  RouterFixture fixture;
  fixture.SetRoutes({ RouterFixture::RelayRoute(RequestKind::NonIdempotent) });
  fixture.SetTargets({ "pool" }, 4);
  for (size_t copy = 0; copy < 10; copy++) {
    fixture.Submit("/relay/x");
    ASSERT_EQ(fixture.link_.sent_.size(), copy + 1);
    fixture.link_.End(copy, Failure(Verdict::MayHaveRun, Reason::ConnectionLost));
    fixture.timers_.Advance(Millis(100));
  }
  EXPECT_EQ(fixture.router_.Crashes().Size(), 0U);
}

/// Guards against a gathered request under suspicion that is not answered although it is sound: after the first shard
/// all others are asked, and the answer clears it.
TEST(Router, SuspectedGatherIsAnsweredShardByShard)
{
  RouterFixture fixture;
  fixture.SetRoutes({ RouterFixture::GatherRoute(3, 1) });
  fixture.SetShardTargets(3, 2);
  CallerRequest request = Request("/gather/x");
  request.host_ = "host.example";
  fixture.router_.Crashes().OnReport({ RequestFingerprint(request), 1, {} });
  fixture.Submit("/gather/x");
  ASSERT_EQ(fixture.link_.sent_.size(), 1U);
  fixture.link_.End(0, Success("0123456789abcdef"));
  ASSERT_EQ(fixture.link_.sent_.size(), 3U);
  fixture.link_.End(1, Success("0123456789abcdef"));
  fixture.link_.End(2, Success("0123456789abcdef"));
  ASSERT_EQ(fixture.replies_.size(), 1U);
  EXPECT_EQ(fixture.replies_[0].status_, 200U);
  EXPECT_EQ(fixture.replies_[0].missingShards_, 0U);
  EXPECT_EQ(fixture.router_.Crashes().Size(), 0U);
}

} // namespace
} // namespace ibisrock
