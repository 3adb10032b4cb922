#include "broken_answers.h"
#include "scripted_target.h"

#include <gtest/gtest.h>

namespace ibisrock::adapters {
namespace {

/// A target that says this is believed only if its answer is sound.
const std::string kNotices = "Ibisrock-Leaving: 1\r\nRetry-After: 5\r\n";
const std::string kOwn = "Ibisrock-Request-Id: r1\r\nIbisrock-Stamp: s\r\n";
const BrokenAnswers kAnswers(kOwn + kNotices, "body");

constexpr auto kCaseName = [](const auto& aInfo) { return aInfo.param.name_; };

class AnswerOfATarget : public testing::TestWithParam<BrokenAnswer>
{};

/// Guards against an answer that HTTP does not allow and that a client gets as one: the call ends at once and may have
/// run, nothing in the answer is believed, and its connection is not used again.
TEST_P(AnswerOfATarget, IsNoAnswerIfBroken)
{
  asio::io_context loop{ 1 };
  LoopTimerService timers(loop);
  HttpTargetLink link(loop, timers, HeaderNames());
  ScriptedTarget target(loop, { { GetParam().text_, GetParam().closes_ } });
  size_t notices = 0;
  link.SetOnNotice([&](const TargetCall&, const TargetNotice&) { notices++; });
  auto request = std::make_shared<CallerRequest>();
  request->method_ = "GET";
  request->target_ = "/a";
  request->host_ = "h";
  request->id_ = "r1";
  std::optional<TargetOutcome> outcome;
  link.Send({ TargetName("t"), TargetAddress(target.Address()), request, Seconds(20) },
            [&](TargetOutcome aOutcome) { outcome = std::move(aOutcome); });
  const TimePoint end = timers.Now() + Seconds(5);
  while (!outcome && timers.Now() < end) {
    loop.run_one_for(std::chrono::milliseconds(10));
  }
  ASSERT_TRUE(outcome) << "the call hangs";
  EXPECT_EQ(outcome->verdict_, Verdict::MayHaveRun);
  // A lost connection would count against the request.
  EXPECT_EQ(outcome->reason_, Reason::TargetError);
  EXPECT_EQ(outcome->status_, 0U);
  EXPECT_EQ(outcome->body_ ? *outcome->body_ : "", "");
  EXPECT_EQ(notices, 0U);
  EXPECT_FALSE(link.HasIdleConnection(TargetName("t")));
}

INSTANTIATE_TEST_SUITE_P(Http, AnswerOfATarget, testing::ValuesIn(kAnswers.All()), kCaseName);

/// Which of two values of a field holds cannot be known.
INSTANTIATE_TEST_SUITE_P(
  Protocol,
  AnswerOfATarget,
  testing::Values(BrokenAnswer{ "OtherIdToo", kAnswers.WithFields("Ibisrock-Request-Id: r0\r\n") },
                  BrokenAnswer{ "IdTwice", kAnswers.WithFields("Ibisrock-Request-Id: r1\r\n") },
                  BrokenAnswer{ "EmptyIdToo", kAnswers.WithFields("ibisrock-request-id:\r\n") },
                  BrokenAnswer{ "OtherStampToo", kAnswers.WithFields("Ibisrock-Stamp: z\r\n") },
                  BrokenAnswer{ "StampTwice", kAnswers.WithFields("Ibisrock-Stamp: s\r\n") },
                  BrokenAnswer{ "LeavingAndNot", kAnswers.WithFields("Ibisrock-Leaving: 0\r\n") },
                  BrokenAnswer{ "NotRunTwice",
                                kAnswers.Answer("HTTP/1.1 503 X", "Ibisrock-Not-Run: 1\r\nIbisrock-Not-Run: 0\r\n") },
                  BrokenAnswer{ "LengthAboveTheLimit", kAnswers.Framed("Content-Length: 600000\r\n", "body") }),
  kCaseName);

/// Guards against a line that begins with a blank and is overlooked because the head comes in two pieces, of which the
/// parser has taken the lines of the first.
TEST(AnswerInPieces, IsNoAnswerIfBroken)
{
  const std::string text = kAnswers.Framed(" X-Bad: 1\r\nContent-Length: 4\r\n", "body");
  asio::io_context loop{ 1 };
  asio::ip::tcp::acceptor acceptor(loop, { asio::ip::make_address("127.0.0.1"), 0 });
  for (size_t split = 1; split < text.size(); split++) {
    loop.restart();
    asio::ip::tcp::socket server(loop);
    acceptor.async_accept(server, [](const boost::system::error_code&) {});
    std::optional<bool> hasReply;
    const auto connection = LoopHttpConnection::Create(loop);
    connection->Connect({ "127.0.0.1", acceptor.local_endpoint().port() }, [&](LoopHttpConnection::ConnectResult) {
      connection->Exchange(
        { "GET / HTTP/1.1\r\nHost: h\r\n\r\n", nullptr, false },
        nullptr,
        [&](const std::optional<ServerReply>& aReply, const LastReason&) { hasReply = aReply.has_value(); });
    });
    loop.run_for(std::chrono::milliseconds(2));
    boost::system::error_code ignored;
    asio::write(server, asio::buffer(text.substr(0, split)), ignored);
    loop.run_for(std::chrono::milliseconds(2));
    asio::write(server, asio::buffer(text.substr(split)), ignored);
    for (int i = 0; i < 500 && !hasReply; i++) {
      loop.run_one_for(std::chrono::milliseconds(10));
    }
    EXPECT_EQ(hasReply, false) << split;
  }
}

/// Guards against an answer to HEAD that is refused because of the length of the body that it does not have.
TEST(SoundAnswer, ToHeadStatesALengthAboveTheLimit)
{
  LinkFixture fixture;
  ScriptedTarget target(fixture.loop_, { { kAnswers.Framed("Content-Length: 4000000000000\r\n", "") } });
  const TargetOutcome outcome = fixture.Call(target.Address(), "r1", "HEAD");
  EXPECT_EQ(outcome.verdict_, Verdict::Ran);
  EXPECT_EQ(outcome.status_, 200U);
}

/// Guards against fields behind a body that are believed as if they were in its head: a request that has run would be
/// called not run.
TEST(SoundAnswer, IsNotChangedByItsTrailers)
{
  LinkFixture fixture;
  ScriptedTarget target(
    fixture.loop_,
    { { BrokenAnswers(kOwn, "body")
          .Chunked("Transfer-Encoding: chunked\r\n",
                   kNotices +
                     "Ibisrock-Not-Run: 1\r\nIbisrock-Stamp: z\r\nContent-Encoding: gzip\r\nX-More: 1\r\n") } });
  size_t notices = 0;
  fixture.link_.SetOnNotice([&](const TargetCall&, const TargetNotice&) { notices++; });
  const TargetOutcome outcome = fixture.Call(target.Address());
  EXPECT_EQ(outcome.verdict_, Verdict::Ran);
  EXPECT_EQ(outcome.stamp_, "s");
  EXPECT_EQ(outcome.body_ ? *outcome.body_ : "", "body");
  EXPECT_EQ(outcome.fields_, (std::vector<HeaderField>{ { "Ibisrock-Request-Id", "r1" }, { "Ibisrock-Stamp", "s" } }));
  EXPECT_EQ(notices, 0U);
}

/// Guards against an exception while a reply is read, for example for lack of memory, that ends the work of others: it
/// ends the exchange and its connection only.
TEST(LoopHttpConnection, ExceptionWhileReadingEndsTheExchangeOnly)
{
  asio::io_context loop{ 1 };
  ScriptedTarget target(loop, { { kAnswers.WithStatus("200") } });
  LastReason ignored;
  const auto connection = LoopHttpConnection::Create(loop);
  std::optional<bool> hasReply;
  connection->Connect(*ParseSocketAddress(target.Address(), ignored), [&](LoopHttpConnection::ConnectResult) {
    connection->Exchange(
      { "GET / HTTP/1.1\r\nHost: h\r\n\r\n", nullptr, false },
      [](const ServerReply&) -> bool { throw std::bad_alloc(); },
      [&](const std::optional<ServerReply>& aReply, const LastReason&) { hasReply = aReply.has_value(); });
  });
  for (int i = 0; i < 500 && !hasReply; i++) {
    EXPECT_NO_THROW(loop.run_one_for(std::chrono::milliseconds(10)));
  }
  EXPECT_EQ(hasReply, false);
  EXPECT_FALSE(connection->IsOpen());
}

} // namespace
} // namespace ibisrock::adapters
