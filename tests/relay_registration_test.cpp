#include "platform/emulator/store_emulator.h"
#include "platform/relay_registration.h"

#include <gtest/gtest.h>

namespace ibisrock::platform {
namespace {

using nlohmann::json;

const RelaySlotName kName("z.0");

/// A registration, the emulated store and a clock that the test advances.
class RegistrationFixture
{
public:
  RegistrationFixture()
  {
    LastReason reason;
    store_ = StoreEmulator::Create(loop_, timers_, { "127.0.0.1", 0 }, reason);
    EXPECT_TRUE(store_) << reason.Text();
    registration_.emplace(
      loop_,
      timers_,
      eras_,
      adapters::SocketAddress{ "127.0.0.1", store_->Port() },
      crashMemory_,
      RelayRegistration::Settings{ InstanceId("self"), DataCentre("z"), PeerAddress("127.0.0.1:1"), [] {
                                    return Micros(Seconds(1'800'000'000));
                                  } });
  }

  void Advance(Micros aTime)
  {
    for (const TimePoint end = timers_.Now() + aTime; timers_.Now() < end;) {
      timers_.Advance(Millis(5));
      loop_.run_for(std::chrono::microseconds(500));
      while (loop_.poll() > 0) {
      }
    }
  }

  /// Whether the claim succeeded.
  bool Claim(const StorePosition& aPosition)
  {
    bool isHeld = false;
    registration_->Claim({ kName, aPosition }, [&](bool aIsHeld) { isHeld = aIsHeld; });
    Advance(Millis(200));
    return isHeld;
  }

  void Renew()
  {
    registration_->Renew(1, {}, [](bool) {});
    Advance(Millis(200));
  }

  std::string Holder() const
  {
    return store_->TakeCopy().objects_.at(RelayRegistration::kKind).at(kName.Value()).at("spec").at("instance");
  }

  boost::asio::io_context loop_{ 1 };
  ManualTimerService timers_;
  StoreEras eras_;
  CrashHistory history_{ timers_ };
  CrashMemory crashMemory_{ timers_, history_ };
  std::unique_ptr<StoreEmulator> store_;
  std::optional<RelayRegistration> registration_;
};

/// Guards against a claim by a revision that was read in an older era and stands for another registration by now.
TEST(RelayRegistration, VacancyOfAnOlderEraIsNotClaimed)
{
  RegistrationFixture fixture;
  fixture.eras_.Judge(StoreEra(1));
  fixture.eras_.Judge(StoreEra(2));
  EXPECT_FALSE(fixture.Claim({ StoreEra(1), StoreRevision() }));
  EXPECT_EQ(fixture.store_->CallCount(), 0U);
}

/// Guards against a renewal whose condition holds by accident: the store has returned from an older copy unnoticed and
/// given the revision out again for the registration of another holder. The renewal does not count, nothing is written
/// by the old position any more, and the list of the new era decides.
TEST(RelayRegistration, RenewalAcrossErasDoesNotCount)
{
  RegistrationFixture fixture;
  const StoreEmulator::Copy copy = fixture.store_->TakeCopy();
  ASSERT_TRUE(fixture.Claim({ StoreEra(), StoreRevision() }));
  const uint64_t revision = fixture.store_->Revision();
  fixture.store_->ReturnFrom(copy);
  fixture.store_->Put(RelayRegistration::kKind, kName.Value(), { { "instance", "other" } });
  ASSERT_EQ(fixture.store_->Revision(), revision);
  fixture.Renew();
  EXPECT_EQ(fixture.eras_.Newest(), StoreEra(2));
  EXPECT_TRUE(fixture.registration_->IsOutdated());
  const uint64_t calls = fixture.store_->CallCount();
  fixture.Renew();
  EXPECT_EQ(fixture.store_->CallCount(), calls);
}

/// Guards against a planned stop that deletes the registration of another holder, whose revision is the same in the new
/// era.
TEST(RelayRegistration, ReleaseInAnotherEraWritesNothing)
{
  RegistrationFixture fixture;
  ASSERT_TRUE(fixture.Claim({ StoreEra(), StoreRevision() }));
  fixture.eras_.Judge(StoreEra(2));
  const uint64_t calls = fixture.store_->CallCount();
  fixture.registration_->Release();
  fixture.Advance(Millis(200));
  EXPECT_EQ(fixture.store_->CallCount(), calls);
  EXPECT_FALSE(fixture.registration_->IsHeld());
}

/// What the store has of the held registration after its return, and who holds it afterwards.
struct ReadoptionCase
{
  const char* name_;
  json spec_;
  const char* holder_;
};

json
HeldBy(const char* aInstance)
{
  return RelayRegistration::Encode(
    { kName, InstanceId(aInstance), PeerAddress("127.0.0.1:1"), DataCentre("z"), 1, {}, {} })["spec"];
}

class Readoption : public testing::TestWithParam<ReadoptionCase>
{};

/// Guards against a registration that is lost, doubled or written over after the store's return from an older copy.
TEST_P(Readoption, FollowsWhatTheStoreHas)
{
  const ReadoptionCase& test = GetParam();
  RegistrationFixture fixture;
  const StoreEmulator::Copy copy = fixture.store_->TakeCopy();
  ASSERT_TRUE(fixture.Claim({ StoreEra(), StoreRevision() }));
  fixture.store_->ReturnFrom(copy);
  if (!test.spec_.is_null()) {
    fixture.store_->Put(RelayRegistration::kKind, kName.Value(), test.spec_);
  }
  fixture.eras_.Judge(StoreEra(2));
  ASSERT_TRUE(fixture.registration_->IsOutdated());
  bool isRead = false;
  fixture.registration_->Readopt([&] { isRead = true; });
  fixture.Advance(Millis(200));
  EXPECT_TRUE(isRead);
  fixture.Renew();
  EXPECT_EQ(fixture.registration_->IsHeld(), std::string(test.holder_) == "self");
  EXPECT_EQ(fixture.Holder(), test.holder_);
}

INSTANTIATE_TEST_SUITE_P(RelayRegistration,
                         Readoption,
                         testing::Values(ReadoptionCase{ "Missing", json(), "self" },
                                         ReadoptionCase{ "OwnFromTheCopy", HeldBy("self"), "self" },
                                         ReadoptionCase{ "Released", { { "released", true } }, "self" },
                                         ReadoptionCase{ "OddEntry", { { "instance", 5 } }, "self" },
                                         ReadoptionCase{ "OfAnotherHolder", HeldBy("other"), "other" }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

} // namespace
} // namespace ibisrock::platform
