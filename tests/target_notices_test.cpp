#include "process/target_notices.h"

#include "router_fixture.h"

namespace ibisrock {
namespace {

using tests::Failure;
using tests::RouterFixture;
using tests::Success;

constexpr uint64_t kIncarnation = 1000;

TargetRecord
Record(uint64_t aStartedAt, const std::string& aAddress = "10.0.0.1:80")
{
  TargetRecord record = RouterFixture::MakeTarget("pool/0", "pool");
  record.startedAt_ = aStartedAt;
  record.address_ = TargetAddress(aAddress);
  return record;
}

struct IncarnationCase
{
  const char* name_;
  TargetRecord later_;
  bool holds_;
};

class NoticeOfAnIncarnation : public testing::TestWithParam<IncarnationCase>
{};

/// Guards against a target that has said that it leaves and is used again by an older entry, and against a new
/// incarnation that is not used for what an earlier one has said.
TEST_P(NoticeOfAnIncarnation, HoldsUntilTheNextOne)
{
  const TimePoint now{ Seconds(5) };
  TargetNotices notices;
  notices.Add(Record(kIncarnation), { true, Seconds(3) }, now);
  notices.OnRecord(GetParam().later_);
  EXPECT_EQ(notices.IsLeaving(GetParam().later_), GetParam().holds_);
  EXPECT_EQ(notices.PauseEnd(GetParam().later_) > now, GetParam().holds_);
}

INSTANTIATE_TEST_SUITE_P(TargetNotices,
                         NoticeOfAnIncarnation,
                         testing::Values(IncarnationCase{ "SameIncarnation", Record(kIncarnation), true },
                                         IncarnationCase{ "EarlierIncarnation", Record(kIncarnation - 1), true },
                                         IncarnationCase{ "LaterIncarnation", Record(kIncarnation + 1), false },
                                         IncarnationCase{ "OtherAddress", Record(kIncarnation, "10.0.0.2:80"), false }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

/// Guards against a pause of a day that a target asks for by mistake.
TEST(TargetNotices, PauseIsBounded)
{
  TargetNotices notices;
  notices.Add(Record(kIncarnation), { false, Seconds(86'400) }, TimePoint{});
  EXPECT_EQ(notices.PauseEnd(Record(kIncarnation)), TimePoint(TargetNotices::kMaxPause));
}

/// A router with targets "pool/0" and so on, and what they say.
class NoticeFixture : public RouterFixture
{
public:
  explicit NoticeFixture(size_t aTargets)
    : targets_(aTargets)
  {
    SetRoutes({ RelayRoute(RequestKind::Idempotent) });
    ListTargets();
  }

  void ListTargets() { SetTargets({ "pool" }, targets_); }

  /// The target of a call says something in its answer, and has not run the request.
  void TurnAway(size_t aCall, const TargetNotice& aNotice)
  {
    link_.onNotice_(link_.sent_.at(aCall).call_, aNotice);
    link_.End(aCall, Failure(Verdict::NotRun, Reason::Overloaded));
  }

  size_t CallsTo(const std::string& aTarget, size_t aFrom)
  {
    const auto targets = link_.Targets();
    return static_cast<size_t>(
      std::count(targets.begin() + static_cast<std::ptrdiff_t>(aFrom), targets.end(), aTarget));
  }

private:
  const size_t targets_;
};

/// Guards against requests at a target that has said in an answer that it leaves, although discovery still lists it as
/// ready, drops its entry and lists it again.
TEST(Router, SendsNothingToATargetThatHasSaidThatItLeaves)
{
  NoticeFixture fixture(2);
  fixture.Submit("/relay/x");
  const std::string leaving = fixture.link_.Targets()[0];
  fixture.link_.onNotice_(fixture.link_.sent_[0].call_, { true, std::nullopt });
  fixture.link_.End(0, Success("x"));
  const auto serveTen = [&fixture] {
    for (int i = 0; i < 10; i++) {
      fixture.Submit("/relay/x");
      fixture.link_.End(fixture.link_.sent_.size() - 1, Success("x"));
    }
  };
  serveTen();
  fixture.ListTargets();
  serveTen();
  fixture.router_.RemoveTarget(TargetName(leaving));
  fixture.ListTargets();
  serveTen();
  EXPECT_EQ(fixture.CallsTo(leaving, 1), 0U);
  EXPECT_EQ(fixture.replies_.size(), 31U);
  // The next incarnation is used.
  TargetRecord restarted = RouterFixture::MakeTarget(leaving, "pool");
  restarted.startedAt_ = 5;
  fixture.router_.UpsertTarget(restarted);
  fixture.router_.RemoveTarget(TargetName(leaving == "pool/0" ? "pool/1" : "pool/0"));
  fixture.Submit("/relay/x");
  EXPECT_EQ(fixture.link_.Targets().back(), leaving);
}

/// Guards against requests at a target that has turned one away and asked for a pause: retries and new requests go
/// elsewhere, also when discovery lists the target anew, and its share rises gradually afterwards.
TEST(Router, SendsNothingToATargetThatPauses)
{
  NoticeFixture fixture(2);
  fixture.Submit("/relay/x");
  const std::string pausing = fixture.link_.Targets()[0];
  fixture.TurnAway(0, { false, Seconds(2) });
  for (int i = 0; i < 19; i++) {
    fixture.Submit("/relay/x");
    fixture.timers_.Advance(Millis(100));
    fixture.ListTargets();
  }
  EXPECT_EQ(fixture.CallsTo(pausing, 1), 0U);
  fixture.timers_.Advance(Millis(400));
  const size_t before = fixture.link_.sent_.size();
  for (int i = 0; i < 10; i++) {
    fixture.Submit("/relay/x");
  }
  EXPECT_EQ(fixture.CallsTo(pausing, before), 1U);
}

struct AllPauseCase
{
  const char* name_;
  Millis pause_;
  Millis timeLeft_;
  bool isServed_;
};

class AllTargetsPause : public testing::TestWithParam<AllPauseCase>
{};

/// Guards against requests that are held until their deadline although all targets pause for longer, and against a time
/// to return that is not true; those that have the time wait.
TEST_P(AllTargetsPause, RequestIsServedAfterItOrRefusedAtOnce)
{
  const AllPauseCase& test = GetParam();
  NoticeFixture fixture(2);
  for (size_t call = 0; call < 2; call++) {
    fixture.Submit("/relay/x", Millis(900));
    fixture.TurnAway(fixture.link_.sent_.size() - 1, { false, test.pause_ });
  }
  fixture.timers_.Advance(Millis(1));
  const size_t repliesBefore = fixture.replies_.size();
  const size_t callsBefore = fixture.link_.sent_.size();
  const TimePoint submittedAt = fixture.timers_.Now();
  fixture.Submit("/relay/x", test.timeLeft_);
  EXPECT_EQ(fixture.link_.sent_.size(), callsBefore);
  EXPECT_EQ(fixture.replies_.size() > repliesBefore, !test.isServed_);
  if (!test.isServed_) {
    const CallerReply& reply = fixture.replies_.back();
    EXPECT_EQ(reply.status_, 503U);
    EXPECT_GE(reply.retryAfter_.value_or(Micros::zero()), test.pause_ - Millis(1));
    EXPECT_LE(reply.retryAfter_.value_or(Micros::zero()), test.pause_ + Millis(300));
    return;
  }
  while (fixture.link_.sent_.size() == callsBefore && fixture.timers_.Now() - submittedAt < Seconds(2)) {
    fixture.timers_.Advance(Millis(10));
  }
  ASSERT_GT(fixture.link_.sent_.size(), callsBefore);
  EXPECT_GE(fixture.timers_.Now() - submittedAt, test.pause_ - Millis(10));
}

/// Guards against a notice that is lost because the entry of its target is missing when the answer comes.
TEST(Router, KeepsWhatATargetSaysWhileItsEntryIsMissing)
{
  NoticeFixture fixture(1);
  fixture.Submit("/relay/x");
  fixture.router_.RemoveTarget(TargetName("pool/0"));
  fixture.link_.onNotice_(fixture.link_.sent_[0].call_, { true, std::nullopt });
  fixture.link_.End(0, Success("x"));
  fixture.ListTargets();
  fixture.Submit("/relay/x");
  EXPECT_EQ(fixture.CallsTo("pool/0", 1), 0U);
  EXPECT_EQ(fixture.replies_.size(), 2U);
}

/// Guards against a notice of an earlier incarnation that ends the use of the present one.
TEST(Router, PassesOverWhatAnEarlierIncarnationHasSaid)
{
  NoticeFixture fixture(1);
  fixture.Submit("/relay/x");
  TargetRecord restarted = RouterFixture::MakeTarget("pool/0", "pool");
  restarted.startedAt_ = 5;
  fixture.router_.UpsertTarget(restarted);
  fixture.link_.onNotice_(fixture.link_.sent_[0].call_, { true, std::nullopt });
  fixture.timers_.Advance(Seconds(5));
  fixture.Submit("/relay/x");
  EXPECT_EQ(fixture.CallsTo("pool/0", 1), 1U);
}

/// How the targets of a pool leave, and what becomes of a request some time later.
struct LeavingCase
{
  const char* name_;
  /// How many of two targets leave.
  size_t leaving_;
  bool tellsInAnswers_;
  /// Whether the instance has known the targets before, and without an outage since.
  bool wasKnown_;
  bool isAfterOutage_;
  Millis later_;
  bool isSent_;
};

class AllTargetsLeave : public testing::TestWithParam<LeavingCase>
{
protected:
  static TargetRecord Leaving(const std::string& aName, bool aIsLeaving)
  {
    TargetRecord record = RouterFixture::MakeTarget(aName, "pool");
    record.isLeaving_ = aIsLeaving;
    return record;
  }

  static void Leave(NoticeFixture& aFixture)
  {
    const LeavingCase& test = GetParam();
    if (test.tellsInAnswers_) {
      for (size_t i = 0; i < test.leaving_; i++) {
        const TargetName name("pool/" + std::to_string(i));
        aFixture.link_.onNotice_({ name, TargetAddress("10.0.0.1:80"), nullptr, {}, 0 }, { true, std::nullopt });
      }
      return;
    }
    if (!test.wasKnown_) {
      aFixture.router_.ReplaceTargets({}, false);
    }
    aFixture.router_.ReplaceTargets({ Leaving("pool/0", true), Leaving("pool/1", test.leaving_ == 2) },
                                    test.isAfterOutage_);
  }
};

/// Guards against requests that are refused although the targets of their pool still serve for a while, and against
/// requests at a target whose time is over or not known, also when this process was held up meanwhile.
TEST_P(AllTargetsLeave, AreUsedForAWhileOnlyWithoutAnother)
{
  const LeavingCase& test = GetParam();
  NoticeFixture fixture(2);
  Leave(fixture);
  fixture.timers_.Advance(test.later_);
  fixture.Submit("/relay/x");
  ASSERT_EQ(fixture.link_.sent_.size(), test.isSent_ ? 1U : 0U);
  // What can't be served is refused at once.
  EXPECT_EQ(fixture.replies_.size(), test.isSent_ ? 0U : 1U);
  if (test.leaving_ == 1) {
    EXPECT_EQ(fixture.link_.Targets()[0], "pool/1");
  }
}

INSTANTIATE_TEST_SUITE_P(Router,
                         AllTargetsLeave,
                         testing::Values(LeavingCase{ "InTheStore", 2, false, true, false, Millis(1400), true },
                                         LeavingCase{ "InAnswers", 2, true, true, false, Millis(1400), true },
                                         LeavingCase{ "LongAgo", 2, false, true, false, Millis(1501), false },
                                         LeavingCase{ "LongAgoInAnswers", 2, true, true, false, Millis(1501), false },
                                         LeavingCase{ "OneOfTwo", 1, false, true, false, Millis(1), true },
                                         LeavingCase{ "NewToThisInstance", 2, false, false, false, Millis(1), false },
                                         LeavingCase{ "AfterAnOutage", 2, false, true, true, Millis(1), false }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

/// Guards against a target whose time is renewed each time that its entry comes again, and against a new incarnation
/// that inherits the end of the earlier one.
TEST(Router, TimeOfALeavingTargetIsNotRenewed)
{
  NoticeFixture fixture(1);
  TargetRecord record = RouterFixture::MakeTarget("pool/0", "pool");
  record.isLeaving_ = true;
  for (int i = 0; i < 4; i++) {
    record.warmUpLeft_ = Millis(i);
    fixture.router_.UpsertTarget(record);
    fixture.timers_.Advance(Millis(500));
  }
  fixture.Submit("/relay/x");
  EXPECT_EQ(fixture.link_.sent_.size(), 0U);
  record.isLeaving_ = false;
  record.startedAt_ = 5;
  fixture.router_.UpsertTarget(record);
  fixture.Submit("/relay/x");
  EXPECT_EQ(fixture.link_.sent_.size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Router,
                         AllTargetsPause,
                         testing::Values(AllPauseCase{ "ShortPause", Millis(200), Millis(900), true },
                                         AllPauseCase{ "LongPause", Millis(5000), Millis(900), false },
                                         AllPauseCase{ "ShortTime", Millis(400), Millis(300), false }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

} // namespace
} // namespace ibisrock
