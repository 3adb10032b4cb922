#include "experiment/shapes.h"
#include "experiment/trial.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace ibisrock::experiment {
namespace {

constexpr uint64_t kSeed = 1;
/// About 1000 queries for each scenario, so more than 10,000 together.
constexpr double kLoad = 0.1;
constexpr Micros kDuration = Seconds(14);

class HistoryOf : public testing::TestWithParam<Scenario>
{};

// Guards against any broken promise (P1 to P8) in a concurrent run under the faults of one scenario.
TEST_P(HistoryOf, BreaksNoPromise)
{
  TrialSettings settings;
  settings.shape_ = FindShape("pk-north/dockdesk")->shape_;
  settings.scenario_ = &GetParam();
  settings.load_ = kLoad;
  settings.duration_ = kDuration;
  settings.seed_ = kSeed;
  settings.keyedShare_ = 0.2;
  const TrialResult result = Trial(settings).Run();
  EXPECT_GT(result.whole_, 500U);
  for (const history::Violation& violation : result.violations_) {
    ADD_FAILURE() << violation.promise_ << ": " << violation.text_;
  }
}

std::string
TestName(const testing::TestParamInfo<Scenario>& aInfo)
{
  std::string name = aInfo.param.name_;
  std::replace(name.begin(), name.end(), '-', '_');
  return name;
}

INSTANTIATE_TEST_SUITE_P(Scenarios, HistoryOf, testing::ValuesIn(AllScenarios()), TestName);

// Guards against a crashing query that takes down more than one replica of each shard while it is sent every second.
TEST(CrashingQuery, CostsAtMostOneReplicaOfEachShardAndOneCanary)
{
  TrialSettings settings;
  settings.shape_ = FindShape("pk-north/dockdesk")->shape_;
  settings.scenario_ = FindScenario("crashes");
  settings.load_ = kLoad;
  settings.duration_ = kDuration;
  settings.seed_ = kSeed;
  const TrialResult result = Trial(settings).Run();
  EXPECT_LE(result.crashes_, settings.shape_.shards_ + 1);
}

} // namespace
} // namespace ibisrock::experiment
