#include "process/admission.h"

#include <gtest/gtest.h>

namespace ibisrock {
namespace {

ServiceConfig
MakeService(double aQueriesPerSecond, unsigned aConcurrent)
{
  ServiceConfig service;
  service.name_ = ServiceName("dockdesk");
  service.maxQueries_ = PerSecond{ aQueriesPerSecond };
  service.maxConcurrent_ = aConcurrent;
  service.callerLimits_[CallerName("limited")] = PerSecond{ 10 };
  return service;
}

struct RateCase
{
  const char* name_;
  const char* caller_;
  unsigned instances_;
  /// Number of live instances five seconds earlier.
  unsigned earlierInstances_;
  unsigned expected_;
};

class AdmissionRate : public testing::TestWithParam<RateCase>
{};

// Guards against shares whose sum over all instances exceeds the limit, also while the number of instances falls.
TEST_P(AdmissionRate, EachInstanceEnforcesItsShare)
{
  ManualTimerService timers;
  AdmissionController admission(timers);
  admission.SetInstanceCount(GetParam().earlierInstances_);
  timers.Advance(Seconds(5));
  admission.SetInstanceCount(GetParam().instances_);
  const ServiceConfig service = MakeService(100, 1000);
  const CallerName caller(GetParam().caller_);
  unsigned admitted = 0;
  for (unsigned step = 0; step < 4000; step++) {
    timers.Advance(Millis(1));
    if (!admission.Admit(service, caller)) {
      admitted++;
      admission.Release(service.name_, caller, {});
    }
  }
  EXPECT_NEAR(admitted, GetParam().expected_, GetParam().expected_ * 0.15 + 1);
}

INSTANTIATE_TEST_SUITE_P(Shares,
                         AdmissionRate,
                         testing::Values(RateCase{ "ServiceLimit", "other", 4, 4, 100 },
                                         RateCase{ "CallerLimit", "limited", 4, 4, 10 },
                                         RateCase{ "InstanceCountDecreased", "other", 2, 5, 80 }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

// Guards against exceeding the configured concurrency limit, and against leaking a slot when a query ends.
TEST(AdmissionConcurrency, EnforcesShareOfLimit)
{
  ManualTimerService timers;
  AdmissionController admission(timers);
  admission.SetInstanceCount(2);
  const ServiceConfig service = MakeService(10000, 8);
  const CallerName caller("other");
  for (unsigned query = 0; query < 4; query++) {
    EXPECT_FALSE(admission.Admit(service, caller));
  }
  auto refusal = admission.Admit(service, caller);
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->reason_, Reason::Overloaded);
  EXPECT_GT(refusal->retryAfter_, Micros::zero());
  admission.Release(service.name_, caller, {});
  EXPECT_FALSE(admission.Admit(service, caller));
}

// Guards against one caller that uses up the whole concurrency limit of a service.
TEST(AdmissionConcurrency, ReservesCapacityForOtherCallers)
{
  ManualTimerService timers;
  AdmissionController admission(timers);
  admission.SetInstanceCount(1);
  const ServiceConfig service = MakeService(10000, 10);
  ASSERT_FALSE(admission.Admit(service, CallerName("quiet")));
  while (!admission.Admit(service, CallerName("noisy"))) {
  }
  EXPECT_FALSE(admission.Admit(service, CallerName("quiet")));
}

struct LimitCase
{
  const char* name_;
  ConcurrencyLimit::Sample sample_;
  bool increases_;
  bool decreases_;
};

class AdaptiveConcurrencyLimit : public testing::TestWithParam<LimitCase>
{};

// Guards against a limit that increases under overload, or at low load, where samples do not show that a higher limit
// is safe.
TEST_P(AdaptiveConcurrencyLimit, AdaptsToSamples)
{
  ConcurrencyLimit limit;
  const unsigned before = limit.Current();
  TimePoint now(Seconds(1));
  for (unsigned sample = 0; sample < 200; sample++) {
    now += Millis(10);
    limit.AddSample(GetParam().sample_, now);
  }
  EXPECT_EQ(limit.Current() > before, GetParam().increases_);
  EXPECT_EQ(limit.Current() < before, GetParam().decreases_);
  EXPECT_GE(limit.Current(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Samples,
                         AdaptiveConcurrencyLimit,
                         testing::Values(LimitCase{ "HighLoad", { false, Micros(0), 1000 }, true, false },
                                         LimitCase{ "LowLoad", { false, Micros(0), 1 }, false, false },
                                         LimitCase{ "Overloaded", { true, Micros(0), 1000 }, false, true },
                                         LimitCase{ "LongQueueWait", { false, Seconds(1), 1000 }, false, true }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

} // namespace
} // namespace ibisrock
