#include "fakes/fake_cluster.h"
#include "process/peer_reachability.h"

#include <gtest/gtest.h>

namespace ibisrock {
namespace {

using fakes::ClusterShape;
using fakes::FakeCluster;

constexpr uint64_t kSeed = 1;
const PeerAddress kPeer("10.0.0.1:1");

struct AnswerCase
{
  const char* name_;
  /// Whether the peer answers attempts and pings while the test sends for 300 ms.
  bool answersAttempts_;
  bool answersPings_;
  bool isSilent_;
};

class Reachability : public testing::TestWithParam<AnswerCase>
{
protected:
  /// Sends one message every 10 ms.
  void SendFor(Micros aTime)
  {
    for (Micros sent{}; sent < aTime; sent += Millis(10)) {
      lastResult_ = peers_.RecordSend(kPeer);
      timers_.Advance(Millis(2));
      if (answersAttempts_) {
        peers_.OnPeerAnswer(kPeer);
      }
      timers_.Advance(Millis(8));
    }
  }

  ManualTimerService timers_;
  bool answersAttempts_ = false;
  bool answersPings_ = false;
  unsigned pings_ = 0;
  bool lastResult_ = true;
  PeerReachability peers_{ timers_, [this](const PeerAddress&) {
                            pings_++;
                            if (answersPings_) {
                              timers_.After(Millis(3), [this] { peers_.OnPeerAnswer(kPeer); });
                            }
                          } };
};

// Guards against attempts that are sent for seconds to an owner that cannot answer, and against an owner taken for
// silent because its attempts run on a slow target.
TEST_P(Reachability, IsDecidedByAnswers)
{
  answersAttempts_ = GetParam().answersAttempts_;
  answersPings_ = GetParam().answersPings_;
  SendFor(Millis(300));
  EXPECT_EQ(lastResult_, !GetParam().isSilent_);
  EXPECT_EQ(peers_.IsSilent(kPeer), GetParam().isSilent_);
  EXPECT_EQ(peers_.SilentPeers().size(), GetParam().isSilent_ ? 1U : 0U);
  EXPECT_EQ(pings_ == 0, answersAttempts_);
  EXPECT_LE(pings_, 6U);

  // A single answer makes the peer reachable again.
  peers_.OnPeerAnswer(kPeer);
  EXPECT_FALSE(peers_.IsSilent(kPeer));
  EXPECT_TRUE(peers_.RecordSend(kPeer));
}

INSTANTIATE_TEST_SUITE_P(Answers,
                         Reachability,
                         testing::Values(AnswerCase{ "All", true, true, false },
                                         AnswerCase{ "SlowAttempts", false, true, false },
                                         AnswerCase{ "None", false, false, true }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

struct PartitionCase
{
  const char* name_;
  bool fromInstance_;
  bool toInstance_;
};

class PartitionedInstance : public testing::TestWithParam<PartitionCase>
{
protected:
  PartitionedInstance() { cluster_.Start(); }

  void Cut(size_t aIndex)
  {
    for (size_t other = 0; other < cluster_.Size(); other++) {
      if (other != aIndex) {
        const PeerAddress own = cluster_.AddressOf(aIndex);
        const PeerAddress peer = cluster_.AddressOf(other);
        cluster_.network_.SetCut(own, peer, GetParam().fromInstance_);
        cluster_.network_.SetCut(peer, own, GetParam().toInstance_);
      }
    }
  }

  FakeCluster cluster_{ ClusterShape{}, kSeed };
};

// Guards against shards that are missing until membership detects a partition, both in answers of the partitioned
// instance and in answers of other instances that need replicas owned by it.
TEST_P(PartitionedInstance, RegainsFullCoverageWithinFourQueries)
{
  constexpr size_t kPartitioned = 2;
  constexpr size_t kOther = 4;
  Cut(kPartitioned);
  // These take at most 1.6 s; membership needs 4 s to declare an instance dead.
  for (unsigned query = 0; query < 4; query++) {
    cluster_.Ask(kPartitioned, FakeCluster::MakeQuery("early"));
    cluster_.Ask(kOther, FakeCluster::MakeQuery("early"));
  }
  for (unsigned query = 0; query < 10; query++) {
    for (const size_t entry : { kPartitioned, kOther }) {
      const Answer answer = cluster_.Ask(entry, FakeCluster::MakeQuery("late"));
      EXPECT_EQ(answer.covered_.size(), 20U) << "entry " << entry << ", query " << query;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Directions,
                         PartitionedInstance,
                         testing::Values(PartitionCase{ "BothWays", true, true },
                                         PartitionCase{ "Sending", true, false },
                                         PartitionCase{ "Receiving", false, true }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

} // namespace
} // namespace ibisrock
