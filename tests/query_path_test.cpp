#include "fakes/fake_cluster.h"

#include <gtest/gtest.h>

namespace ibisrock {
namespace {

using fakes::ClusterShape;
using fakes::FakeCluster;
using fakes::FakeTarget;

constexpr uint64_t kSeed = 1;

struct ReplicaLossCase
{
  const char* name_;
  /// Number of replicas of shard 0 that are down.
  unsigned downReplicas_;
  size_t covered_;
  size_t missing_;
};

class QueryPath : public testing::TestWithParam<ReplicaLossCase>
{};

// Guards against an answer that does not report a missing shard, or that omits the matches of a covered one.
TEST_P(QueryPath, ReportsItsCoverage)
{
  const ReplicaLossCase& param = GetParam();
  FakeCluster cluster(ClusterShape{}, kSeed);
  cluster.Start();
  for (unsigned replica = 0; replica < param.downReplicas_; replica++) {
    FakeTarget target;
    target.down_ = true;
    cluster.targets_.Set(FakeCluster::TargetOf(0, replica), target);
  }
  const Answer answer = cluster.Ask(3, FakeCluster::MakeQuery("paddler 7"));
  EXPECT_EQ(answer.covered_.size(), param.covered_);
  EXPECT_EQ(answer.missing_.size(), param.missing_);
  EXPECT_EQ(answer.matches_.size(), param.covered_);
  EXPECT_EQ(answer.version_, IndexVersion(1));
  EXPECT_EQ(answer.verdict_, Verdict::Ran);
}

INSTANTIATE_TEST_SUITE_P(ReplicaLosses,
                         QueryPath,
                         testing::Values(ReplicaLossCase{ "None", 0, 20, 0 },
                                         ReplicaLossCase{ "OneReplica", 1, 20, 0 },
                                         ReplicaLossCase{ "WholeShard", 2, 19, 1 }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

} // namespace
} // namespace ibisrock
