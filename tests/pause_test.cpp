#include "fakes/fake_cluster.h"
#include "wire/codec.h"

#include <gtest/gtest.h>

namespace ibisrock {
namespace {

using fakes::ClusterShape;
using fakes::FakeCluster;

constexpr uint64_t kSeed = 1;

/// A forwarded attempt that waits unread at a paused instance, and the reason of its reply.
struct StaleAttemptCase
{
  const char* name_;
  Micros budget_;
  Micros pause_;
  Reason reason_;
};

class StaleAttempt : public testing::TestWithParam<StaleAttemptCase>
{};

// Guards against a resumed process that runs an attempt whose coordinator no longer waits for it, or that acts on the
// membership known before the pause.
TEST_P(StaleAttempt, IsRefusedWithoutRunning)
{
  FakeCluster cluster(ClusterShape{}, kSeed);
  cluster.Start();
  cluster.timers_.Advance(Seconds(5));
  std::vector<wire::SubReply> replies;
  const PeerAddress coordinator("10.9.9.9:7000");
  cluster.network_.Attach(coordinator, [&replies](std::string_view aBytes) {
    LastReason reason;
    const auto envelope = wire::Decode(aBytes, reason);
    if (const auto* reply = std::get_if<wire::SubReply>(&envelope->body_)) {
      replies.push_back(*reply);
    }
  });
  const auto send = [&](uint32_t aNumber) {
    wire::SubRequest request;
    request.id_ = { { InstanceId("coordinator"), Incarnation(1), aNumber }, 0 };
    request.service_ = ServiceName(fakes::kClusterService);
    request.shard_ = ShardName("s0");
    request.target_ = FakeCluster::TargetOf(0, 0);
    request.version_ = IndexVersion(1);
    request.budget_ = GetParam().budget_;
    const wire::Envelope envelope{
      InstanceId("coordinator"), coordinator, Incarnation(1), cluster.timers_.Now().time_since_epoch(), request
    };
    cluster.network_.Send(coordinator, cluster.AddressOf(0), wire::Encode(envelope));
  };
  send(1);
  cluster.timers_.Advance(Millis(400));
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].reply_.verdict_, Verdict::Ran);
  cluster.Freeze(0);
  send(2);
  cluster.timers_.Advance(GetParam().pause_);
  cluster.Thaw(0);
  cluster.timers_.Advance(Millis(400));
  ASSERT_EQ(replies.size(), 2U);
  EXPECT_EQ(replies[1].reply_.reason_, GetParam().reason_);
  EXPECT_EQ(replies[1].reply_.verdict_, GetParam().reason_ == Reason::None ? Verdict::Ran : Verdict::NotRun);
}

INSTANTIATE_TEST_SUITE_P(Pause,
                         StaleAttempt,
                         testing::Values(StaleAttemptCase{ "BudgetLeft", Millis(500), Millis(100), Reason::None },
                                         StaleAttemptCase{ "BudgetUsedUp", Millis(500), Millis(600), Reason::Expired },
                                         StaleAttemptCase{ "LongPause", Seconds(60), Seconds(2), Reason::Expired }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

} // namespace
} // namespace ibisrock
