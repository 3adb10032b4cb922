#include "process/route_state.h"

#include <gtest/gtest.h>

namespace ibisrock {
namespace {

using Weights = std::vector<double>;

struct WeightChangeCase
{
  const char* name_;
  Weights before_;
  size_t requestsBefore_;
  Weights after_;
};

std::vector<WeightedPool>
MakePools(const Weights& aWeights)
{
  std::vector<WeightedPool> pools;
  for (const double weight : aWeights) {
    pools.push_back({ PoolName("pool-" + std::to_string(pools.size())), weight });
  }
  return pools;
}

class WeightChange : public testing::TestWithParam<WeightChangeCase>
{};

/// Guards against a traffic split that stays far off its new weights, because what the old weights have left is as
/// large as they were.
TEST_P(WeightChange, TakesEffectWithTheNextRequests)
{
  constexpr size_t kRequests = 20;
  constexpr double kMostOff = 2;
  const std::vector<WeightedPool> before = MakePools(GetParam().before_);
  const std::vector<WeightedPool> after = MakePools(GetParam().after_);
  double total = 0;
  for (const WeightedPool& pool : after) {
    total += pool.weight_;
  }
  for (uint64_t seed = 1; seed <= 50; seed++) {
    RouteState state;
    Random random(seed);
    for (size_t i = 0; i < GetParam().requestsBefore_; i++) {
      state.PickPool(before, random);
    }
    std::unordered_map<PoolName, double> picked;
    for (size_t i = 0; i < kRequests; i++) {
      picked[state.PickPool(after, random)]++;
    }
    for (const WeightedPool& pool : after) {
      EXPECT_NEAR(picked[pool.pool_], kRequests * pool.weight_ / total, kMostOff) << seed;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(RouteState,
                         WeightChange,
                         testing::Values(WeightChangeCase{ "None", { 3, 1 }, 1000, { 3, 1 } },
                                         WeightChangeCase{ "MuchSmallerNumbers", { 900, 100 }, 5, { 1, 1 } },
                                         WeightChangeCase{ "MuchSmallerNumbersLater", { 900, 100 }, 1004, { 1, 1 } },
                                         WeightChangeCase{ "MuchLargerNumbers", { 1, 1 }, 1001, { 900, 100 } },
                                         WeightChangeCase{ "Reversed", { 1'000'000, 1 }, 1001, { 1, 1'000'000 } },
                                         WeightChangeCase{ "OneMore", { 900, 100 }, 1005, { 1, 1, 2 } },
                                         WeightChangeCase{ "OneLess", { 900, 500, 100 }, 1005, { 1, 1 } },
                                         WeightChangeCase{ "ToZero", { 900, 100 }, 1005, { 0, 1 } }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

} // namespace
} // namespace ibisrock
