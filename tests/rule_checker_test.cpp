#include "platform/emulator/rule_checker.h"

#include <gtest/gtest.h>

namespace ibisrock::platform {
namespace {

const PoolName kPool("pool");
const TargetName kTarget("t");

/// A checker on a manual clock, long after the start. Instance 1 is never left alone, and instance 2 stops as planned.
class CheckerFixture
{
public:
  CheckerFixture() { timers_.Advance(Seconds(60)); }

  void Send(size_t aInstance = 0) { checker_.OnSent(Id(), aInstance, { kPool }); }
  void Arrive() { checker_.OnArrival(kTarget, kPool, Id()); }
  void NextRequest() { number_++; }
  std::string Id() const { return "r" + std::to_string(number_); }

  ManualTimerService timers_;
  RuleChecker checker_{ timers_,
                        {},
                        [](size_t aInstance, Micros) { return aInstance != 1; },
                        [](size_t aInstance, Micros) { return aInstance == 2; } };
  size_t number_ = 0;
};

struct CheckedCase
{
  const char* name_;
  void (*play_)(CheckerFixture&);
  size_t violations_;
};

/// The target answers the present request with a notice; aCount requests reach it aLater.
void
SayAndArrive(CheckerFixture& aFixture, const TargetNotice& aNotice, Micros aLater, size_t aCount, size_t aInstance = 0)
{
  aFixture.Send(aInstance);
  aFixture.Arrive();
  aFixture.checker_.OnAnswer(kTarget, aFixture.Id(), aNotice);
  aFixture.timers_.Advance(aLater);
  for (size_t i = 0; i < aCount; i++) {
    aFixture.NextRequest();
    aFixture.Send(aInstance);
    aFixture.Arrive();
  }
}

void
LeaveAndArrive(CheckerFixture& aFixture, Micros aLater, size_t aInstance = 0)
{
  aFixture.checker_.OnStateStored(kTarget, true);
  aFixture.timers_.Advance(aLater);
  aFixture.Send(aInstance);
  aFixture.Arrive();
}

/// The store is away for a second; a second later a target that leaves has written so again.
void
ReturnStore(CheckerFixture& aFixture)
{
  aFixture.checker_.OnStoreDisturbed(Seconds(1));
  aFixture.timers_.Advance(Seconds(2));
  aFixture.checker_.OnStateStored(kTarget, true);
}

/// What the store has confirmed before it went away stays confirmed.
void
LeaveAndReturnStore(CheckerFixture& aFixture)
{
  aFixture.checker_.OnStateStored(kTarget, true);
  ReturnStore(aFixture);
}

/// Sends 100 requests, of which each arrives aArrivals times, over 5 s.
void
SendMany(CheckerFixture& aFixture, size_t aArrivals)
{
  for (int i = 0; i < 100; i++) {
    aFixture.NextRequest();
    aFixture.Send();
    for (size_t arrival = 0; arrival < aArrivals; arrival++) {
      aFixture.Arrive();
    }
    aFixture.timers_.Advance(Millis(50));
  }
}

/// Copies of the crashing request arrive aLater than its third crash.
void
CrashAndArrive(CheckerFixture& aFixture, unsigned aCrashes, Micros aLater, size_t aCount, size_t aInstance = 0)
{
  for (unsigned i = 0; i < aCrashes; i++) {
    aFixture.checker_.OnCrash();
  }
  aFixture.timers_.Advance(aLater);
  for (size_t i = 0; i < aCount; i++) {
    const std::string id = "crash-" + std::to_string(i);
    aFixture.checker_.OnSent(id, aInstance, { kPool });
    aFixture.checker_.OnArrival(kTarget, kPool, id);
  }
}

/// A request to an instance ends without an answer.
void
Lose(CheckerFixture& aFixture, size_t aInstance, bool aArrives, Micros aSince)
{
  aFixture.Send(aInstance);
  if (aArrives) {
    aFixture.Arrive();
  }
  aFixture.timers_.Advance(aSince);
  aFixture.checker_.OnLost(aFixture.Id(), aInstance, aSince);
}

class CheckedRule : public testing::TestWithParam<CheckedCase>
{};

/// Guards against a soak that passes over a broken rule, or that calls an excused case a violation.
TEST_P(CheckedRule, IsBrokenOrHeld)
{
  CheckerFixture fixture;
  GetParam().play_(fixture);
  EXPECT_EQ(fixture.checker_.Violations().size(), GetParam().violations_);
}

INSTANTIATE_TEST_SUITE_P(
  Soak,
  CheckedRule,
  testing::Values(
    CheckedCase{ "DrainInTime", [](CheckerFixture& aFixture) { LeaveAndArrive(aFixture, Millis(2900)); }, 0 },
    CheckedCase{ "DrainTooLate", [](CheckerFixture& aFixture) { LeaveAndArrive(aFixture, Millis(3100)); }, 1 },
    CheckedCase{ "DrainAtDisturbedInstance",
                 [](CheckerFixture& aFixture) { LeaveAndArrive(aFixture, Millis(3100), 1); },
                 0 },
    CheckedCase{ "DrainAfterReturn",
                 [](CheckerFixture& aFixture) {
                   aFixture.checker_.OnStateStored(kTarget, true);
                   aFixture.checker_.OnStateStored(kTarget, false);
                   aFixture.timers_.Advance(Seconds(4));
                   aFixture.Send();
                   aFixture.Arrive();
                 },
                 0 },
    CheckedCase{ "DrainWhileStoreIsDisturbed",
                 [](CheckerFixture& aFixture) {
                   aFixture.checker_.OnStoreDisturbed(Seconds(1));
                   LeaveAndArrive(aFixture, Seconds(20));
                 },
                 0 },
    CheckedCase{ "DrainBeforeTheStoresReturn",
                 [](CheckerFixture& aFixture) {
                   LeaveAndReturnStore(aFixture);
                   aFixture.timers_.Advance(Millis(3100));
                   aFixture.Send();
                   aFixture.Arrive();
                 },
                 1 },
    CheckedCase{ "DrainSoonAfterTheStoresReturn",
                 [](CheckerFixture& aFixture) {
                   LeaveAndReturnStore(aFixture);
                   aFixture.timers_.Advance(Millis(2900));
                   aFixture.Send();
                   aFixture.Arrive();
                 },
                 0 },
    CheckedCase{ "DrainSoonAfterTheStoresReturnUntilLate",
                 [](CheckerFixture& aFixture) {
                   LeaveAndReturnStore(aFixture);
                   aFixture.timers_.Advance(Millis(2900));
                   aFixture.Send();
                   aFixture.timers_.Advance(Millis(200));
                   aFixture.Arrive();
                 },
                 0 },
    CheckedCase{ "DrainOnlyConfirmedSoonAfterTheStoresReturn",
                 [](CheckerFixture& aFixture) {
                   aFixture.checker_.OnStoreDisturbed(Seconds(1));
                   aFixture.checker_.OnStateStored(kTarget, true);
                   ReturnStore(aFixture);
                   aFixture.timers_.Advance(Seconds(10));
                   aFixture.Send();
                   aFixture.Arrive();
                 },
                 0 },
    CheckedCase{ "DrainWrittenAgainInTheCalm",
                 [](CheckerFixture& aFixture) {
                   aFixture.checker_.OnStateStored(kTarget, true);
                   aFixture.timers_.Advance(Seconds(2));
                   LeaveAndArrive(aFixture, Millis(1100));
                 },
                 1 },
    CheckedCase{ "DrainLongAfterTheStoresReturn",
                 [](CheckerFixture& aFixture) {
                   aFixture.checker_.OnStoreDisturbed(Seconds(1));
                   aFixture.timers_.Advance(Millis(5100));
                   LeaveAndArrive(aFixture, Millis(3100));
                 },
                 1 },
    CheckedCase{ "ThreeLateRetriesOfACrashingRequest",
                 [](CheckerFixture& aFixture) { CrashAndArrive(aFixture, 3, Millis(4100), 3); },
                 0 },
    CheckedCase{ "FourLateRetriesOfACrashingRequest",
                 [](CheckerFixture& aFixture) { CrashAndArrive(aFixture, 3, Millis(4100), 4); },
                 1 },
    CheckedCase{ "FourSoonRetriesOfACrashingRequest",
                 [](CheckerFixture& aFixture) { CrashAndArrive(aFixture, 3, Millis(3900), 4); },
                 0 },
    CheckedCase{ "FourRetriesAfterTwoCrashes",
                 [](CheckerFixture& aFixture) { CrashAndArrive(aFixture, 2, Millis(4100), 4); },
                 0 },
    CheckedCase{ "FourLateRetriesAtADisturbedInstance",
                 [](CheckerFixture& aFixture) { CrashAndArrive(aFixture, 3, Millis(4100), 4, 1); },
                 0 },
    CheckedCase{ "SaidLeavingLongAgo",
                 [](CheckerFixture& aFixture) {
                   SayAndArrive(aFixture, { true, {} }, Millis(3100), 1);
                 },
                 1 },
    CheckedCase{ "SaidLeavingJustNow",
                 [](CheckerFixture& aFixture) {
                   SayAndArrive(aFixture, { true, {} }, Millis(2900), 1);
                 },
                 0 },
    CheckedCase{ "SaidLeavingToDisturbedInstance",
                 [](CheckerFixture& aFixture) {
                   SayAndArrive(aFixture, { true, {} }, Millis(3100), 1, 1);
                 },
                 0 },
    CheckedCase{ "TwoInAPause",
                 [](CheckerFixture& aFixture) {
                   SayAndArrive(aFixture, { false, Seconds(2) }, Seconds(1), 2);
                 },
                 0 },
    CheckedCase{ "ThreeInAPause",
                 [](CheckerFixture& aFixture) {
                   SayAndArrive(aFixture, { false, Seconds(2) }, Seconds(1), 3);
                 },
                 1 },
    CheckedCase{ "ThreeAtTheBeginOfAPause",
                 [](CheckerFixture& aFixture) {
                   SayAndArrive(aFixture, { false, Seconds(2) }, Millis(400), 3);
                 },
                 0 },
    CheckedCase{ "ThreeAfterAPause",
                 [](CheckerFixture& aFixture) {
                   SayAndArrive(aFixture, { false, Seconds(2) }, Millis(2100), 3);
                 },
                 0 },
    CheckedCase{ "BudgetKept", [](CheckerFixture& aFixture) { SendMany(aFixture, 1); }, 0 },
    CheckedCase{ "BudgetExceeded", [](CheckerFixture& aFixture) { SendMany(aFixture, 2); }, 1 },
    CheckedCase{ "BudgetOfTwoWindows",
                 [](CheckerFixture& aFixture) {
                   for (int burst = 0; burst < 2; burst++) {
                     for (int i = 0; i < 50; i++) {
                       aFixture.NextRequest();
                       aFixture.Send();
                       aFixture.Arrive();
                       aFixture.Arrive();
                     }
                     aFixture.timers_.Advance(Seconds(11));
                   }
                 },
                 0 },
    CheckedCase{ "ConfigInTime",
                 [](CheckerFixture& aFixture) { aFixture.checker_.OnStaleRoute(0, "route", Millis(2900)); },
                 0 },
    CheckedCase{ "ConfigTooLate",
                 [](CheckerFixture& aFixture) { aFixture.checker_.OnStaleRoute(0, "route", Millis(3100)); },
                 1 },
    CheckedCase{ "ConfigAtDisturbedInstance",
                 [](CheckerFixture& aFixture) { aFixture.checker_.OnStaleRoute(1, "route", Millis(3100)); },
                 0 },
    CheckedCase{ "ConfigSoonAfterACut",
                 [](CheckerFixture& aFixture) {
                   aFixture.checker_.OnInstanceCutOff(0, Seconds(1));
                   aFixture.timers_.Advance(Millis(4900));
                   aFixture.checker_.OnStaleRoute(0, "route", Millis(3100));
                 },
                 0 },
    CheckedCase{ "ConfigLongAfterACut",
                 [](CheckerFixture& aFixture) {
                   aFixture.checker_.OnInstanceCutOff(0, Seconds(1));
                   aFixture.timers_.Advance(Millis(5100));
                   aFixture.checker_.OnStaleRoute(0, "route", Millis(3100));
                 },
                 1 },
    CheckedCase{ "ConfigSoonAfterTheStoresReturn",
                 [](CheckerFixture& aFixture) {
                   aFixture.checker_.OnStoreDisturbed(Seconds(1));
                   aFixture.timers_.Advance(Millis(4900));
                   aFixture.checker_.OnStaleRoute(0, "route", Millis(5000));
                 },
                 0 },
    CheckedCase{ "ConfigLongAfterTheStoresReturn",
                 [](CheckerFixture& aFixture) {
                   aFixture.checker_.OnStoreDisturbed(Seconds(1));
                   aFixture.timers_.Advance(Millis(5100));
                   aFixture.checker_.OnStaleRoute(0, "route", Millis(5200));
                 },
                 1 },
    CheckedCase{ "ConfigWhileAnotherIsCutOff",
                 [](CheckerFixture& aFixture) {
                   aFixture.checker_.OnInstanceCutOff(2, Seconds(10));
                   aFixture.checker_.OnStaleRoute(0, "route", Millis(3100));
                 },
                 1 },
    CheckedCase{ "LostAtATarget", [](CheckerFixture& aFixture) { Lose(aFixture, 2, true, Millis(10)); }, 1 },
    CheckedCase{ "LostAfterItWasTaken", [](CheckerFixture& aFixture) { Lose(aFixture, 2, false, Millis(210)); }, 1 },
    CheckedCase{ "CrossesTheClose", [](CheckerFixture& aFixture) { Lose(aFixture, 2, false, Millis(190)); }, 0 },
    CheckedCase{ "LostOutsideOfAStop", [](CheckerFixture& aFixture) { Lose(aFixture, 0, true, Millis(210)); }, 0 },
    CheckedCase{ "LostSoonAfterTargetsWereDisturbed",
                 [](CheckerFixture& aFixture) {
                   aFixture.checker_.OnTargetsDisturbed(Seconds(1));
                   aFixture.timers_.Advance(Millis(4900));
                   Lose(aFixture, 2, true, Millis(210));
                 },
                 0 },
    CheckedCase{ "LostLongAfterTargetsWereDisturbed",
                 [](CheckerFixture& aFixture) {
                   aFixture.checker_.OnTargetsDisturbed(Seconds(1));
                   aFixture.timers_.Advance(Millis(5100));
                   Lose(aFixture, 2, true, Millis(210));
                 },
                 1 }),
  [](const auto& aInfo) { return aInfo.param.name_; });

} // namespace
} // namespace ibisrock::platform
