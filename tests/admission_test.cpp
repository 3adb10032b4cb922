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
  /// Instances that were live five seconds before.
  unsigned earlierInstances_;
  unsigned expected_;
};

class AdmissionRate : public testing::TestWithParam<RateCase>
{};

// Guards against shares that together exceed a limit, also while the number of instances falls.
TEST_P(AdmissionRate, EachInstanceEnforcesItsShare)
{
  ManualTimerService timers;
  AdmissionController admission(timers);
  admission.SetInstances(GetParam().earlierInstances_);
  timers.Advance(Seconds(5));
  admission.SetInstances(GetParam().instances_);
  const ServiceConfig service = MakeService(100, 1000);
  const CallerName caller(GetParam().caller_);
  unsigned admitted = 0;
  for (unsigned step = 0; step < 4000; step++) {
    timers.Advance(Millis(1));
    if (!admission.Enter(service, caller)) {
      admitted++;
      admission.Leave(service.name_, caller, {});
    }
  }
  EXPECT_NEAR(admitted, GetParam().expected_, GetParam().expected_ * 0.15 + 1);
}

INSTANTIATE_TEST_SUITE_P(Shares,
                         AdmissionRate,
                         testing::Values(RateCase{ "ServiceLimit", "other", 4, 4, 100 },
                                         RateCase{ "CallerLimit", "limited", 4, 4, 10 },
                                         RateCase{ "InstancesWentAway", "other", 2, 5, 80 }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

// Guards against more concurrent queries than the sheet allows, and against a slot that is lost when a query ends.
TEST(AdmissionConcurrency, StaysWithinTheShare)
{
  ManualTimerService timers;
  AdmissionController admission(timers);
  admission.SetInstances(2);
  const ServiceConfig service = MakeService(10000, 8);
  const CallerName caller("other");
  for (unsigned query = 0; query < 4; query++) {
    EXPECT_FALSE(admission.Enter(service, caller));
  }
  auto refusal = admission.Enter(service, caller);
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->reason_, Reason::Overloaded);
  EXPECT_GT(refusal->retryAfter_, Micros::zero());
  admission.Leave(service.name_, caller, {});
  EXPECT_FALSE(admission.Enter(service, caller));
}

// Guards against a noisy caller that takes the whole limit of a service.
TEST(AdmissionConcurrency, NoisyCallerLeavesRoomForOthers)
{
  ManualTimerService timers;
  AdmissionController admission(timers);
  admission.SetInstances(1);
  const ServiceConfig service = MakeService(10000, 10);
  ASSERT_FALSE(admission.Enter(service, CallerName("quiet")));
  while (!admission.Enter(service, CallerName("noisy"))) {
  }
  EXPECT_FALSE(admission.Enter(service, CallerName("quiet")));
}

struct LimitCase
{
  const char* name_;
  ConcurrencyLimit::Sample sample_;
  bool grows_;
  bool shrinks_;
};

class LimitChange : public testing::TestWithParam<LimitCase>
{};

// Guards against a limit that grows under overload, or without evidence in a quiet time.
TEST_P(LimitChange, FollowsTheSamples)
{
  ConcurrencyLimit limit;
  const unsigned before = limit.Current();
  TimePoint now(Seconds(1));
  for (unsigned sample = 0; sample < 200; sample++) {
    now += Millis(10);
    limit.Add(GetParam().sample_, now);
  }
  EXPECT_EQ(limit.Current() > before, GetParam().grows_);
  EXPECT_EQ(limit.Current() < before, GetParam().shrinks_);
  EXPECT_GE(limit.Current(), 1U);
}

INSTANTIATE_TEST_SUITE_P(Samples,
                         LimitChange,
                         testing::Values(LimitCase{ "Busy", { false, Micros(0), 1000 }, true, false },
                                         LimitCase{ "Quiet", { false, Micros(0), 1 }, false, false },
                                         LimitCase{ "Shed", { true, Micros(0), 1000 }, false, true },
                                         LimitCase{ "Queued", { false, Seconds(1), 1000 }, false, true }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

} // namespace
} // namespace ibisrock
