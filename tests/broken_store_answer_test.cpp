#include "broken_answers.h"
#include "platform/store_channel.h"
#include "scripted_target.h"

#include <gtest/gtest.h>

namespace ibisrock::platform {
namespace {

using adapters::EndlessTarget;
using adapters::LoopTimerService;
using adapters::ScriptedTarget;

const BrokenAnswers kAnswers("Content-Type: application/json\r\n", R"({"items":[]})");

/// Makes a call that may take minutes, and waits a minute for its answer.
std::optional<StoreAnswer>
Call(boost::asio::io_context& aLoop, TimerService& aTimers, StoreChannel& aChannel)
{
  std::optional<StoreAnswer> answer;
  aChannel.Call("GET", "/x", nullptr, Seconds(600), [&](StoreAnswer aAnswer) { answer = std::move(aAnswer); });
  const TimePoint end = aTimers.Now() + Seconds(60);
  while (!answer && aTimers.Now() < end) {
    aLoop.run_one_for(std::chrono::milliseconds(10));
  }
  return answer;
}

class AnswerOfTheStore : public testing::TestWithParam<BrokenAnswer>
{};

/// Guards against a broken answer of the store, or of an instance that relays it, that passes for one, that ends the
/// process, or after which the channel is of no use: the call ends at once without an answer, and the next one has its
/// own.
TEST_P(AnswerOfTheStore, IsNoAnswerIfBroken)
{
  boost::asio::io_context loop{ 1 };
  LoopTimerService timers(loop);
  ScriptedTarget store(loop, { { GetParam().text_, GetParam().closes_ }, { kAnswers.WithStatus("200") } });
  LastReason ignored;
  StoreChannel channel(loop, timers, nullptr, *adapters::ParseSocketAddress(store.Address(), ignored));
  const std::optional<StoreAnswer> broken = Call(loop, timers, channel);
  ASSERT_TRUE(broken) << "the call hangs";
  EXPECT_EQ(broken->status_, 0U);
  const std::optional<StoreAnswer> sound = Call(loop, timers, channel);
  ASSERT_TRUE(sound);
  EXPECT_EQ(sound->status_, 200U);
}

INSTANTIATE_TEST_SUITE_P(Http, AnswerOfTheStore, testing::ValuesIn(kAnswers.All()), [](const auto& aInfo) {
  return aInfo.param.name_;
});

/// What may wait in the buffers of the two sockets.
constexpr size_t kBuffered = 8 << 20;

struct EndlessCase
{
  const char* name_;
  std::string prefix_;
  std::string repeated_;
  size_t maxSent_ = kBuffered;
};

class EndlessStore : public testing::TestWithParam<EndlessCase>
{};

/// Guards against an instance that runs out of memory while the store, or an instance that relays it, sends bytes
/// without end, or has no time for others because it reads them again and again.
TEST_P(EndlessStore, EndsTheCallAndItsConnection)
{
  boost::asio::io_context loop{ 1 };
  LoopTimerService timers(loop);
  EndlessTarget store(loop, GetParam().prefix_, GetParam().repeated_);
  LastReason ignored;
  StoreChannel channel(loop, timers, nullptr, *adapters::ParseSocketAddress(store.Address(), ignored));
  const std::optional<StoreAnswer> answer = Call(loop, timers, channel);
  ASSERT_TRUE(answer) << "the call hangs";
  EXPECT_EQ(answer->status_, 0U);
  for (int i = 0; i < 500 && !store.isClosed_; i++) {
    loop.run_one_for(std::chrono::milliseconds(10));
  }
  EXPECT_TRUE(store.isClosed_);
  EXPECT_LE(store.sent_, GetParam().maxSent_);
}

const std::string kOk = "HTTP/1.1 200 OK\r\n";
constexpr size_t kWithBody = adapters::LoopHttpConnection::kMaxReply + kBuffered;

INSTANTIATE_TEST_SUITE_P(
  Store,
  EndlessStore,
  testing::Values(EndlessCase{ "Head", kOk, "X-More: abcdefgh\r\n" },
                  EndlessCase{ "Body", kOk + "\r\n", "0123456789abcdef", kWithBody },
                  EndlessCase{ "Chunks", kOk + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n", kWithBody },
                  EndlessCase{ "ChunkExtension", kOk + "Transfer-Encoding: chunked\r\n\r\n4;x=", "a" },
                  EndlessCase{ "Trailer", kOk + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: a\r\n" },
                  EndlessCase{ "InterimReplies", "", "HTTP/1.1 100 Continue\r\n\r\n" },
                  EndlessCase{ "NoHttp", "", "garbage " }),
  [](const auto& aInfo) { return aInfo.param.name_; });

} // namespace
} // namespace ibisrock::platform
