#include "adapters/http_target_client.h"
#include "connection/replica_dispatcher.h"
#include "fakes/fake_targets.h"
#include "free_port.h"
#include "process/crash_guard.h"
#include "standin/target_standin.h"

#include <algorithm>
#include <future>
#include <gtest/gtest.h>

namespace ibisrock {
namespace {

constexpr uint64_t kSeed = 5;
const TargetName kTarget("t");

TargetConfig
Config()
{
  TargetConfig config;
  config.name_ = kTarget;
  config.slots_ = 2;
  config.connections_ = 4;
  return config;
}

wire::SubRequest
Request(uint32_t aNumber, const char* aBody)
{
  wire::SubRequest request;
  request.id_.number_ = aNumber;
  request.target_ = kTarget;
  request.version_ = IndexVersion(1);
  request.body_ = aBody;
  request.budget_ = Millis(50);
  return request;
}

/// Several owners of one target on a manual clock.
class Owners : public testing::Test
{
protected:
  Owners()
  {
    FakeTarget target;
    target.connections_ = 4;
    target.crashBody_ = "crash";
    targets_.Set(kTarget, target);
  }
  using FakeTarget = fakes::FakeTarget;

  void Submit(size_t aOwner, const char* aBody)
  {
    owners_.at(aOwner)->Submit(Request(++last_, aBody),
                               [this](const wire::SubReply& aReply) { replies_.push_back(aReply); });
  }

  size_t Count(Verdict aVerdict) const
  {
    return static_cast<size_t>(std::count_if(
      replies_.begin(), replies_.end(), [aVerdict](const auto& aReply) { return aReply.reply_.verdict_ == aVerdict; }));
  }

  ManualTimerService timers_;
  Random random_{ kSeed };
  fakes::FakeTargets targets_{ timers_, random_ };
  std::vector<std::shared_ptr<ReplicaDispatcher>> owners_ = { ReplicaDispatcher::Create(Config(), timers_, targets_),
                                                              ReplicaDispatcher::Create(Config(), timers_, targets_) };
  uint32_t last_ = 0;
  std::vector<wire::SubReply> replies_;
};

// Guards against two owners that together use more connections than the target takes, and against an excess that is not
// known to be not run.
TEST_F(Owners, TwoAtOnceStayWithinTheTarget)
{
  for (unsigned round = 0; round < 200; round++) {
    Submit(round % 2, "x");
    timers_.Advance(Micros(500));
  }
  timers_.Advance(Seconds(1));
  EXPECT_EQ(replies_.size(), 200U);
  EXPECT_EQ(Count(Verdict::MayHaveRun), 0U);
  EXPECT_EQ(Count(Verdict::Ran), targets_.Runs().size());
  EXPECT_GT(targets_.Shed(), 0U);
  EXPECT_LE(targets_.PeakConnections(kTarget), 4U);
}

// Guards against a crashing request that runs a second time, and against an innocent one that is blocked with it.
TEST_F(Owners, CrashIsTracedToItsRequest)
{
  CrashGuard guard(timers_, [](const wire::Update&) {});
  Submit(0, "innocent");
  Submit(0, "crash");
  timers_.Advance(Seconds(1));
  ASSERT_EQ(replies_.size(), 2U);
  for (uint64_t index = 0; index < 2; index++) {
    EXPECT_EQ(replies_[index].reply_.verdict_, Verdict::MayHaveRun);
    EXPECT_EQ(replies_[index].inFlightAtLoss_, 2U);
    guard.OnConnectionLost({}, Fingerprint(index), replies_[index].inFlightAtLoss_);
    EXPECT_EQ(guard.Check(Fingerprint(index)), CrashDecision::RunCanaryFirst);
  }
  timers_.Advance(Seconds(2));
  Submit(0, "crash");
  timers_.Advance(Seconds(1));
  EXPECT_EQ(replies_.back().inFlightAtLoss_, 1U);
  guard.OnConnectionLost({}, Fingerprint(1), replies_.back().inFlightAtLoss_);
  EXPECT_EQ(guard.Check(Fingerprint(1)), CrashDecision::Refuse);
  EXPECT_EQ(targets_.Crashes(), 2U);
}

struct StandinCase
{
  const char* name_;
  const char* settings_;
  Verdict verdict_;
  Reason reason_;
  const char* counter_;
};

class Standin : public testing::TestWithParam<StandinCase>
{};

// Guards against a stand-in whose faults do not reach the client as what they are.
TEST_P(Standin, FaultsReachTheClient)
{
  const std::string address = FreeAddress();
  standin::TargetStandin target(standin::TargetBehaviour{});
  LastReason reason;
  auto server = adapters::HttpServer::Create(
    { address }, [&target](const adapters::HttpRequest& aRequest) { return target.Handle(aRequest); }, reason);
  ASSERT_TRUE(server) << reason.Text();
  adapters::HttpCaller caller;
  adapters::HttpCall admin;
  admin.address_ = address;
  admin.method_ = "PUT";
  admin.url_ = "/admin";
  admin.body_ = GetParam().settings_;
  EXPECT_EQ(caller.Call(admin).status_, 200U);

  adapters::HttpTargetClient client(1);
  TargetAttempt attempt;
  attempt.address_ = TargetAddress(address);
  attempt.service_ = ServiceName("dockdesk");
  attempt.shard_ = ShardName("0");
  attempt.version_ = IndexVersion(1);
  attempt.body_ = "paddler 7";
  attempt.budget_ = Seconds(2);
  std::promise<TargetReply> promise;
  client.Start(attempt, [&promise](TargetReply aReply) { promise.set_value(std::move(aReply)); });
  const TargetReply reply = promise.get_future().get();
  EXPECT_EQ(reply.verdict_, GetParam().verdict_);
  EXPECT_EQ(reply.reason_, GetParam().reason_);
  admin.method_ = "GET";
  const std::string counters = caller.Call(admin).body_;
  EXPECT_NE(counters.find(std::string("\"") + GetParam().counter_ + "\":1"), std::string::npos) << counters;
}

INSTANTIATE_TEST_SUITE_P(
  Settings,
  Standin,
  testing::Values(
    StandinCase{ "Works", R"({"connect_ms":1,"cold_start_ms":1000})", Verdict::Ran, Reason::None, "ran" },
    StandinCase{ "Drains", R"({"draining":true})", Verdict::NotRun, Reason::Draining, "refused_draining" },
    StandinCase{ "Sheds", R"({"slots":0})", Verdict::NotRun, Reason::Overloaded, "shed" },
    StandinCase{ "Version", R"({"versions":[2]})", Verdict::NotRun, Reason::VersionNotHeld, "refused_version" },
    StandinCase{ "Shard", R"({"shards":["1"]})", Verdict::NotRun, Reason::VersionNotHeld, "refused_version" },
    StandinCase{ "Crashes", R"({"crash_body":"paddler 7"})", Verdict::MayHaveRun, Reason::TargetError, "crashed" }),
  [](const auto& aInfo) { return aInfo.param.name_; });

} // namespace
} // namespace ibisrock
