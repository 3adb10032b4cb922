#include "base/random.h"
#include "connection/message_delay_estimator.h"
#include "fakes/fake_fleet.h"
#include "process/ownership.h"
#include "process/update_queue.h"
#include "wire/codec.h"

#include <gtest/gtest.h>

namespace ibisrock {
namespace {

using fakes::FakeFleet;

constexpr size_t kUnlimitedBytes = 1U << 20U;

wire::VersionUpdate
VersionOf(const std::string& aObject, uint64_t aVersion)
{
  return { aObject, aVersion, PeerAddress("10.0.0.1:7000") };
}

// Guards against sending an update although a newer one of the same subject is queued.
TEST(UpdateQueue, KeepsNewestUpdatePerSubject)
{
  UpdateQueue queue;
  queue.Add(VersionOf("config/head", 2));
  queue.Add(VersionOf("config/head", 3));
  queue.Add(VersionOf("config/head", 1));
  queue.Add(VersionOf("index/dockdesk", 1));
  const auto taken = queue.Take(kUnlimitedBytes, 1);
  ASSERT_EQ(taken.size(), 2U);
  EXPECT_EQ(std::get<wire::VersionUpdate>(taken[0]).version_, 3U);
  EXPECT_TRUE(queue.Take(kUnlimitedBytes, 1).empty());
}

// Guards against messages that grow with the backlog, and against starvation of updates.
TEST(UpdateQueue, BoundsBytesAndSendsAll)
{
  UpdateQueue queue;
  for (int object = 0; object < 30; object++) {
    queue.Add(VersionOf("index/" + std::to_string(object), 1));
  }
  size_t sent = 0;
  for (auto taken = queue.Take(200, 2); !taken.empty(); taken = queue.Take(200, 2)) {
    size_t bytes = 0;
    for (const wire::Update& update : taken) {
      bytes += wire::EncodedSize(update);
    }
    EXPECT_LE(bytes, 200U);
    sent += taken.size();
  }
  EXPECT_EQ(sent, 60U);
}

// Guards against an urgent update that does not reach all instances at 10% message loss.
TEST(Gossip, UrgentUpdateReachesAll)
{
  FakeFleet fleet(50, 4, 1);
  ASSERT_TRUE(fleet.Start(Seconds(60)));
  fleet.network_.SetLoss(0.1);
  fleet.At(0).Publish(7);
  const auto allHaveVersion = [&] {
    for (size_t index = 0; index < fleet.Size(); index++) {
      if (fleet.At(index).Version() != 7) {
        return false;
      }
    }
    return true;
  };
  EXPECT_LT(fleet.AdvanceUntil(allHaveVersion, Seconds(4)), Seconds(4));
}

// Guards against a cached owner that differs from the result of FindOwner after a change of members.
TEST(OwnerCache, MatchesFindOwner)
{
  OwnerCache table;
  Random random(1);
  std::vector<std::shared_ptr<const MemberView>> views;
  for (uint64_t epoch = 1; epoch <= 20; epoch++) {
    auto view = std::make_shared<MemberView>();
    view->epoch_ = epoch;
    for (int member = 0; member < 12; member++) {
      if (random.Below(3) != 0) {
        view->members_.push_back({ InstanceId("node-" + std::to_string(member)),
                                   PeerAddress("p"),
                                   DataCentre("dc" + std::to_string(member % 3)),
                                   Incarnation(1),
                                   MemberState::Alive });
      }
    }
    views.push_back(view);
    for (int lookup = 0; lookup < 200; lookup++) {
      // Some callers still hold the view before the newest one.
      const auto& used = views[views.size() - 1 - (views.size() > 1 ? random.Below(2) : 0)];
      const TargetName target("t" + std::to_string(random.Below(40)));
      const DataCentre dataCentre("dc" + std::to_string(random.Below(4)));
      EXPECT_EQ(table.Find(used, target, dataCentre), FindOwner(*used, target, dataCentre));
    }
  }
}

/// Messages of one peer: send time by the peer's clock, receive time by the local clock, and the expected delay
/// estimate, all in ms.
struct MessageDelayCase
{
  const char* name_;
  struct Message
  {
    uint64_t incarnation_;
    int64_t sent_;
    int64_t received_;
    int64_t delay_;
  };
  std::vector<Message> messages_;
};

class MessageDelay : public testing::TestWithParam<MessageDelayCase>
{};

// Guards against a delay estimated too low, which lets expired requests run, or too high, which refuses timely ones.
TEST_P(MessageDelay, EstimatesDelay)
{
  MessageDelayEstimator estimator;
  for (const auto& message : GetParam().messages_) {
    const Micros delay = estimator.Observe(InstanceId("peer"),
                                           Incarnation(message.incarnation_),
                                           Millis(message.sent_),
                                           TimePoint(Millis(message.received_)));
    EXPECT_EQ(std::chrono::round<Millis>(delay).count(), message.delay_) << "sent at " << message.sent_;
  }
}

INSTANTIATE_TEST_SUITE_P(
  MessagesOfOnePeer,
  MessageDelay,
  testing::Values(MessageDelayCase{ "Prompt", { { 1, 0, 1000, 0 }, { 1, 10, 1010, 0 } } },
                  MessageDelayCase{ "Late", { { 1, 0, 1000, 0 }, { 1, 10, 1030, 20 }, { 1, 20, 1020, 0 } } },
                  MessageDelayCase{ "FirstWasLate", { { 1, 0, 1050, 0 }, { 1, 10, 1010, 0 }, { 1, 20, 1070, 50 } } },
                  MessageDelayCase{ "AfterLongPause", { { 1, 0, 1000, 0 }, { 1, 10, 601000, 599870 } } },
                  MessageDelayCase{ "Restarted", { { 1, 90000, 1000, 0 }, { 2, 0, 1100, 0 }, { 2, 10, 1130, 20 } } },
                  MessageDelayCase{ "SlowPeerClock",
                                    { { 1, 0, 1000, 0 }, { 1, 9999000, 10001000, 0 }, { 1, 19998000, 20001000, 0 } } },
                  MessageDelayCase{
                    "FastPeerClock",
                    { { 1, 0, 1000, 0 }, { 1, 10001000, 10001000, 0 }, { 1, 10001010, 10001040, 30 } } }),
  [](const auto& aInfo) { return aInfo.param.name_; });

} // namespace
} // namespace ibisrock
