#include "adapters/loop_timer_service.h"
#include "entry/entry_settings.h"
#include "fake_target_link.h"
#include "platform/decode.h"
#include "platform/discovery.h"
#include "platform/emulator/store_emulator.h"

#include <gtest/gtest.h>

namespace ibisrock::platform {
namespace {

using nlohmann::json;

json
TargetEntry(const json& aChanges)
{
  json entry{ { "service", "s" }, { "address", "10.0.0.1:80" }, { "zone", "z" },
              { "slots", 2 },     { "state", "ready" },         { "warmupLeftMs", 50 },
              { "seqNo", 4 },     { "version", "v1" },          { "born", 1700000000000 } };
  entry.update(aChanges);
  return { { "meta", { { "name", "i-1" }, { "revision", 7 } } }, { "spec", entry } };
}

struct TargetEntryCase
{
  const char* name_;
  json object_;
  bool isUsable_;
  bool isLeaving_;
};

class TargetEntryDecoding : public testing::TestWithParam<TargetEntryCase>
{};

/// Guards against malformed entries, for example of other programs, that are accepted as targets or fail without a
/// reason.
TEST_P(TargetEntryDecoding, DecodesOrRejectsWithReason)
{
  LastReason reason;
  const auto record = DecodeTarget(GetParam().object_, reason);
  EXPECT_EQ(record.has_value(), GetParam().isUsable_) << reason.Text();
  EXPECT_EQ(reason.Text().empty(), GetParam().isUsable_);
  if (record) {
    EXPECT_EQ(record->name_.Value(), "i-1");
    EXPECT_EQ(record->isLeaving_, GetParam().isLeaving_);
    EXPECT_EQ(record->warmUpLeft_, Millis(50));
  }
}

INSTANTIATE_TEST_SUITE_P(
  Platform,
  TargetEntryDecoding,
  testing::Values(
    TargetEntryCase{ "Ready", TargetEntry(json::object()), true, false },
    TargetEntryCase{ "Draining", TargetEntry({ { "state", "draining" } }), true, true },
    TargetEntryCase{ "UnknownState", TargetEntry({ { "state", "resting" } }), false, false },
    TargetEntryCase{ "NoService", { { "meta", { { "name", "i-1" } } }, { "spec", json::object() } }, false, false },
    TargetEntryCase{ "AddressIsANumber", TargetEntry({ { "address", 5 } }), false, false },
    TargetEntryCase{ "AddressWithoutPort", TargetEntry({ { "address", "10.0.0.1" } }), false, false },
    TargetEntryCase{ "SlotsIsText", TargetEntry({ { "slots", "two" } }), false, false },
    TargetEntryCase{ "SpecIsText", { { "meta", { { "name", "i-1" } } }, { "spec", "x" } }, false, false },
    TargetEntryCase{ "NoMeta", { { "spec", json::object() } }, false, false },
    TargetEntryCase{ "NotAnObject", json("bytes"), false, false }),
  [](const auto& aInfo) { return aInfo.param.name_; });

json
Configuration(uint64_t aVersion, const json& aRoute)
{
  json route{ { "name", "r" },       { "host", "h" },   { "pathPrefix", "/a/" },   { "routeType", "idempotent" },
              { "timeoutMs", 1000 }, { "attempts", 2 }, { "targetLatencyMs", 60 }, { "priority", 1 },
              { "service", "s" } };
  route.update(aRoute);
  return { { "version", aVersion },
           { "routes", { route } },
           { "services", { { { "name", "s" }, { "maxConns", 26 } } } },
           { "limits", { { "maxHeaderBytes", 500 }, { "idleTimeoutMs", 15000 } } },
           { "newField", 1 } };
}

/// Guards against fields that are not decoded, and against unknown fields that make a configuration invalid.
TEST(Platform, DecodesConfiguration)
{
  LastReason reason;
  auto table = DecodeConfiguration(Configuration(7, { { "newField", "x" } }), reason);
  ASSERT_TRUE(table) << reason.Text();
  EXPECT_EQ(table->Version(), ConfigVersion(7));
  EXPECT_EQ(table->FindPool(PoolName("s"))->maxConnections_, 26U);
  EXPECT_EQ(table->Limits().maxHeader_, 500U);
  const Route* route = table->Find("H:80", "/a/b?c");
  ASSERT_NE(route, nullptr);
  EXPECT_EQ(route->kind_, RequestKind::Idempotent);
  EXPECT_EQ(route->timeout_, Seconds(1));
  EXPECT_EQ(route->objective_, Millis(60));
  EXPECT_EQ(table->Find("h", "/b/"), nullptr);
}

/// Guards against a partly decoded configuration, and against an unknown route type that is treated as idempotent, so
/// that its requests may run twice.
TEST(Platform, RejectsInvalidConfigurations)
{
  for (const json& change : { json{ { "timeoutMs", "soon" } },
                              json{ { "pathPrefix", "a" } },
                              json{ { "gather", json::array() }, { "topK", 5 } },
                              json{ { "routeType", "non_idempotent" }, { "gather", { "s" } }, { "topK", 5 } },
                              json{ { "trafficSplit", { { { "service", "s" }, { "weight", 0 } } } } } }) {
    LastReason reason;
    EXPECT_FALSE(DecodeConfiguration(Configuration(1, change), reason)) << change.dump();
    EXPECT_FALSE(reason.Text().empty());
  }
  LastReason reason;
  auto table = DecodeConfiguration(Configuration(1, { { "routeType", "new_kind" } }), reason);
  ASSERT_TRUE(table);
  EXPECT_EQ(table->Routes()[0].kind_, RequestKind::NonIdempotent);
}

struct NullLog final : LogSink
{
  void Write(LogLevel, const char*, const std::string&) override {}
};

/// Discovery with an emulated store, in real time on one event loop.
class DiscoveryFixture
{
public:
  DiscoveryFixture()
  {
    LastReason reason;
    store_ = StoreEmulator::Create(loop_, timers_, { "127.0.0.1", 0 }, reason);
    EXPECT_TRUE(store_) << reason.Text();
    store_->Put("config", "main", Configuration(1, json::object()));
    PutTarget("t1", "ready");
    discovery_.emplace(loop_,
                       timers_,
                       random_,
                       Discovery::Settings{ { "127.0.0.1", store_->Port() },
                                            "entry-1",
                                            "z",
                                            { "127.0.0.1", 0 },
                                            {},
                                            {},
                                            [this] { return timers_.Now().time_since_epoch(); } },
                       router_,
                       log_,
                       [] {});
    EXPECT_TRUE(discovery_->Start(reason)) << reason.Text();
  }

  void PutTarget(const std::string& aName, const std::string& aState)
  {
    store_->Put("servers", aName, TargetEntry({ { "state", aState } })["spec"]);
  }

  uint64_t Version() const { return router_.Routes() ? router_.Routes()->Version().Value() : 0; }

  /// Runs the loop until aIsDone returns true. Returns false after 60 s.
  template<typename Condition>
  bool RunUntil(Condition aIsDone)
  {
    const TimePoint end = timers_.Now() + Seconds(60);
    while (!aIsDone()) {
      if (timers_.Now() > end) {
        return false;
      }
      loop_.run_one_for(std::chrono::milliseconds(100));
    }
    return true;
  }

  boost::asio::io_context loop_{ 1 };
  adapters::LoopTimerService timers_{ loop_ };
  Random random_{ 1 };
  tests::FakeTargetLink link_;
  NullLog log_;
  Router router_{ {}, timers_, random_, link_, nullptr };
  std::unique_ptr<StoreEmulator> store_;
  std::optional<Discovery> discovery_;
};

/// Guards against an instance that misses a new configuration version, or the addition or removal of a target.
TEST(Discovery, AppliesStoreChanges)
{
  DiscoveryFixture fixture;
  ASSERT_TRUE(fixture.RunUntil([&] { return fixture.router_.IsReady(); }));
  EXPECT_EQ(fixture.Version(), 1U);
  EXPECT_EQ(fixture.router_.TargetCount(), 1U);
  fixture.store_->Put("config", "main", Configuration(5, json::object()));
  fixture.PutTarget("t2", "ready");
  ASSERT_TRUE(fixture.RunUntil([&] { return fixture.Version() == 5 && fixture.router_.TargetCount() == 2; }));
  fixture.store_->Delete("servers", "t1");
  ASSERT_TRUE(fixture.RunUntil([&] { return fixture.router_.TargetCount() == 1; }));
  EXPECT_EQ(fixture.store_->Count("ibisrock-relays"), 1U);
}

/// Guards against an instance that becomes ready before it has counted the fleet. It would size its share of the
/// targets' connections for a small fleet, so that a restart of all instances overloads the targets.
TEST(Discovery, KnowsTheFleetFromTheStart)
{
  constexpr size_t kServedByEach = 26;
  DiscoveryFixture fixture;
  for (size_t i = 0; i < RelayDirectory::kRelaysPerDataCentre; i++) {
    const std::string number = std::to_string(i);
    // Nobody listens at these addresses, as after a restart of the whole fleet.
    const RelaySlot slot{ RelaySlotName("z." + number),
                          InstanceId("other-" + number),
                          PeerAddress("127.0.0.1:1"),
                          DataCentre("z"),
                          kServedByEach,
                          {},
                          {} };
    fixture.store_->Put(RelayRegistration::kKind, slot.name_.Value(), RelayRegistration::Encode(slot)["spec"]);
  }
  ASSERT_TRUE(fixture.RunUntil([&] { return fixture.router_.IsReady(); }));
  EXPECT_GE(fixture.router_.InstanceCount(), RelayDirectory::kRelaysPerDataCentre * kServedByEach);
}

/// Guards against changes that are lost while the store is unavailable or silent and compacts its history, and against
/// targets that are dropped although they register again after the outage.
TEST(Discovery, RelistsAfterOutage)
{
  for (const StoreMode mode : { StoreMode::Unavailable, StoreMode::Silent }) {
    DiscoveryFixture fixture;
    ASSERT_TRUE(fixture.RunUntil([&] { return fixture.router_.IsReady() && fixture.discovery_->IsInContact(); }));
    fixture.store_->SetMode(mode);
    ASSERT_TRUE(fixture.RunUntil([&] { return !fixture.discovery_->IsInContact(); }));
    fixture.store_->Put("config", "main", Configuration(9, json::object()));
    fixture.store_->Delete("servers", "t1");
    fixture.store_->Compact();
    fixture.store_->SetMode(StoreMode::Up);
    ASSERT_TRUE(fixture.RunUntil([&] { return fixture.Version() == 9; }));
    ASSERT_TRUE(fixture.RunUntil([&] { return fixture.discovery_->IsInContact(); }));
    fixture.PutTarget("t1", "ready");
    fixture.PutTarget("t2", "ready");
    ASSERT_TRUE(fixture.RunUntil([&] { return fixture.router_.TargetCount() == 2; }));
  }
}

/// Discovery with an emulated store and a clock that the test advances.
class ManualClockDiscoveryFixture
{
public:
  ManualClockDiscoveryFixture(Seconds aApplyTime, Seconds aLeaveTime)
  {
    LastReason reason;
    store_ = StoreEmulator::Create(loop_, timers_, { "127.0.0.1", 0 }, reason);
    EXPECT_TRUE(store_) << reason.Text();
    store_->Put("config", "main", Configuration(1, json::object()));
    // Registered before a restart, so that it uses the store at once.
    const RelaySlot slot{
      RelaySlotName("z.0"), InstanceId("entry-1"), PeerAddress("127.0.0.1:1"), DataCentre("z"), 1, {}, {}
    };
    store_->Put(RelayRegistration::kKind, slot.name_.Value(), RelayRegistration::Encode(slot)["spec"]);
    const Discovery::Settings settings{ { "127.0.0.1", store_->Port() },
                                        "entry-1",
                                        "z",
                                        { "127.0.0.1", 0 },
                                        aApplyTime,
                                        aLeaveTime,
                                        [this] { return timers_.Now().time_since_epoch(); } };
    discovery_.emplace(loop_, timers_, random_, settings, router_, log_, [] {});
    EXPECT_TRUE(discovery_->Start(reason)) << reason.Text();
  }

  /// Advances the clock, then runs the loop for 1 ms for the socket operations.
  void Step(Micros aTime)
  {
    timers_.Advance(aTime);
    loop_.run_for(std::chrono::milliseconds(1));
  }

  boost::asio::io_context loop_{ 1 };
  ManualTimerService timers_;
  Random random_{ 1 };
  tests::FakeTargetLink link_;
  NullLog log_;
  Router router_{ {}, timers_, random_, link_, nullptr };
  std::unique_ptr<StoreEmulator> store_;
  std::optional<Discovery> discovery_;
};

/// Guards against a pause before the first watch after a list. It would delay an operator's first write after an
/// outage, while the targets of the old configuration are gone.
TEST(Discovery, TakesAChangeRightAfterTheListAtOnce)
{
  // All steps together take 100 ms, much less than the pause of 500 ms.
  static constexpr Micros kStep(100);
  static constexpr int kSteps = 1000;
  ManualClockDiscoveryFixture fixture(Seconds(3), Seconds(3));
  const auto isInForce = [&fixture](uint64_t aVersion) {
    for (int step = 0; step < kSteps; step++) {
      if (fixture.router_.Routes() && fixture.router_.Routes()->Version() == ConfigVersion(aVersion)) {
        return true;
      }
      fixture.Step(kStep);
    }
    return false;
  };
  ASSERT_TRUE(isInForce(1));
  fixture.store_->Put("config", "main", Configuration(2, json::object()));
  EXPECT_TRUE(isInForce(2));
}

/// Guards against requests that fail after the index was cut anew: the configuration names a new pool while the watch
/// of its targets pauses. Both come into force within 100 ms, much less than the pause of 1 s.
TEST(Discovery, ConfigurationOfNewPoolComesWithItsTargets)
{
  ManualClockDiscoveryFixture fixture(Seconds(3), Seconds(3));
  fixture.store_->Put("servers", "t1", TargetEntry(json::object())["spec"]);
  for (int step = 0; step < 100 && !fixture.router_.IsReady(); step++) {
    fixture.Step(Millis(1));
  }
  // Begins the pause.
  fixture.store_->Put("servers", "t1", TargetEntry({ { "seqNo", 5 } })["spec"]);
  for (int step = 0; step < 20; step++) {
    fixture.Step(Millis(1));
  }
  fixture.store_->Put("servers", "t2", TargetEntry({ { "service", "new" } })["spec"]);
  fixture.store_->Put("config", "main", Configuration(2, { { "service", "new" } }));
  const auto isInForce = [&] { return fixture.router_.Routes()->Version() == ConfigVersion(2); };
  for (int step = 0; step < 100 && !isInForce(); step++) {
    fixture.Step(Millis(1));
  }
  EXPECT_TRUE(isInForce());
  EXPECT_TRUE(fixture.router_.HasTargets(PoolName("new")));
}

struct LostWatchCase
{
  const char* name_;
  /// Time after the list at which all watches are lost.
  Millis at_;
  Seconds timeLimit_;
};

class LostWatches : public testing::TestWithParam<LostWatchCase>
{};

/// Guards against an instance that acts by an old configuration, and sends to targets that have left, because the
/// answers to its watches were lost while calls on other connections work. An instance that was disturbed counts as in
/// touch after a second more than the time limits at the least.
TEST_P(LostWatches, ChangesArriveInTime)
{
  const Micros bound = GetParam().timeLimit_ + Seconds(1);
  ManualClockDiscoveryFixture fixture(GetParam().timeLimit_, GetParam().timeLimit_);
  fixture.store_->Put("servers", "t1", TargetEntry(json::object())["spec"]);
  for (int step = 0; step < 100 && !fixture.router_.IsReady(); step++) {
    fixture.Step(Millis(1));
  }
  ASSERT_TRUE(fixture.router_.HasTargets(PoolName("s")));
  const auto advance = [&fixture](Micros aTime) {
    for (const TimePoint end = fixture.timers_.Now() + aTime; fixture.timers_.Now() < end;) {
      fixture.Step(Millis(10));
    }
  };
  advance(GetParam().at_);
  fixture.store_->SetMode(StoreMode::Silent);
  fixture.store_->SetMode(StoreMode::Up);
  fixture.store_->Put("config", "main", Configuration(2, json::object()));
  fixture.store_->Put("servers", "t1", TargetEntry({ { "state", "draining" } })["spec"]);
  advance(bound);
  EXPECT_EQ(fixture.router_.Routes()->Version(), ConfigVersion(2));
  EXPECT_FALSE(fixture.router_.HasTargets(PoolName("s")));
}

INSTANTIATE_TEST_SUITE_P(Discovery,
                         LostWatches,
                         testing::Values(LostWatchCase{ "AtOnce", Millis(300), Seconds(3) },
                                         LostWatchCase{ "BeforeTheRelaysAreListed", Millis(4900), Seconds(3) },
                                         LostWatchCase{ "Later", Millis(12700), Seconds(3) },
                                         LostWatchCase{ "LargeDeployment", Millis(7300), Seconds(6) }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

/// An instance that is no relay, whose store the test chooses, on a clock that it advances.
class LoneInstance
{
public:
  void Start(uint16_t aStorePort, Micros aTimeLimit)
  {
    const Discovery::Settings settings{ { "127.0.0.1", aStorePort },
                                        "entry-1",
                                        "z",
                                        { "127.0.0.1", 0 },
                                        aTimeLimit,
                                        aTimeLimit,
                                        [this] { return timers_.Now().time_since_epoch(); } };
    discovery_.emplace(loop_, timers_, random_, settings, router_, log_, [] {});
    LastReason reason;
    ASSERT_TRUE(discovery_->Start(reason)) << reason.Text();
  }

  void Advance(Micros aTime)
  {
    for (const TimePoint end = timers_.Now() + aTime; timers_.Now() < end;) {
      timers_.Advance(Millis(20));
      loop_.run_for(std::chrono::microseconds(100));
      while (loop_.poll() > 0) {
      }
    }
  }

  boost::asio::io_context loop_{ 1 };
  ManualTimerService timers_;
  Random random_{ 1 };
  tests::FakeTargetLink link_;
  NullLog log_;
  Router router_{ {}, timers_, random_, link_, nullptr };
  std::optional<Discovery> discovery_;
};

/// Guards against a store that is asked without a pause because it answers with something that is no list.
TEST(Discovery, PausesWhenTheSourceFailsAtOnce)
{
  // In 10 s, three calls after each pause of half a second, and the first ones.
  constexpr uint64_t kMaxCalls = 70;
  LoneInstance instance;
  LastReason reason;
  size_t calls = 0;
  auto store = adapters::CallerServer::Create(
    instance.loop_,
    instance.timers_,
    { .address_ = { "127.0.0.1", 0 } },
    [&calls](const std::shared_ptr<const CallerRequest>& aRequest, const adapters::CallerServer::OnReply& aReply) {
      calls++;
      CallerReply reply;
      reply.status_ = 200;
      const bool isRelayList = aRequest->target_.find(RelayRegistration::kKind) != std::string::npos;
      reply.body_ = std::make_shared<std::string>(isRelayList ? R"({"items":[],"asOf":1})" : R"({"items":[)");
      aReply(std::move(reply));
      return adapters::CallerServer::OnLeft();
    },
    reason);
  ASSERT_TRUE(store) << reason.Text();
  instance.Start(store->Port(), Seconds(3));
  instance.Advance(Seconds(10));
  EXPECT_LE(calls, kMaxCalls);
}

struct ReturnCase
{
  const char* name_;
  /// Registered relays, none of which answers.
  size_t silentRelays_;
  Seconds timeLimit_;
};

class ReturnFromACut : public testing::TestWithParam<ReturnCase>
{};

/// Guards against an instance that returns from a cut and goes on with an old configuration, because it looks for a
/// relay among others that are cut off, although the store answers. It counts as in touch a second after the time to
/// apply a configuration at the least.
TEST_P(ReturnFromACut, HasTheNewestConfigurationInTime)
{
  // Takes connections and never answers.
  boost::asio::io_context silentLoop;
  boost::asio::ip::tcp::acceptor silent(silentLoop, { boost::asio::ip::make_address("127.0.0.1"), 0 });
  const std::string silentAddress = "127.0.0.1:" + std::to_string(silent.local_endpoint().port());
  LoneInstance instance;
  LastReason reason;
  auto store = StoreEmulator::Create(instance.loop_, instance.timers_, { "127.0.0.1", 0 }, reason);
  ASSERT_TRUE(store) << reason.Text();
  store->Put("config", "main", Configuration(1, json::object()));
  for (size_t i = 0; i < GetParam().silentRelays_; i++) {
    const RelaySlot slot{ RelaySlotName("z." + std::to_string(i)),
                          InstanceId("other-" + std::to_string(i)),
                          PeerAddress(silentAddress),
                          DataCentre("z"),
                          1,
                          {},
                          {} };
    store->Put(RelayRegistration::kKind, slot.name_.Value(), RelayRegistration::Encode(slot)["spec"]);
  }
  instance.Start(store->Port(), GetParam().timeLimit_);
  instance.Advance(Seconds(12));
  ASSERT_TRUE(instance.router_.IsReady());
  // The cut may end at any moment of the search.
  for (uint64_t version = 2; version < 9; version++) {
    store->SetMode(StoreMode::Silent);
    instance.Advance(Seconds(4) + Millis(330) * version);
    store->Put("config", "main", Configuration(version, json::object()));
    store->SetMode(StoreMode::Up);
    instance.Advance(GetParam().timeLimit_ + Seconds(1));
    EXPECT_EQ(instance.router_.Routes()->Version(), ConfigVersion(version));
    instance.Advance(Seconds(3));
  }
}

INSTANTIATE_TEST_SUITE_P(Discovery,
                         ReturnFromACut,
                         testing::Values(ReturnCase{ "NoRelays", 0, Seconds(3) },
                                         ReturnCase{ "OneRelayIsCutOff", 1, Seconds(3) },
                                         ReturnCase{ "AllRelaysAreCutOff", 3, Seconds(3) },
                                         ReturnCase{ "LargeDeployment", 3, Seconds(6) }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

struct WatchPauseCase
{
  const char* name_;
  const char* changingKind_;
  Seconds applyTime_;
  Seconds leaveTime_;
  /// Expected pause between the watches of the changing kind.
  Millis pause_;
};

class WatchPause : public testing::TestWithParam<WatchPauseCase>
{};

/// Guards against one store call per change, when some target entry changes all the time or configurations come in a
/// series, and against watches too rare for the time limits.
TEST_P(WatchPause, BoundsCallRateWithinTimeLimit)
{
  constexpr Seconds kDuration(20);
  constexpr Millis kChangePeriod(20);
  /// Lists, the registration of this instance, a probe each second, and a list of the relays each five.
  constexpr uint64_t kOtherCalls = 30;
  /// The watch of the other kind shows each 0.6 of the shorter time limit that it lives.
  constexpr uint64_t kIdleWatches = kDuration / Millis(1800) + 1;
  const WatchPauseCase& test = GetParam();
  ManualClockDiscoveryFixture fixture(test.applyTime_, test.leaveTime_);
  uint64_t change = 1;
  for (Micros passed{}; passed < kDuration; passed += kChangePeriod) {
    change++;
    if (std::string(test.changingKind_) == "config") {
      fixture.store_->Put("config", "main", Configuration(change, json::object()));
    } else {
      fixture.store_->Put("servers", "t1", TargetEntry({ { "seqNo", change } })["spec"]);
    }
    fixture.Step(kChangePeriod);
  }
  const auto watches = static_cast<uint64_t>(kDuration / test.pause_);
  EXPECT_LE(fixture.discovery_->StoreCalls(), kOtherCalls + kIdleWatches + watches);
  EXPECT_GE(fixture.discovery_->StoreCalls(), watches / 2);
}

INSTANTIATE_TEST_SUITE_P(
  Discovery,
  WatchPause,
  testing::Values(WatchPauseCase{ "TargetsThatLeaveIn3s", "servers", Seconds(3), Seconds(3), Millis(1000) },
                  WatchPauseCase{ "TargetsThatLeaveIn12s", "servers", Seconds(3), Seconds(12), Millis(4000) },
                  WatchPauseCase{ "ConfigurationsInForceIn3s", "config", Seconds(3), Seconds(3), Millis(500) },
                  WatchPauseCase{ "ConfigurationsInForceIn6s", "config", Seconds(6), Seconds(3), Millis(1000) }),
  [](const auto& aCase) { return aCase.param.name_; });

struct SettingCase
{
  const char* name_;
  std::string line_;
  /// Expected part of the fault's description; empty when no fault is expected.
  std::string fault_;
};

class EntrySettingCheck : public testing::TestWithParam<SettingCase>
{};

constexpr const char* kSettings = "# a comment\n"
                                  "instance = entry-1\r\n"
                                  "data-centre=z\n\n"
                                  "listen = 127.0.0.1:1\n"
                                  "ready-listen = 127.0.0.1:2\n"
                                  "metrics-listen = 127.0.0.1:3\n"
                                  "peer-listen = 127.0.0.1:5\n"
                                  "store = 127.0.0.1:4\n";

/// Guards against invalid settings that are accepted silently, and against unknown settings that prevent a start.
TEST_P(EntrySettingCheck, ReportsFaultWithSettingName)
{
  std::vector<entry::SettingError> faults;
  std::vector<std::string> unknown;
  const auto settings = entry::ParseEntrySettings(std::string(kSettings) + GetParam().line_, faults, unknown);
  EXPECT_EQ(settings.has_value(), GetParam().fault_.empty());
  if (!GetParam().fault_.empty()) {
    ASSERT_EQ(faults.size(), 1U);
    EXPECT_NE(entry::FormatSettingError("file", faults[0]).find(GetParam().fault_), std::string::npos)
      << entry::FormatSettingError("file", faults[0]);
  }
}

INSTANTIATE_TEST_SUITE_P(EntrySettings,
                         EntrySettingCheck,
                         testing::Values(SettingCase{ "Complete", "", "" },
                                         SettingCase{ "Unknown", "colour = blue", "" },
                                         SettingCase{ "Missing", "instance =", "instance: must be given" },
                                         SettingCase{ "NameWithSlash", "instance = a/b", "file:10: instance" },
                                         SettingCase{ "NoPort", "listen = 127.0.0.1", "listen" },
                                         SettingCase{ "PortTooLarge", "store = 127.0.0.1:70000", "store" },
                                         SettingCase{ "TimeWithoutUnit", "stop-time = 6", "stop-time" },
                                         SettingCase{ "TimeTooShort", "stop-time = 10ms", "from 1 s" },
                                         SettingCase{ "DelayNegative", "caller-delay = -3ms", "caller-delay" },
                                         SettingCase{ "ShareAboveOne", "extra-share = 1.5", "from 0 to 1" },
                                         SettingCase{ "ShareNotANumber", "extra-share = 0.2x", "extra-share" },
                                         SettingCase{ "ApplyTimeTooLong", "apply-time = 1h", "apply-time" },
                                         SettingCase{ "LeaveTimeTooShort", "leave-time = 100ms", "from 0.5 s" },
                                         SettingCase{ "CheckInTimeTooLong", "check-in-time = 2min", "from 0.1 s" },
                                         SettingCase{ "CheckInTimeEmpty", "check-in-time = ms", "" },
                                         SettingCase{ "SlackIsNan", "extra-slack = nan", "extra-slack" },
                                         SettingCase{ "ApplyTimeEmpty", "apply-time =", "" },
                                         SettingCase{ "CallerDelayEmpty", "caller-delay =", "" },
                                         SettingCase{ "LeaveTimeEmpty", "leave-time =", "" },
                                         SettingCase{ "PeerListenEmpty", "peer-listen =", "" },
                                         SettingCase{ "ShareEmpty", "extra-share =", "" },
                                         SettingCase{ "SlackEmpty", "extra-slack =", "" },
                                         SettingCase{ "StopTimeEmpty", "stop-time =", "" },
                                         SettingCase{ "StopTimeOfAnEmptyPlaceholder", "stop-time = s", "" },
                                         SettingCase{ "LeaveTimeOfAnEmptyPlaceholder", "leave-time = ms", "" },
                                         SettingCase{ "NameIsNoUnit", "listen = s", "listen" },
                                         SettingCase{ "StoreEmpty", "store =", "store: must be given" },
                                         SettingCase{ "NoEquals", "stop-time 6s", "not of the form" }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

} // namespace
} // namespace ibisrock::platform
