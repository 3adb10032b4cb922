#include "relay_fleet.h"

#include <array>
#include <map>

namespace ibisrock::platform {
namespace {

/// How much of its history the store loses when it returns from an older copy.
struct StoreReturnCase
{
  const char* name_;
  bool isFromCopy_;
  unsigned lostRevisions_;
};

/// Changes an entry that nobody watches, as check-ins raise the store's revision.
void
WriteNote(RelayFleet& aFleet)
{
  aFleet.store_->Put("notes", "n", { { "value", aFleet.store_->Revision() } });
}

/// Advances the clock until aIsDone returns true while the store's revision rises by about 30 a second. Returns false
/// after aLimit.
template<typename Condition>
bool
AdvanceWithWrites(RelayFleet& aFleet, Condition aIsDone, Micros aLimit)
{
  constexpr Micros kWritePeriod = Millis(33);
  TimePoint nextWrite = aFleet.timers_.Now();
  return aFleet.AdvanceUntil(
    [&] {
      if (aFleet.timers_.Now() >= nextWrite) {
        WriteNote(aFleet);
        nextWrite += kWritePeriod;
      }
      return aIsDone();
    },
    aLimit);
}

/// An entry of a target with the count of its check-ins.
json
CheckedIn(uint64_t aSequence, const char* aState)
{
  json spec = TargetSpec();
  spec["seqNo"] = aSequence;
  spec["state"] = aState;
  return spec;
}

/// The store goes away for 1.5 s and returns from aCopy, or as it was. Half a second later the operator and the targets
/// have written their entries again.
void
ReturnStore(RelayFleet& aFleet, const std::optional<StoreEmulator::Copy>& aCopy)
{
  aFleet.store_->SetMode(StoreMode::Unavailable);
  aFleet.Advance(Millis(1500));
  if (aCopy) {
    aFleet.store_->ReturnFrom(*aCopy);
  }
  aFleet.store_->SetMode(StoreMode::Up);
  aFleet.Advance(Millis(500));
  aFleet.store_->Put("config", "main", Configuration(2));
  aFleet.store_->Put("servers", "t1", CheckedIn(20, "ready"));
  aFleet.store_->Put("servers", "t2", CheckedIn(20, "ready"));
}

class StoreReturn : public testing::TestWithParam<StoreReturnCase>
{};

/// Guards against instances that take no change from a store that has returned from an older copy until its revisions
/// have passed those that they know.
TEST_P(StoreReturn, ChangesArriveInTime)
{
  const StoreReturnCase& test = GetParam();
  RelayFleet fleet(8);
  ASSERT_TRUE(fleet.AdvanceUntil([&] { return fleet.AllReady(); }, Seconds(5)));
  fleet.Advance(Seconds(5));
  std::optional<StoreEmulator::Copy> copy;
  if (test.isFromCopy_) {
    copy = fleet.store_->TakeCopy();
  }
  fleet.store_->Put("config", "main", Configuration(2));
  for (unsigned i = 0; i < test.lostRevisions_; i++) {
    WriteNote(fleet);
  }
  const auto hasVersion = [&](uint64_t aVersion) {
    return fleet.All([aVersion](auto& aNode) { return RelayFleet::Version(aNode) == aVersion; });
  };
  // The watches that wait meanwhile end, and tell how far the store's revision has risen.
  fleet.Advance(kApplyTime);
  ASSERT_TRUE(hasVersion(2));
  ReturnStore(fleet, copy);
  // After this time without a disturbance the instances count as in touch.
  AdvanceWithWrites(
    fleet, [] { return false; }, Seconds(4));
  EXPECT_TRUE(hasVersion(2));
  fleet.store_->Put("config", "main", Configuration(3));
  fleet.store_->Put("servers", "t1", CheckedIn(30, "draining"));
  fleet.store_->Delete("servers", "t2");
  const TimePoint changed = fleet.timers_.Now();
  const auto isKnown = [&] {
    return hasVersion(3) && fleet.All([](auto& aNode) {
      return aNode.router_->TargetCount() == 1 && !aNode.router_->HasTargets(PoolName("s"));
    });
  };
  EXPECT_TRUE(AdvanceWithWrites(fleet, isKnown, kApplyTime));
  RecordProperty("milliseconds",
                 std::to_string(std::chrono::duration_cast<Millis>(fleet.timers_.Now() - changed).count()));
}

INSTANTIATE_TEST_SUITE_P(Store,
                         StoreReturn,
                         testing::Values(StoreReturnCase{ "AsItWas", false, 400 },
                                         StoreReturnCase{ "FewRevisionsLost", true, 400 },
                                         StoreReturnCase{ "ManyRevisionsLost", true, 3000 }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

/// The store is away for half a second and returns from aCopy. All instances have listed the targets again then.
void
ReturnFromCopy(RelayFleet& aFleet, const StoreEmulator::Copy& aCopy)
{
  aFleet.store_->SetMode(StoreMode::Unavailable);
  aFleet.Advance(Millis(500));
  aFleet.store_->ReturnFrom(aCopy);
  aFleet.store_->SetMode(StoreMode::Up);
  const StoreEra era(aFleet.store_->Era());
  EXPECT_TRUE(aFleet.AdvanceUntil(
    [&] {
      return aFleet.All([era](auto& aNode) {
        return aNode.discovery_->TargetsPosition().era_ == era && aNode.discovery_->ConfigurationPosition().era_ == era;
      });
    },
    Seconds(4)));
}

json
Started(uint64_t aStartedAt, uint64_t aSequence, const char* aState)
{
  json spec = CheckedIn(aSequence, aState);
  spec["born"] = aStartedAt;
  return spec;
}

using StoreStep = void (*)(StoreEmulator&);

/// What a target does around the store's return from a copy that holds it as started at 1000, ready, after five
/// check-ins; and whether it gets requests one, four and eight seconds after the return.
struct TargetReturnCase
{
  const char* name_;
  StoreStep beforeCopy_;
  StoreStep afterCopy_;
  StoreStep afterReturn_;
  std::array<bool, 3> isUsed_;
  uint64_t startedAt_ = 1000;
};

void
Nothing(StoreEmulator&)
{
}

template<uint64_t StartedAt, uint64_t CheckIns>
void
Ready(StoreEmulator& aStore)
{
  aStore.Put("servers", "t9", Started(StartedAt, CheckIns, "ready"));
}

template<uint64_t StartedAt, uint64_t CheckIns>
void
Draining(StoreEmulator& aStore)
{
  aStore.Put("servers", "t9", Started(StartedAt, CheckIns, "draining"));
}

void
Gone(StoreEmulator& aStore)
{
  aStore.Delete("servers", "t9");
}

/// The entry lapses while nobody is told of it.
void
GoneFromTheList(StoreEmulator& aStore)
{
  aStore.SetMode(StoreMode::Unavailable);
  aStore.Delete("servers", "t9");
  aStore.Compact();
  aStore.SetMode(StoreMode::Up);
}

class TargetAfterStoreReturn : public testing::TestWithParam<TargetReturnCase>
{};

/// Guards against a target that has left, or was replaced by a later start, and returns through the older copy; and
/// against one that is dropped because the copy does not have it yet.
TEST_P(TargetAfterStoreReturn, IsUsedByTheNewestThatIsKnown)
{
  const TargetReturnCase& test = GetParam();
  RelayFleet fleet(5);
  test.beforeCopy_(*fleet.store_);
  ASSERT_TRUE(fleet.AdvanceUntil([&] { return fleet.AllReady(); }, Seconds(5)));
  fleet.Advance(Seconds(5));
  const StoreEmulator::Copy copy = fleet.store_->TakeCopy();
  test.afterCopy_(*fleet.store_);
  fleet.Advance(Seconds(5));
  ReturnFromCopy(fleet, copy);
  const auto isUsed = [&test](RelayFleet::Node& aNode) {
    const TargetPtr target = aNode.router_->FindTarget(TargetName("t9"));
    return target != nullptr && !target->IsLeaving() && target->Record().startedAt_ == test.startedAt_;
  };
  fleet.Advance(Seconds(1));
  EXPECT_TRUE(fleet.All([&](auto& aNode) { return isUsed(aNode) == test.isUsed_[0]; }));
  test.afterReturn_(*fleet.store_);
  fleet.Advance(Seconds(3));
  EXPECT_TRUE(fleet.All([&](auto& aNode) { return isUsed(aNode) == test.isUsed_[1]; }));
  fleet.Advance(Seconds(4));
  EXPECT_TRUE(fleet.All([&](auto& aNode) { return isUsed(aNode) == test.isUsed_[2]; }));
  // The other targets are never lost.
  EXPECT_TRUE(fleet.All([](auto& aNode) { return aNode.router_->TargetCount() >= 2; }));
}

INSTANTIATE_TEST_SUITE_P(
  Store,
  TargetAfterStoreReturn,
  testing::Values(
    TargetReturnCase{ "Unchanged", &Ready<1000, 5>, &Nothing, &Nothing, { true, true, true } },
    TargetReturnCase{ "LeftBefore", &Ready<1000, 5>, &Draining<1000, 9>, &Draining<1000, 12>, { false, false, false } },
    TargetReturnCase{ "LeftAndLapses", &Ready<1000, 5>, &Draining<1000, 9>, &Gone, { false, false, false } },
    TargetReturnCase{ "LeftAndServesAgain",
                      &Ready<1000, 5>,
                      &Draining<1000, 9>,
                      &Ready<1000, 12>,
                      { false, true, true } },
    TargetReturnCase{ "RemovedAndLapses", &Ready<1000, 5>, &Gone, &Gone, { false, false, false } },
    TargetReturnCase{ "LeftAndWritesTheSame",
                      &Ready<1000, 5>,
                      &Draining<1000, 9>,
                      &Draining<1000, 9>,
                      { false, false, false } },
    TargetReturnCase{ "RemovedByAList", &Ready<1000, 5>, &GoneFromTheList, &Gone, { false, false, false } },
    TargetReturnCase{ "LapsesFromTheList", &Ready<1000, 5>, &Gone, &GoneFromTheList, { false, false, false } },
    TargetReturnCase{ "RemovedAndChecksIn", &Ready<1000, 5>, &Gone, &Ready<1000, 12>, { false, true, true } },
    TargetReturnCase{ "RemovedAndStandsStill", &Ready<1000, 5>, &Gone, &Nothing, { false, false, true } },
    TargetReturnCase{ "StartedAgain", &Ready<1000, 5>, &Ready<2000, 1>, &Ready<2000, 2>, { true, true, true }, 2000 },
    TargetReturnCase{ "StartedAgainAndLeft",
                      &Ready<1000, 5>,
                      &Draining<2000, 1>,
                      &Draining<2000, 2>,
                      { false, false, false } },
    TargetReturnCase{ "NotInTheCopy", &Nothing, &Ready<1000, 5>, &Ready<1000, 6>, { true, true, true } },
    TargetReturnCase{ "NotInTheCopyAndGone", &Nothing, &Ready<1000, 5>, &Nothing, { true, false, false } }),
  [](const auto& aInfo) { return aInfo.param.name_; });

/// Guards against targets that are dropped because the store returns from an older copy once more before they have had
/// the time to write their entries again.
TEST(StoreReturnOfRelays, SecondReturnGivesMissingTargetsTheirTimeAgain)
{
  RelayFleet fleet(5);
  ASSERT_TRUE(fleet.AdvanceUntil([&] { return fleet.AllReady(); }, Seconds(5)));
  fleet.Advance(Seconds(5));
  const StoreEmulator::Copy copy = fleet.store_->TakeCopy();
  Ready<1000, 5>(*fleet.store_);
  fleet.Advance(Seconds(5));
  const auto isKnown = [](RelayFleet::Node& aNode) { return aNode.router_->TargetCount() == 3; };
  ASSERT_TRUE(fleet.All(isKnown));
  ReturnFromCopy(fleet, copy);
  fleet.Advance(Millis(500));
  ReturnFromCopy(fleet, copy);
  fleet.Advance(Millis(1600));
  EXPECT_TRUE(fleet.All(isKnown));
  Ready<1000, 6>(*fleet.store_);
  fleet.Advance(Seconds(5));
  EXPECT_TRUE(fleet.All(isKnown));
}

/// Guards against targets that are dropped at once because the copy does not have them, when the store was not away for
/// long enough to be missed.
TEST(StoreReturnOfRelays, MissingTargetsStayInUseWithoutAnOutage)
{
  RelayFleet fleet(5);
  ASSERT_TRUE(fleet.AdvanceUntil([&] { return fleet.AllReady(); }, Seconds(5)));
  fleet.Advance(Seconds(5));
  const StoreEmulator::Copy copy = fleet.store_->TakeCopy();
  Ready<1000, 5>(*fleet.store_);
  fleet.Advance(Seconds(5));
  fleet.log_.lines_.clear();
  fleet.store_->ReturnFrom(copy);
  const auto knows = [&](size_t aTargets) {
    return fleet.All([aTargets](auto& aNode) {
      return aNode.discovery_->TargetsPosition().era_ == StoreEra(2) && aNode.router_->TargetCount() == aTargets;
    });
  };
  EXPECT_TRUE(fleet.AdvanceUntil([&] { return knows(3); }, Seconds(1)));
  fleet.Advance(Millis(800));
  EXPECT_TRUE(knows(3));
  EXPECT_EQ(fleet.log_.Count("event=store_lost"), 0);
  fleet.Advance(Seconds(2));
  EXPECT_TRUE(knows(2));
}

/// The instances that hold a registration in the store, with the names of the registrations.
std::map<std::string, std::string>
Holders(const RelayFleet& aFleet)
{
  std::map<std::string, std::string> holders;
  const StoreEmulator::Copy content = aFleet.store_->TakeCopy();
  if (const auto kind = content.objects_.find(RelayRegistration::kKind); kind != content.objects_.end()) {
    for (const auto& [name, object] : kind->second) {
      holders.emplace(object.at("spec").at("instance").get<std::string>(), name);
    }
  }
  return holders;
}

/// Guards against relays that are forgotten, or doubled, when the store returns from a copy without their
/// registrations, and against a storm of writes.
TEST(StoreReturnOfRelays, RegistrationsAreWrittenAgain)
{
  RelayFleet fleet(8);
  const StoreEmulator::Copy copy = fleet.store_->TakeCopy();
  ASSERT_TRUE(fleet.AdvanceUntil([&] { return fleet.AllReady(); }, Seconds(5)));
  fleet.Advance(Seconds(15));
  const auto before = Holders(fleet);
  ASSERT_EQ(before.size(), RelayDirectory::kRelaysPerDataCentre);
  ReturnFromCopy(fleet, copy);
  size_t writes = 0;
  fleet.store_->SetOnWrite([&](const std::string&, json&) { writes++; });
  EXPECT_TRUE(fleet.AdvanceUntil([&] { return Holders(fleet) == before; }, Seconds(4)));
  fleet.Advance(Seconds(5));
  EXPECT_EQ(Holders(fleet), before);
  EXPECT_LE(writes, 2 * RelayDirectory::kRelaysPerDataCentre);
  EXPECT_EQ(fleet.Living(Discovery::Source::Store).size(), RelayDirectory::kRelaysPerDataCentre);
}

/// Guards against two relays with one registration: the copy names a holder that had been replaced since. The living
/// one gives up, and the registration is free again when the other one does not renew it.
TEST(StoreReturnOfRelays, EarlierHolderIsNotDoubled)
{
  RelayFleet fleet(8);
  ASSERT_TRUE(fleet.AdvanceUntil([&] { return fleet.AllReady(); }, Seconds(5)));
  fleet.Advance(Seconds(10));
  const StoreEmulator::Copy copy = fleet.store_->TakeCopy();
  fleet.Kill(*fleet.Living(Discovery::Source::Store).front());
  const Micros replaced = RelayDirectory::kExpiry + RelayDirectory::kRenewPeriod + Seconds(10);
  fleet.Advance(replaced);
  ASSERT_EQ(fleet.Living(Discovery::Source::Store).size(), RelayDirectory::kRelaysPerDataCentre);
  ReturnFromCopy(fleet, copy);
  fleet.Advance(Seconds(5));
  EXPECT_EQ(fleet.Living(Discovery::Source::Store).size(), RelayDirectory::kRelaysPerDataCentre - 1);
  fleet.Advance(replaced);
  EXPECT_EQ(fleet.Living(Discovery::Source::Store).size(), RelayDirectory::kRelaysPerDataCentre);
  for (RelayFleet::Node* node : fleet.Living(Discovery::Source::Store)) {
    EXPECT_TRUE(Holders(fleet).contains(node->name_));
  }
}

/// Guards against a request that crashes targets again after all instances have ended, because what relays had stored
/// of it was lost by the store.
TEST(StoreReturnOfRelays, CrashesAreStoredAgain)
{
  RelayFleet fleet(4);
  ASSERT_TRUE(fleet.AdvanceUntil([&] { return fleet.AllReady(); }, Seconds(5)));
  fleet.Advance(Seconds(10));
  const StoreEmulator::Copy copy = fleet.store_->TakeCopy();
  CallerRequest request;
  request.method_ = "GET";
  request.host_ = "h";
  request.target_ = "/a/x";
  for (unsigned crash = 0; crash < CrashHistory::kMaxCrashes; crash++) {
    fleet.Advance(Millis(400));
    const TimePoint began = fleet.timers_.Now();
    fleet.Advance(Millis(20));
    fleet.nodes_[0]->router_->Crashes().OnCrash({ TargetName("t" + std::to_string(crash)),
                                                  TargetAddress("10.0.0.1:80"),
                                                  PoolName("s"),
                                                  std::make_shared<CallerRequest>(request),
                                                  began },
                                                fleet.timers_.Now());
  }
  fleet.Advance(Seconds(5));
  ReturnFromCopy(fleet, copy);
  fleet.Advance(Seconds(4));
  for (RelayFleet::Node* node : fleet.Living()) {
    fleet.Kill(*node);
  }
  for (const auto& node : fleet.nodes_) {
    fleet.StartInstance(*node);
  }
  const auto isRefused = [&](RelayFleet::Node& aNode) {
    return aNode.router_->Crashes().Check(request) == CrashPrecaution::Refuse;
  };
  EXPECT_TRUE(fleet.AdvanceUntil([&] { return fleet.All(isRefused); }, Seconds(5)));
}

/// What happens beside the store's return from an older copy.
struct ReturnBesideCase
{
  const char* name_;
  void (*beside_)(RelayFleet&, const StoreEmulator::Copy&);
};

void
Return(RelayFleet& aFleet, const StoreEmulator::Copy& aCopy)
{
  aFleet.store_->SetMode(StoreMode::Unavailable);
  aFleet.Advance(Millis(600));
  aFleet.store_->ReturnFrom(aCopy);
  aFleet.store_->SetMode(StoreMode::Up);
}

void
ReturnTwice(RelayFleet& aFleet, const StoreEmulator::Copy& aCopy)
{
  Return(aFleet, aCopy);
  aFleet.Advance(Millis(300));
  Return(aFleet, aCopy);
}

void
ReturnThriceUnheard(RelayFleet& aFleet, const StoreEmulator::Copy& aCopy)
{
  aFleet.store_->SetMode(StoreMode::Silent);
  aFleet.store_->ReturnFrom(aCopy);
  aFleet.store_->ReturnFrom(aCopy);
  aFleet.store_->ReturnFrom(aCopy);
  aFleet.Advance(Millis(600));
  aFleet.store_->SetMode(StoreMode::Up);
}

/// The instances ask one another in turn with the store, and relays still state the era that they know.
void
ReturnThriceInALongOutage(RelayFleet& aFleet, const StoreEmulator::Copy& aCopy)
{
  aFleet.store_->SetMode(StoreMode::Silent);
  aFleet.Advance(Seconds(6));
  aFleet.store_->ReturnFrom(aCopy);
  aFleet.store_->ReturnFrom(aCopy);
  aFleet.store_->ReturnFrom(aCopy);
  aFleet.store_->SetMode(StoreMode::Up);
}

void
ReturnWhileRestarting(RelayFleet& aFleet, const StoreEmulator::Copy& aCopy)
{
  Return(aFleet, aCopy);
  for (RelayFleet::Node* node : aFleet.Living()) {
    aFleet.Kill(*node);
    aFleet.StartInstance(*node);
    aFleet.Advance(Millis(60));
  }
}

void
ReturnWhileOneRelayIsCutOff(RelayFleet& aFleet, const StoreEmulator::Copy& aCopy)
{
  const size_t port = aFleet.Living(Discovery::Source::Store).front()->storePort_;
  aFleet.store_->SetExtraPortMode(port, StoreMode::Silent);
  Return(aFleet, aCopy);
  aFleet.Advance(Seconds(3));
  aFleet.store_->SetExtraPortMode(port, StoreMode::Up);
}

void
ReturnWhileAllButOneAreCutOff(RelayFleet& aFleet, const StoreEmulator::Copy& aCopy)
{
  const auto living = aFleet.Living();
  for (size_t i = 1; i < living.size(); i++) {
    aFleet.store_->SetExtraPortMode(living[i]->storePort_, StoreMode::Silent);
  }
  Return(aFleet, aCopy);
  aFleet.Advance(Seconds(3));
  for (RelayFleet::Node* node : living) {
    aFleet.store_->SetExtraPortMode(node->storePort_, StoreMode::Up);
  }
}

void
ReturnOfASlowStore(RelayFleet& aFleet, const StoreEmulator::Copy& aCopy)
{
  aFleet.store_->SetDelay(Millis(500));
  for (int i = 0; i < 4; i++) {
    Return(aFleet, aCopy);
    aFleet.Advance(Millis(2600));
  }
  aFleet.store_->SetDelay(Millis(1));
}

void
ReturnWhileEraIsGarbled(RelayFleet& aFleet, const StoreEmulator::Copy& aCopy)
{
  aFleet.store_->SetEraText("18446744073709551616");
  Return(aFleet, aCopy);
  aFleet.Advance(Seconds(1));
  aFleet.store_->SetEraText("-1");
  aFleet.Advance(Seconds(1));
  aFleet.store_->SetEraText(std::nullopt);
}

class ReturnBeside : public testing::TestWithParam<ReturnBesideCase>
{};

/// Guards against a configuration that goes back, changes that are not taken, and relays that are lost or doubled, when
/// the store's return from an older copy comes together with other trouble.
TEST_P(ReturnBeside, ChangesArriveAndNothingGoesBack)
{
  RelayFleet fleet(8);
  ASSERT_TRUE(fleet.AdvanceUntil([&] { return fleet.AllReady(); }, Seconds(5)));
  fleet.Advance(Seconds(10));
  const StoreEmulator::Copy copy = fleet.store_->TakeCopy();
  fleet.store_->Put("config", "main", Configuration(2));
  for (unsigned i = 0; i < 3000; i++) {
    WriteNote(fleet);
  }
  fleet.Advance(kApplyTime);
  GetParam().beside_(fleet, copy);
  fleet.Advance(Millis(500));
  fleet.store_->Put("config", "main", Configuration(2));
  AdvanceWithWrites(
    fleet, [] { return false; }, Seconds(4));
  const auto hasVersion = [&](uint64_t aVersion) {
    return fleet.All([aVersion](auto& aNode) { return RelayFleet::Version(aNode) == aVersion; });
  };
  EXPECT_TRUE(hasVersion(2));
  fleet.store_->Put("config", "main", Configuration(3));
  fleet.store_->Delete("servers", "t2");
  const auto isKnown = [&] {
    return hasVersion(3) && fleet.All([](auto& aNode) { return aNode.router_->TargetCount() == 1; });
  };
  EXPECT_TRUE(AdvanceWithWrites(fleet, isKnown, kApplyTime));
  fleet.Advance(Seconds(40));
  EXPECT_EQ(Holders(fleet).size(), RelayDirectory::kRelaysPerDataCentre);
  EXPECT_EQ(fleet.Living(Discovery::Source::Store).size(), RelayDirectory::kRelaysPerDataCentre);
}

INSTANTIATE_TEST_SUITE_P(Store,
                         ReturnBeside,
                         testing::Values(ReturnBesideCase{ "Alone", &Return },
                                         ReturnBesideCase{ "Twice", &ReturnTwice },
                                         ReturnBesideCase{ "ThriceUnheard", &ReturnThriceUnheard },
                                         ReturnBesideCase{ "ThriceInALongOutage", &ReturnThriceInALongOutage },
                                         ReturnBesideCase{ "WhileRestarting", &ReturnWhileRestarting },
                                         ReturnBesideCase{ "WhileOneRelayIsCutOff", &ReturnWhileOneRelayIsCutOff },
                                         ReturnBesideCase{ "WhileAllButOneAreCutOff", &ReturnWhileAllButOneAreCutOff },
                                         ReturnBesideCase{ "OfASlowStore", &ReturnOfASlowStore },
                                         ReturnBesideCase{ "WhileEraIsGarbled", &ReturnWhileEraIsGarbled }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

/// Guards against a new era of which nothing tells how it began and what was done.
TEST(StoreReturnOfRelays, NewEraIsLogged)
{
  RelayFleet fleet(3);
  ASSERT_TRUE(fleet.AdvanceUntil([&] { return fleet.AllReady(); }, Seconds(8)));
  fleet.Advance(Seconds(10));
  EXPECT_EQ(fleet.log_.Count("event=store_era_began era=1 previous=0"), 3);
  ReturnFromCopy(fleet, fleet.store_->TakeCopy());
  fleet.Advance(Seconds(8));
  EXPECT_EQ(fleet.log_.Count("event=store_era_began era=2 previous=1"), 3);
  EXPECT_EQ(fleet.log_.Count("event=older_entries_taken"), 3);
  for (RelayFleet::Node* node : fleet.Living()) {
    EXPECT_EQ(node->discovery_->Era(), StoreEra(2));
    EXPECT_EQ(node->discovery_->RegistrationsRewritten(), 1U);
  }
}

/// Guards against a source that answers with less than is known, and counts as contact: a list that is not taken shows
/// in the log, in a counter and in the age of what is known, and contact is lost when it stays so.
TEST(Discovery, RefusedListsAreNoContact)
{
  RelayFleet fleet(1);
  RelayFleet::Node& instance = *fleet.nodes_[0];
  fleet.store_->SetEraText("");
  ASSERT_TRUE(fleet.AdvanceUntil([&] { return fleet.AllReady(); }, Seconds(5)));
  const StoreEmulator::Copy copy = fleet.store_->TakeCopy();
  fleet.store_->Put("config", "main", Configuration(2));
  for (unsigned i = 0; i < 100; i++) {
    WriteNote(fleet);
  }
  fleet.Advance(Seconds(5));
  fleet.store_->ReturnFrom(copy);
  // Two watches and the pause between them.
  fleet.Advance(Seconds(15));
  EXPECT_FALSE(instance.discovery_->IsInContact());
  EXPECT_FALSE(instance.discovery_->IsCurrentRelay());
  EXPECT_GT(fleet.log_.Count("event=source_behind kind=config source=store stated=0/"), 0);
  EXPECT_GT(instance.discovery_->AnswersBehind(), 0U);
  EXPECT_GT(instance.discovery_->ConfigurationAge(), Seconds(4));
  EXPECT_GT(instance.discovery_->ConfigurationPosition().revision_, StoreRevision(fleet.store_->Revision()));
}

} // namespace
} // namespace ibisrock::platform
