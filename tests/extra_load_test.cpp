#include "fakes/fake_cluster.h"

#include <gtest/gtest.h>

namespace ibisrock {
namespace {

using fakes::ClusterShape;
using fakes::FakeCluster;
using fakes::FakeTarget;

constexpr uint64_t kSeed = 11;
constexpr unsigned kQueries = 300;

struct LoadCase
{
  const char* name_;
  double slowShare_;
  /// Number of shards, starting with shard 0, that have one replica down.
  unsigned lostShards_;
  bool hedges_;
  bool retries_;
};

class ExtraLoad : public testing::TestWithParam<LoadCase>
{};

// Guards against missing shards caused by stragglers or a lost replica, against extra attempts beyond the budget, and
// against every query trying the lost replica again.
TEST_P(ExtraLoad, StaysWithinTheBudgetAtFullCoverage)
{
  const LoadCase& param = GetParam();
  ClusterShape shape;
  FakeCluster cluster(shape, kSeed);
  cluster.Start();
  for (unsigned shard = 0; shard < shape.shards_; shard++) {
    for (unsigned replica = 0; replica < shape.replicas_; replica++) {
      FakeTarget target;
      target.spread_ = 0.5;
      target.slowShare_ = param.slowShare_;
      target.down_ = replica == 0 && shard < param.lostShards_;
      cluster.targets_.Set(FakeCluster::TargetOf(shard, replica), target);
    }
  }
  for (unsigned query = 0; query < kQueries; query++) {
    const Answer answer = cluster.Ask(0, FakeCluster::MakeQuery(std::to_string(query)));
    ASSERT_EQ(answer.covered_.size(), shape.shards_);
    ASSERT_EQ(answer.matches_.size(), shape.shards_);
    ASSERT_EQ(answer.verdict_, Verdict::Ran);
  }
  const RunCounters& counters = cluster.At(0).Services().Get(ServiceName(fakes::kClusterService)).counters_;
  const uint64_t firstAttempts = uint64_t{ kQueries } * shape.shards_;
  const uint64_t extra = counters.hedges_ + counters.retries_;
  EXPECT_EQ(counters.attempts_, firstAttempts + extra);
  EXPECT_LE(extra, firstAttempts / 20 + 10);
  EXPECT_EQ(counters.hedges_ > 0, param.hedges_);
  EXPECT_EQ(counters.retries_ > 0, param.retries_);
  EXPECT_LT(counters.retries_, kQueries / 10);
}

INSTANTIATE_TEST_SUITE_P(Faults,
                         ExtraLoad,
                         testing::Values(LoadCase{ "Stragglers", 0.01, 0, true, false },
                                         LoadCase{ "LostReplicas", 0, 2, true, true }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

} // namespace
} // namespace ibisrock
