#include "platform/emulator/store_emulator.h"
#include "platform/kind_watcher.h"
#include "platform/object_cache.h"

#include <gtest/gtest.h>

namespace ibisrock::platform {
namespace {

/// A watcher of the emulated store on a clock that the test advances.
class WatcherFixture
{
public:
  WatcherFixture()
  {
    LastReason reason;
    store_ = StoreEmulator::Create(loop_, timers_, { "127.0.0.1", 0 }, reason);
    EXPECT_TRUE(store_) << reason.Text();
    store_->Put("servers", "t", { { "value", 1 } });
    watcher_.emplace(loop_,
                     timers_,
                     eras_,
                     "servers",
                     KindWatcher::Source{ .address_ = { "127.0.0.1", store_->Port() }, .wait_ = kWait },
                     KindWatcher::Callbacks{ [this](const auto&, const KindWatcher::ListNote&) { lists_++; },
                                             [this](const auto&, bool) { events_++; },
                                             [](const StorePosition&) {},
                                             [this](bool aAnswered) { isInContact_ = aAnswered; },
                                             [this](const StorePosition&, const StorePosition&) { behind_++; } });
    watcher_->Restart();
    Advance(Millis(200));
    EXPECT_EQ(lists_, 1U);
  }

  void Advance(Micros aTime)
  {
    for (const TimePoint end = timers_.Now() + aTime; timers_.Now() < end;) {
      timers_.Advance(Millis(20));
      loop_.run_for(std::chrono::microseconds(500));
      while (loop_.poll() > 0) {
      }
    }
  }

  static constexpr Micros kWait = Seconds(20);
  boost::asio::io_context loop_{ 1 };
  ManualTimerService timers_;
  StoreEras eras_;
  std::unique_ptr<StoreEmulator> store_;
  size_t lists_ = 0;
  size_t events_ = 0;
  size_t behind_ = 0;
  bool isInContact_ = false;
  std::optional<KindWatcher> watcher_;
};

/// Guards against a watch that waits on in an older era while another answer has told of the new one, and against a
/// relay that counts as current meanwhile.
TEST(KindWatcher, ListsAgainAtOnceInANewEra)
{
  WatcherFixture fixture;
  EXPECT_TRUE(fixture.watcher_->IsCurrent());
  // The watch that waits does not hear of the era.
  fixture.store_->SetEraText("2");
  fixture.eras_.Judge(StoreEra(2));
  EXPECT_FALSE(fixture.watcher_->IsCurrent());
  fixture.watcher_->ListInNewEra();
  fixture.Advance(Millis(200));
  EXPECT_EQ(fixture.lists_, 2U);
  EXPECT_TRUE(fixture.watcher_->IsCurrent());
}

/// Guards against a watch that is carried on from a revision of an older era at a source that knows the new one.
TEST(KindWatcher, ListsAgainAtTheNextSourceInANewEra)
{
  WatcherFixture fixture;
  fixture.watcher_->Suspend();
  fixture.store_->SetEraText("2");
  fixture.eras_.Judge(StoreEra(2));
  fixture.watcher_->Resume({ .address_ = { "127.0.0.1", fixture.store_->Port() } },
                           KindWatcher::ResumeWith::NextChange);
  fixture.Advance(Millis(200));
  EXPECT_EQ(fixture.lists_, 2U);
}

/// Guards against changes of a new era that are added to what is known of the older one.
TEST(KindWatcher, TakesNoChangesOfAnotherEra)
{
  WatcherFixture fixture;
  fixture.store_->SetEraText("2");
  fixture.store_->Put("servers", "t", { { "value", 2 } });
  fixture.Advance(Millis(200));
  EXPECT_EQ(fixture.events_, 0U);
  EXPECT_EQ(fixture.lists_, 2U);
}

/// Guards against a list that is older than what is known and is taken.
TEST(KindWatcher, TakesNoListThatIsBehind)
{
  WatcherFixture fixture;
  const StoreEmulator::Copy copy = fixture.store_->TakeCopy();
  fixture.store_->Put("servers", "t", { { "value", 2 } });
  fixture.Advance(Millis(200));
  ASSERT_EQ(fixture.events_, 1U);
  // The store returns from an older copy and does not tell it.
  fixture.store_->SetEraText("1");
  fixture.store_->ReturnFrom(copy);
  fixture.Advance(Seconds(3));
  EXPECT_EQ(fixture.lists_, 1U);
  EXPECT_GT(fixture.behind_, 0U);
  EXPECT_TRUE(fixture.isInContact_);
  fixture.Advance(2 * WatcherFixture::kWait);
  EXPECT_FALSE(fixture.isInContact_);
}

/// Guards against an answer of an older era that reaches the caller of the channel.
TEST(StoreChannel, AnswerOfAnOlderEraIsNoAnswer)
{
  WatcherFixture fixture;
  StoreEras eras;
  eras.Judge(StoreEra(1));
  eras.Judge(StoreEra(2));
  StoreChannel channel(fixture.loop_, fixture.timers_, &eras, { "127.0.0.1", fixture.store_->Port() });
  std::optional<StoreAnswer> answer;
  channel.Call("GET", "/-/objects/servers", nullptr, Seconds(1), [&](const StoreAnswer& aAnswer) { answer = aAnswer; });
  fixture.Advance(Millis(200));
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status_, 0U);
  EXPECT_TRUE(answer->body_.is_null());
}

struct RelayedWatchCase
{
  const char* name_;
  StorePosition from_;
  /// Status of the answer that comes at once, or 0 if the watch waits.
  unsigned status_;
};

class RelayedWatch : public testing::TestWithParam<RelayedWatchCase>
{};

/// Guards against a watch that a relay carries on from another era, and against a relay that confirms more than it has
/// seen. The relay knows the era 2 up to the revision 10.
TEST_P(RelayedWatch, IsAnsweredByItsPosition)
{
  const auto at = [](uint64_t aRevision) { return StorePosition{ StoreEra(2), StoreRevision(aRevision) }; };
  ManualTimerService timers;
  ObjectCache cache(timers);
  cache.Replace({ { { "meta", { { "name", "t" } } } } }, false);
  cache.AdvanceTo(at(8));
  cache.Add({ { "meta", { { "name", "t" } } } }, false);
  cache.AdvanceTo(at(10));
  std::optional<CallerReply> reply;
  cache.Watch(GetParam().from_, Seconds(1), [&](CallerReply aReply) { reply = std::move(aReply); });
  EXPECT_EQ(reply ? reply->status_ : 0, GetParam().status_);
  timers.Advance(Seconds(2));
  ASSERT_TRUE(reply);
  EXPECT_EQ(reply->fields_.back(), (HeaderField{ "Store-Era", "2" }));
  if (reply->status_ == 200) {
    EXPECT_NE(reply->body_->find("\"asOf\":10}"), std::string::npos) << *reply->body_;
  }
}

INSTANTIATE_TEST_SUITE_P(ObjectCache,
                         RelayedWatch,
                         testing::Values(RelayedWatchCase{ "BeforeAChange", { StoreEra(2), StoreRevision(9) }, 200 },
                                         RelayedWatchCase{ "AtTheEnd", { StoreEra(2), StoreRevision(10) }, 0 },
                                         RelayedWatchCase{ "AheadOfTheRelay", { StoreEra(2), StoreRevision(99) }, 0 },
                                         RelayedWatchCase{ "TooOld", { StoreEra(2), StoreRevision(7) }, 410 },
                                         RelayedWatchCase{ "OfAnOlderEra", { StoreEra(1), StoreRevision(9) }, 410 },
                                         RelayedWatchCase{ "OfANewerEra", { StoreEra(3), StoreRevision(9) }, 410 }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

} // namespace
} // namespace ibisrock::platform
