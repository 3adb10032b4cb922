#include "broken_answers.h"
#include "platform/store_channel.h"
#include "scripted_target.h"

#include <gtest/gtest.h>

namespace ibisrock::platform {
namespace {

using adapters::LoopTimerService;
using adapters::ScriptedTarget;

const BrokenAnswers kAnswers("Content-Type: application/json\r\n", R"({"items":[]})");

/// Makes a call that may take minutes, and waits some seconds for its answer.
std::optional<StoreAnswer>
Call(boost::asio::io_context& aLoop, TimerService& aTimers, StoreChannel& aChannel)
{
  std::optional<StoreAnswer> answer;
  aChannel.Call("GET", "/x", nullptr, Seconds(600), [&](StoreAnswer aAnswer) { answer = std::move(aAnswer); });
  const TimePoint end = aTimers.Now() + Seconds(10);
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
  StoreChannel channel(loop, timers, *adapters::ParseSocketAddress(store.Address(), ignored));
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

} // namespace
} // namespace ibisrock::platform
