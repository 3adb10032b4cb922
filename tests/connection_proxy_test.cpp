#include "adapters/caller_server.h"
#include "adapters/loop_http_connection.h"
#include "adapters/loop_timer_service.h"
#include "platform/emulator/abrupt_target.h"
#include "platform/emulator/connection_proxy.h"

#include <chrono>
#include <gtest/gtest.h>

namespace ibisrock::platform {
namespace {

using adapters::LoopHttpConnection;

/// Runs the loop until the condition holds. Returns whether it does before much more time than a busy machine needs.
template<typename Condition>
bool
RunUntil(boost::asio::io_context& aLoop, Condition aCondition)
{
  const auto giveUpAt = std::chrono::steady_clock::now() + Seconds(20);
  while (!aCondition() && std::chrono::steady_clock::now() < giveUpAt) {
    aLoop.restart();
    aLoop.run_for(Millis(1));
  }
  return aCondition();
}

/// What a client sees of one exchange.
enum class Seen : uint8_t
{
  Nothing,
  Answer,
  Lost,
};

/// A client and a server with a proxy between them.
class ProxyFixture
{
public:
  ProxyFixture()
  {
    LastReason reason;
    server_ = adapters::CallerServer::Create(
      loop_,
      timers_,
      { .address_ = { "127.0.0.1", 0 } },
      [this](const auto&, const adapters::CallerServer::OnReply& aReply) {
        arrivals_++;
        CallerReply reply;
        reply.status_ = 200;
        reply.body_ = std::make_shared<std::string>("answer");
        aReply(std::move(reply));
        return adapters::CallerServer::OnLeft();
      },
      reason);
    proxy_ = ConnectionProxy::Create(loop_, timers_, { "127.0.0.1", 0 }, { "127.0.0.1", server_->Port() }, reason);
    EXPECT_TRUE(proxy_) << reason.Text();
    client_ = LoopHttpConnection::Create(loop_);
    client_->Connect({ "127.0.0.1", proxy_->Port() }, [](LoopHttpConnection::ConnectResult) {});
    EXPECT_TRUE(RunUntil(loop_, [this] { return client_->IsOpen() && server_->ConnectionCount() == 1; }));
  }

  void RunFor(Millis aTime)
  {
    loop_.restart();
    loop_.run_for(aTime);
  }

  void Ask()
  {
    seen_ = Seen::Nothing;
    adapters::RequestText request;
    request.head_ = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    client_->Exchange(std::move(request), nullptr, [this](const auto& aReply, const LastReason&) {
      seen_ = aReply ? Seen::Answer : Seen::Lost;
    });
  }

  boost::asio::io_context loop_{ 1 };
  adapters::LoopTimerService timers_{ loop_ };
  Random random_{ 1 };
  std::unique_ptr<adapters::CallerServer> server_;
  std::unique_ptr<ConnectionProxy> proxy_;
  std::shared_ptr<LoopHttpConnection> client_;
  unsigned arrivals_ = 0;
  Seen seen_ = Seen::Nothing;
};

struct FaultCase
{
  const char* name_;
  ConnectionFault fault_;
  Seen seen_;
  unsigned arrivals_;
  Millis atLeastAfter_;
};

class DisturbedConnection : public testing::TestWithParam<FaultCase>
{};

/// Guards against a soak whose disturbances do nothing, or others than they say.
TEST_P(DisturbedConnection, ShowsItsFaultOnly)
{
  const FaultCase& test = GetParam();
  ProxyFixture fixture;
  fixture.Ask();
  ASSERT_TRUE(RunUntil(fixture.loop_, [&] { return fixture.seen_ == Seen::Answer; }));
  const auto begin = std::chrono::steady_clock::now();
  fixture.proxy_->DisturbOne(test.fault_, fixture.random_);
  fixture.Ask();
  const auto isAsExpected = [&] { return fixture.seen_ == test.seen_ && fixture.arrivals_ == 1 + test.arrivals_; };
  EXPECT_TRUE(RunUntil(fixture.loop_, isAsExpected));
  EXPECT_GE(std::chrono::steady_clock::now() - begin, test.atLeastAfter_);
  fixture.RunFor(Millis(400));
  EXPECT_TRUE(isAsExpected());
}

INSTANTIATE_TEST_SUITE_P(
  ConnectionProxy,
  DisturbedConnection,
  testing::Values(FaultCase{ "Reset", ConnectionFault::Reset, Seen::Lost, 0, Millis(0) },
                  FaultCase{ "Silence", ConnectionFault::Silence, Seen::Nothing, 0, Millis(0) },
                  FaultCase{ "CutToServer", ConnectionFault::CutToServer, Seen::Nothing, 0, Millis(0) },
                  FaultCase{ "CutToClient", ConnectionFault::CutToClient, Seen::Nothing, 1, Millis(0) },
                  FaultCase{ "Delay", ConnectionFault::Delay, Seen::Answer, 1, Millis(300) }),
  [](const auto& aInfo) { return aInfo.param.name_; });

/// Guards against a cut that loses what was sent meanwhile, or that new connections get through.
TEST(ConnectionProxy, HoldsBackWhileItIsCut)
{
  ProxyFixture fixture;
  fixture.proxy_->SetCut(true);
  fixture.Ask();
  fixture.RunFor(Millis(100));
  EXPECT_EQ(fixture.seen_, Seen::Nothing);
  fixture.proxy_->SetCut(false);
  EXPECT_TRUE(RunUntil(fixture.loop_, [&] { return fixture.seen_ == Seen::Answer; }));
}

/// Guards against a client or a server that does not notice that the other side has closed the connection.
TEST(ConnectionProxy, PassesOnTheEndOfAConnection)
{
  ProxyFixture fixture;
  fixture.client_->Close();
  EXPECT_TRUE(RunUntil(fixture.loop_,
                       [&] { return fixture.server_->ConnectionCount() == 0 && fixture.proxy_->OpenCount() == 0; }));
}

/// Guards against an abrupt target whose answers are all whole, or all broken off, or have a length.
TEST(AbruptTarget, AnswersLongRequestsInPartOrWhole)
{
  boost::asio::io_context loop{ 1 };
  adapters::LoopTimerService timers(loop);
  Random random(1);
  LastReason reason;
  const auto target = AbruptTarget::Create(loop, timers, random, "abrupt/0", reason);
  ASSERT_TRUE(target) << reason.Text();
  unsigned whole = 0;
  unsigned lost = 0;
  constexpr unsigned kRequests = 20;
  for (unsigned i = 0; i < kRequests; i++) {
    auto connection = LoopHttpConnection::Create(loop);
    connection->Connect({ "127.0.0.1", target->Port() }, [&, connection](LoopHttpConnection::ConnectResult) {
      adapters::RequestText request;
      request.head_ = "POST / HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nContent-Length: 260000\r\n\r\n";
      request.body_ = std::make_shared<std::string>(260'000, 'x');
      connection->Exchange(
        std::move(request), nullptr, [&](const std::optional<adapters::ServerReply>& aReply, const LastReason&) {
          lost += aReply ? 0 : 1;
          if (aReply) {
            whole++;
            EXPECT_EQ(aReply->body_->size(), AbruptTarget::kAnswerSize);
            EXPECT_EQ(aReply->Field("Server-Stamp"), "r.abrupt/0.1");
            EXPECT_EQ(aReply->Field("Content-Length"), "");
          }
        });
    });
  }
  EXPECT_TRUE(RunUntil(loop, [&] { return whole + lost == kRequests; }));
  EXPECT_GT(whole, 0U);
  EXPECT_GT(lost, 0U);
}

} // namespace
} // namespace ibisrock::platform
