#include "base/random.h"
#include "process/extra_attempt_budget.h"
#include "process/extra_attempt_share.h"
#include "process/request_rate.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <gtest/gtest.h>
#include <memory>

namespace ibisrock {
namespace {

constexpr double kShare = 0.2;
constexpr Seconds kWindow(10);
/// Relays report the rates of their instances this often.
constexpr Seconds kReportPeriod(10);

struct FleetCase
{
  const char* name_;
  size_t instances_;
  /// Requests a second to the whole fleet, of which each goes to the pool once.
  double rate_;
  double slack_;
  /// Factor of the rate in the last third of the time.
  double burst_;
  /// All instances restart each time this has passed; never if it is zero.
  Micros restartPeriod_{};
};

class ExtraAttemptsOfFleet : public testing::TestWithParam<FleetCase>
{};

/// Guards against extra attempts beyond the bound that all instances share: every attempt wants a hedge and a retry all
/// the time, at uneven load, at the start of the load and in a burst, with rates that are reported late.
TEST_P(ExtraAttemptsOfFleet, StayWithinTheSharedBound)
{
  constexpr Seconds kDuration(90);
  constexpr Micros kStep = Millis(5);
  constexpr unsigned kExtrasWanted = 2;
  const FleetCase& test = GetParam();
  Random random(3);
  struct Instance
  {
    std::unique_ptr<ExtraAttemptBudget> budget_;
    RequestRate latest_{ Seconds(5) };
    RequestRate usual_{ Seconds(30) };
    TimePoint startedAt_{};
    bool hasJustStarted_ = true;
  };
  std::vector<std::unique_ptr<Instance>> instances(test.instances_);
  const ExtraAttemptShare start = ComputeExtraAttemptShare(kShare, test.slack_, { test.instances_, {}, {}, {}, true });
  const auto startInstance = [&start](std::unique_ptr<Instance>& aInstance, TimePoint aNow) {
    aInstance = std::make_unique<Instance>();
    aInstance->startedAt_ = aNow;
    aInstance->budget_ =
      std::make_unique<ExtraAttemptBudget>(start.perAttempt_, start.maxTokens_, start.initialTokens_);
  };
  for (auto& instance : instances) {
    startInstance(instance, {});
  }
  TimePoint nextRestart = TimePoint(test.restartPeriod_);
  std::deque<TimePoint> requests;
  std::deque<TimePoint> extras;
  TimePoint nextUpdate{};
  TimePoint nextReport{ Seconds(1) };
  PerSecond reported;
  double worst = 0;
  for (TimePoint now{}; now < TimePoint(kDuration); now += kStep) {
    const bool bursts = now > TimePoint(2 * kDuration / 3);
    if (test.restartPeriod_ > Micros::zero() && now >= nextRestart) {
      nextRestart += test.restartPeriod_;
      for (auto& instance : instances) {
        startInstance(instance, now);
      }
    }
    if (now >= nextReport) {
      nextReport = now + kReportPeriod;
      reported = {};
      for (const auto& instance : instances) {
        reported.value_ += instance->usual_.At(now).value_;
      }
    }
    if (now >= nextUpdate) {
      nextUpdate = now + Seconds(1);
      for (const auto& instance : instances) {
        const bool isFirstWindowOver = instance->hasJustStarted_ && now - instance->startedAt_ >= kExtraAttemptWindow;
        instance->hasJustStarted_ = instance->hasJustStarted_ && !isFirstWindowOver;
        const ExtraAttemptShare share = ComputeExtraAttemptShare(kShare,
                                                                 test.slack_,
                                                                 { test.instances_,
                                                                   reported,
                                                                   instance->latest_.At(now),
                                                                   instance->usual_.At(now),
                                                                   instance->hasJustStarted_ });
        instance->budget_->SetBounds(share.perAttempt_, share.maxTokens_);
        if (isFirstWindowOver) {
          instance->budget_->Fill();
        }
      }
    }
    const double expected = test.rate_ * (bursts ? test.burst_ : 1) * std::chrono::duration<double>(kStep).count();
    const auto arrivals = static_cast<unsigned>(expected + random.Unit());
    for (unsigned i = 0; i < arrivals; i++) {
      // Half of the requests go to a third of the instances.
      const size_t range = random.Unit() < 0.5 ? std::max<size_t>(test.instances_ / 3, 1) : test.instances_;
      Instance& instance = *instances[random.Below(static_cast<uint32_t>(range))];
      instance.latest_.Count(now);
      instance.usual_.Count(now);
      instance.budget_->OnFirstAttempt();
      requests.push_back(now);
      for (unsigned extra = 0; extra < kExtrasWanted && instance.budget_->TryTake(); extra++) {
        extras.push_back(now);
      }
    }
    std::erase_if(requests, [now](TimePoint aTime) { return now - aTime > kWindow; });
    std::erase_if(extras, [now](TimePoint aTime) { return now - aTime > kWindow; });
    if (now > TimePoint(kWindow)) {
      const double bound = kShare * static_cast<double>(requests.size()) + test.slack_;
      worst = std::max(worst, static_cast<double>(extras.size()) / bound);
    }
  }
  EXPECT_LE(worst, 1);
}

INSTANTIATE_TEST_SUITE_P(ExtraAttempts,
                         ExtraAttemptsOfFleet,
                         testing::Values(FleetCase{ "Small", 7, 112, 54, 1 },
                                         FleetCase{ "SmallBurst", 7, 112, 54, 4 },
                                         FleetCase{ "Grown", 67, 64, 174, 1 },
                                         FleetCase{ "GrownBurst", 79, 90, 198, 3 },
                                         FleetCase{ "Large", 295, 48, 630, 1 },
                                         FleetCase{ "LargeBurst", 295, 48, 630, 3 },
                                         FleetCase{ "LargeNearlyIdle", 295, 5, 630, 1 },
                                         FleetCase{ "RestartsInSeries", 7, 112, 54, 1, Seconds(3) },
                                         FleetCase{ "RestartsInSeriesAtLowRate", 7, 22.5, 54, 1, Seconds(3) },
                                         FleetCase{ "RestartsOnceAWindow", 7, 22.5, 54, 1, Seconds(10) },
                                         FleetCase{ "RestartsAfterAWindow", 7, 22.5, 54, 1, Millis(10'500) },
                                         FleetCase{ "RestartsOfLarge", 295, 48, 630, 1, Seconds(4) }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

/// Guards against a large fleet that cannot hedge: with 1.6 requests a window for each instance, an equal part of the
/// bound allows one hedge in five requests, while most of the bound stays unused.
TEST(ExtraAttemptShare, GivesTheFixedPartByUse)
{
  const ExtraAttemptShare unknown = ComputeExtraAttemptShare(kShare, 630, { 295, {}, {}, {} });
  const ExtraAttemptShare known = ComputeExtraAttemptShare(kShare, 630, { 295, { 48 }, { 0.16 }, { 0.16 } });
  EXPECT_NEAR(unknown.perAttempt_, 0.17, 1e-9);
  EXPECT_GE(known.perAttempt_, 0.4);
  EXPECT_LT(known.hedgeQuantile_, unknown.hedgeQuantile_);
  // A request rate above the usual one lowers it again.
  EXPECT_LT(ComputeExtraAttemptShare(kShare, 630, { 295, { 48 }, { 0.48 }, { 0.16 } }).perAttempt_, 0.3);
  // The gain is too small for the margin that it takes.
  EXPECT_EQ(ComputeExtraAttemptShare(kShare, 54, { 7, { 112 }, {}, {} }).perAttempt_, unknown.perAttempt_);
}

} // namespace
} // namespace ibisrock
