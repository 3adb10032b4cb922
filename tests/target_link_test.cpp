#include "scripted_target.h"

#include <boost/asio/steady_timer.hpp>
#include <gtest/gtest.h>

namespace ibisrock::adapters {
namespace {

std::string
Reply(const std::string& aStatus, const std::string& aFields, const std::string& aBody)
{
  return "HTTP/1.1 " + aStatus + " X\r\n" + aFields + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

constexpr const char* kOwn = "Ibisrock-Request-Id: r1\r\nIbisrock-Stamp: s\r\n";
constexpr const char* kOther = "Ibisrock-Request-Id: r0\r\nIbisrock-Stamp: z\r\n";

struct ReplyCase
{
  const char* name_;
  ScriptedTarget::Step step_;
  Verdict verdict_;
  Reason reason_;
  unsigned status_;
  std::string body_;
};

class ReplyOfATarget : public testing::TestWithParam<ReplyCase>
{};

/// Guards against bytes of a faulty target that pass for the reply to a request.
TEST_P(ReplyOfATarget, GivesTheOutcome)
{
  LinkFixture fixture;
  ScriptedTarget target(fixture.loop_, { GetParam().step_ });
  const TargetOutcome outcome = fixture.Call(target.Address());
  EXPECT_EQ(outcome.verdict_, GetParam().verdict_);
  EXPECT_EQ(outcome.reason_, GetParam().reason_);
  EXPECT_EQ(outcome.status_, GetParam().status_);
  EXPECT_EQ(outcome.body_ ? *outcome.body_ : "", GetParam().body_);
}

INSTANTIATE_TEST_SUITE_P(
  TargetLink,
  ReplyOfATarget,
  testing::Values(
    ReplyCase{ "Whole", { Reply("200", kOwn, "body") }, Verdict::Ran, Reason::None, 200, "body" },
    ReplyCase{ "ReplyOfAnotherRequestFirst",
               { Reply("200", kOther, "wrong") + Reply("200", kOwn, "body") },
               Verdict::Ran,
               Reason::None,
               200,
               "body" },
    ReplyCase{ "OnlyTheReplyOfAnotherRequest",
               { Reply("200", kOther, "wrong"), true },
               Verdict::MayHaveRun,
               Reason::ConnectionLost,
               0,
               "" },
    ReplyCase{ "Continue",
               { "HTTP/1.1 100 Continue\r\n\r\n" + Reply("200", kOwn, "body") },
               Verdict::Ran,
               Reason::None,
               200,
               "body" },
    ReplyCase{ "Truncated",
               { std::string("HTTP/1.1 200 X\r\n") + kOwn + "Content-Length: 9\r\n\r\nbody", true },
               Verdict::MayHaveRun,
               Reason::ConnectionLost,
               0,
               "" },
    ReplyCase{ "WithoutLength",
               { std::string("HTTP/1.1 200 X\r\n") + kOwn + "\r\nbody", true },
               Verdict::Ran,
               Reason::None,
               200,
               "body" },
    ReplyCase{ "NotHttp", { "paddle\r\n\r\n" }, Verdict::MayHaveRun, Reason::TargetError, 0, "" },
    ReplyCase{ "ClosedWithoutReply", { "", true }, Verdict::MayHaveRun, Reason::ConnectionLost, 0, "" },
    ReplyCase{ "Encoded",
               { Reply("200", std::string(kOwn) + "Content-Encoding: gzip\r\n", "x") },
               Verdict::MayHaveRun,
               Reason::TargetError,
               0,
               "" },
    ReplyCase{ "EncodedInASecondField",
               { Reply("200", std::string(kOwn) + "Content-Encoding:\r\nContent-Encoding: gzip\r\n", "x") },
               Verdict::MayHaveRun,
               Reason::TargetError,
               0,
               "" },
    ReplyCase{ "Shed", { Reply("503", "Ibisrock-Not-Run: 1\r\n", "") }, Verdict::NotRun, Reason::Overloaded, 0, "" },
    ReplyCase{ "UnavailableWithoutNotRun", { Reply("503", kOwn, "") }, Verdict::Ran, Reason::TargetError, 503, "" },
    ReplyCase{ "AnotherTarget", { Reply("421", "", "") }, Verdict::NotRun, Reason::NotOwner, 0, "" }),
  [](const auto& aInfo) { return aInfo.param.name_; });

/// Guards against a connection to a port without a target that counts as a run.
TEST(TargetLink, RefusedConnectionIsNotRun)
{
  LinkFixture fixture;
  std::string address;
  {
    ScriptedTarget target(fixture.loop_, {});
    address = target.Address();
  }
  const TargetOutcome outcome = fixture.Call(address);
  EXPECT_EQ(outcome.verdict_, Verdict::NotRun);
  EXPECT_EQ(outcome.reason_, Reason::ConnectFailed);
}

/// Guards against headers that are lost or passed on where they should not be.
TEST(TargetLink, ForwardsTheRequest)
{
  LinkFixture fixture;
  ScriptedTarget target(fixture.loop_, { { Reply("200", kOwn, "") } });
  fixture.Call(target.Address());
  ASSERT_EQ(target.heads_.size(), 1U);
  const std::string& head = target.heads_[0];
  EXPECT_TRUE(head.starts_with("GET /a?b=1 HTTP/1.1\r\nHost: h\r\n")) << head;
  for (const char* field :
       { "Ibisrock-Request-Id: r1\r\n", "Ibisrock-Target: t\r\n", "X-Own: kept\r\n", "Ibisrock-Time-Left-Ms: " }) {
    EXPECT_NE(head.find(field), std::string::npos) << field;
  }
}

/// A target that answers after it has read the head of a request, without a length, and then ends the connection.
class EarlyTarget
{
public:
  enum class End : uint8_t
  {
    /// Reads the rest of the request first, so that the close is orderly.
    Close,
    /// Bytes of the request are unread, so that the kernel resets the connection.
    Reset,
  };

  EarlyTarget(asio::io_context& aLoop, std::string aAnswer, End aEnd)
    : acceptor_(aLoop)
    , socket_(aLoop)
    , timer_(aLoop)
    , answer_(std::move(aAnswer))
    , end_(aEnd)
  {
    constexpr int kWindow = 4 << 10;
    acceptor_.open(asio::ip::tcp::v4());
    acceptor_.set_option(asio::socket_base::receive_buffer_size(kWindow));
    acceptor_.bind({ asio::ip::make_address("127.0.0.1"), 0 });
    acceptor_.listen();
    acceptor_.async_accept(socket_, [this](const boost::system::error_code& aError) {
      if (!aError) {
        asio::async_read_until(socket_, input_, "\r\n\r\n", [this](const auto&, size_t) { Answer(); });
      }
    });
  }

  std::string Address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }

private:
  void Answer()
  {
    asio::async_write(socket_, asio::buffer(answer_), [this](const auto&, size_t) {
      if (end_ == End::Reset) {
        // The answer is read before the reset comes, so that both the read and the write wait for the socket then.
        timer_.expires_after(std::chrono::milliseconds(20));
        timer_.async_wait([this](const auto&) {
          boost::system::error_code ignored;
          socket_.close(ignored);
        });
      } else {
        ReadRest();
      }
    });
  }

  void ReadRest()
  {
    asio::async_read_until(socket_, input_, "<end>", [this](const auto&, size_t) {
      boost::system::error_code ignored;
      socket_.close(ignored);
    });
  }

  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  asio::streambuf input_;
  const std::string answer_;
  const End end_;
};

struct EarlyAnswerCase
{
  const char* name_;
  std::string framing_;
  EarlyTarget::End end_;
  Verdict verdict_;
};

class EarlyAnswer : public testing::TestWithParam<EarlyAnswerCase>
{};

/// Guards against half an answer that passes for a whole one: without a length, only an orderly close ends an answer,
/// also if the reset is reported to the request that is still being written.
TEST_P(EarlyAnswer, IsWholeOnlyAfterAnOrderlyEnd)
{
  constexpr size_t kBody = 4 << 20;
  asio::io_context loop{ 1 };
  LoopTimerService timers(loop);
  HttpTargetLink link(loop, timers, HeaderNames());
  EarlyTarget target(
    loop, std::string("HTTP/1.1 200 X\r\n") + kOwn + GetParam().framing_ + "\r\nhalf", GetParam().end_);
  auto request = std::make_shared<CallerRequest>();
  request->method_ = "POST";
  request->target_ = "/a";
  request->host_ = "h";
  request->id_ = "r1";
  request->body_ = std::make_shared<std::string>(std::string(kBody, 'x') + "<end>");
  std::optional<TargetOutcome> outcome;
  link.Send({ TargetName("t"), TargetAddress(target.Address()), request, Seconds(5) },
            [&](TargetOutcome aOutcome) { outcome = std::move(aOutcome); });
  const TimePoint end = timers.Now() + Seconds(5);
  while (!outcome && timers.Now() < end) {
    loop.run_one_for(std::chrono::milliseconds(10));
  }
  ASSERT_TRUE(outcome);
  EXPECT_EQ(outcome->verdict_, GetParam().verdict_);
  EXPECT_EQ(outcome->body_ ? *outcome->body_ : "", GetParam().verdict_ == Verdict::Ran ? "half" : "");
}

INSTANTIATE_TEST_SUITE_P(
  TargetLink,
  EarlyAnswer,
  testing::Values(
    EarlyAnswerCase{ "WithoutLengthThenClosed", "", EarlyTarget::End::Close, Verdict::Ran },
    EarlyAnswerCase{ "WithoutLengthThenReset", "", EarlyTarget::End::Reset, Verdict::MayHaveRun },
    EarlyAnswerCase{ "TooShortThenReset", "Content-Length: 9\r\n", EarlyTarget::End::Reset, Verdict::MayHaveRun },
    EarlyAnswerCase{ "WholeThenReset", "Content-Length: 4\r\n", EarlyTarget::End::Reset, Verdict::Ran }),
  [](const auto& aInfo) { return aInfo.param.name_; });

/// Guards against an answer that ends within its head and is passed on as a whole one with an empty or short body: cut
/// after any number of bytes, it is no answer.
TEST(TargetLink, AnswerThatEndsWithinItsHeadIsNoAnswer)
{
  const std::string head = std::string("HTTP/1.1 200 OK\r\n") + kOwn + "Content-Length: 4\r\n\r\n";
  const std::string chunked = std::string("HTTP/1.1 200 OK\r\n") + kOwn + "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::string& whole : { head + "body", chunked + "4\r\nbody\r\n0\r\n\r\n" }) {
    for (size_t length = 0; length < whole.size(); length++) {
      LinkFixture fixture;
      ScriptedTarget target(fixture.loop_, { { whole.substr(0, length), true } });
      const TargetOutcome outcome = fixture.Call(target.Address());
      EXPECT_EQ(outcome.verdict_, Verdict::MayHaveRun) << length;
      EXPECT_FALSE(outcome.body_) << length;
    }
  }
}

struct NoticeCase
{
  const char* name_;
  std::string answer_;
  bool isLeaving_;
  std::optional<Micros> pause_;
};

class NoticeOfATarget : public testing::TestWithParam<NoticeCase>
{};

/// Guards against a target's word that it leaves or pauses that is not heard because of the answer that bears it, and
/// against values that are no time.
TEST_P(NoticeOfATarget, IsHeard)
{
  LinkFixture fixture;
  ScriptedTarget target(fixture.loop_, { { GetParam().answer_, true } });
  std::vector<TargetNotice> notices;
  fixture.link_.SetOnNotice([&](const TargetCall& aCall, const TargetNotice& aNotice) {
    EXPECT_EQ(aCall.target_, TargetName("t"));
    notices.push_back(aNotice);
  });
  fixture.Call(target.Address());
  const bool saysSomething = GetParam().isLeaving_ || GetParam().pause_;
  ASSERT_EQ(notices.size(), saysSomething ? 1U : 0U);
  if (saysSomething) {
    EXPECT_EQ(notices[0].isLeaving_, GetParam().isLeaving_);
    EXPECT_EQ(notices[0].pause_, GetParam().pause_);
  }
}

const std::string kLeaving = "Ibisrock-Leaving: 1\r\n";
const std::string kNotRun = "Ibisrock-Not-Run: 1\r\n";

INSTANTIATE_TEST_SUITE_P(
  TargetLink,
  NoticeOfATarget,
  testing::Values(
    NoticeCase{ "Nothing", Reply("200", kOwn, "x"), false, std::nullopt },
    NoticeCase{ "LeavingWithSuccess", Reply("200", kOwn + kLeaving, "x"), true, std::nullopt },
    NoticeCase{ "LeavingWithFailure", Reply("500", kOwn + kLeaving, "x"), true, std::nullopt },
    NoticeCase{ "LeavingWithRefusal", Reply("503", kNotRun + kLeaving, ""), true, std::nullopt },
    NoticeCase{ "LeavingInAnswerToAnother",
                Reply("200", kOther + kLeaving, "x") + Reply("200", kOwn, "x"),
                true,
                std::nullopt },
    NoticeCase{ "LeavingIsZero",
                Reply("200", std::string(kOwn) + "Ibisrock-Leaving: 0\r\n", "x"),
                false,
                std::nullopt },
    NoticeCase{ "AnotherTargetLeaves", Reply("421", kLeaving, ""), false, std::nullopt },
    NoticeCase{ "Pause", Reply("503", kNotRun + "Retry-After: 2\r\n", ""), false, Seconds(2) },
    NoticeCase{ "PauseWithFraction", Reply("503", kNotRun + "Retry-After: 0.250\r\n", ""), false, Millis(250) },
    NoticeCase{ "PauseAndLeaving", Reply("503", kNotRun + kLeaving + "Retry-After: 1\r\n", ""), true, Seconds(1) },
    NoticeCase{ "PauseTwice", Reply("503", kNotRun + "Retry-After: 1\r\nRetry-After: 5\r\n", ""), false, Seconds(1) },
    NoticeCase{ "PauseOfYears", Reply("503", kNotRun + "Retry-After: 1000000000\r\n", ""), false, Seconds(86'400) },
    NoticeCase{ "PauseWithSuccess", Reply("200", std::string(kOwn) + "Retry-After: 2\r\n", "x"), false, std::nullopt },
    NoticeCase{ "PauseIsNegative", Reply("503", kNotRun + "Retry-After: -2\r\n", ""), false, std::nullopt },
    NoticeCase{ "PauseIsADate",
                Reply("503", kNotRun + "Retry-After: Sat, 05 Dec 2026 04:00:00 GMT\r\n", ""),
                false,
                std::nullopt },
    NoticeCase{ "PauseIsNoNumber", Reply("503", kNotRun + "Retry-After: nan\r\n", ""), false, std::nullopt }),
  [](const auto& aInfo) { return aInfo.param.name_; });

struct ReuseCase
{
  const char* name_;
  std::string first_;
  size_t connections_;
};

class ConnectionAfterAReply : public testing::TestWithParam<ReuseCase>
{};

/// Guards against a connection that is used again after bytes that belong to no request, and against a new connection
/// for each request, which costs a target 6 ms of a slot.
TEST_P(ConnectionAfterAReply, IsUsedAgainOnlyWhenClean)
{
  LinkFixture fixture;
  ScriptedTarget target(fixture.loop_, { { GetParam().first_ }, { Reply("200", kOwn, "second") } });
  fixture.Call(target.Address());
  fixture.Settle();
  const TargetOutcome outcome = fixture.Call(target.Address());
  EXPECT_EQ(outcome.verdict_, Verdict::Ran);
  EXPECT_EQ(*outcome.body_, "second");
  EXPECT_EQ(target.connections_, GetParam().connections_);
}

INSTANTIATE_TEST_SUITE_P(
  TargetLink,
  ConnectionAfterAReply,
  testing::Values(ReuseCase{ "Clean", Reply("200", kOwn, "first"), 1 },
                  ReuseCase{ "ExtraReply", Reply("200", kOwn, "first") + Reply("200", kOther, "extra"), 2 },
                  ReuseCase{ "ExtraBytes", Reply("200", kOwn, "first") + "x", 2 },
                  ReuseCase{ "AsksToClose", Reply("200", std::string(kOwn) + "Connection: close\r\n", "first"), 2 }),
  [](const auto& aInfo) { return aInfo.param.name_; });

/// Guards against a late second copy of an answer that bears no id, on a connection that is in use again: the next
/// caller would get an answer that is not its own. The target has echoed ids before, so a success without one is not
/// trusted; the request may have run, and the connection is closed.
TEST(TargetLink, SuccessWithoutIdFromTargetThatEchoesIdsIsNoAnswer)
{
  LinkFixture fixture;
  const std::string copy = Reply("200", "Ibisrock-Stamp: s\r\n", "first");
  ScriptedTarget target(
    fixture.loop_,
    { { Reply("200", kOwn, "first") }, { copy + Reply("200", kOwn, "second") }, { Reply("200", kOwn, "third") } });
  fixture.Call(target.Address());
  const TargetOutcome outcome = fixture.Call(target.Address());
  EXPECT_EQ(outcome.verdict_, Verdict::MayHaveRun);
  EXPECT_FALSE(outcome.body_);
  EXPECT_EQ(*fixture.Call(target.Address()).body_, "third");
  EXPECT_EQ(target.connections_, 2U);
}

/// Guards against refusals that are lost because they bear no id: a target may refuse a request before it reads the id.
TEST(TargetLink, RefusalWithoutIdIsTaken)
{
  LinkFixture fixture;
  ScriptedTarget target(fixture.loop_,
                        { { Reply("200", kOwn, "first") }, { Reply("503", "Ibisrock-Not-Run: 1\r\n", "") } });
  fixture.Call(target.Address());
  EXPECT_EQ(fixture.Call(target.Address()).verdict_, Verdict::NotRun);
}

struct EndlessCase
{
  const char* name_;
  std::string prefix_;
  std::string repeated_;
};

class EndlessBytes : public testing::TestWithParam<EndlessCase>
{};

/// Guards against an instance that runs out of memory, or serves nobody else, while a target in trouble sends bytes
/// without end: the connection is closed after a bounded number of bytes, and the request may have run.
TEST_P(EndlessBytes, EndTheCallAndItsConnection)
{
  // The limit of a reply is 512 KiB; the rest may wait in the buffers of the two sockets.
  constexpr size_t kMaxSent = 8 << 20;
  constexpr Micros kMaxTime = Seconds(5);
  asio::io_context loop{ 1 };
  LoopTimerService timers(loop);
  HttpTargetLink link(loop, timers, HeaderNames());
  EndlessTarget target(loop, GetParam().prefix_, GetParam().repeated_);
  auto request = std::make_shared<CallerRequest>();
  request->method_ = "GET";
  request->target_ = "/a";
  request->host_ = "h";
  request->id_ = "r1";
  std::optional<TargetOutcome> outcome;
  link.Send({ TargetName("t"), TargetAddress(target.Address()), request, Seconds(2) },
            [&](TargetOutcome aOutcome) { outcome = std::move(aOutcome); });
  const TimePoint end = timers.Now() + kMaxTime;
  while (!(outcome && target.isClosed_) && target.sent_ <= kMaxSent && timers.Now() < end) {
    loop.run_one_for(std::chrono::milliseconds(10));
  }
  ASSERT_TRUE(outcome);
  EXPECT_EQ(outcome->verdict_, Verdict::MayHaveRun);
  EXPECT_TRUE(target.isClosed_);
  EXPECT_LE(target.sent_, kMaxSent);
  EXPECT_FALSE(link.HasIdleConnection(TargetName("t")));
}

const std::string kOk = "HTTP/1.1 200 OK\r\nIbisrock-Request-Id: r1\r\n";

INSTANTIATE_TEST_SUITE_P(
  TargetLink,
  EndlessBytes,
  testing::Values(
    EndlessCase{ "Head", "HTTP/1.1 200 OK\r\n", "X-More: abcdefgh\r\n" },
    EndlessCase{ "HeaderField", "HTTP/1.1 200 OK\r\nX-More: ", "a" },
    EndlessCase{ "BodyWithoutLength", kOk + "\r\n", "0123456789abcdef" },
    EndlessCase{ "BodyWithHugeLength", kOk + "Content-Length: 9000000000\r\n\r\n", "0123456789abcdef" },
    EndlessCase{ "Chunks", kOk + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n" },
    EndlessCase{ "ChunkExtension", kOk + "Transfer-Encoding: chunked\r\n\r\n4;x=", "a" },
    EndlessCase{ "Trailer", kOk + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: a\r\n" },
    EndlessCase{ "InterimReplies", "", "HTTP/1.1 100 Continue\r\n\r\n" },
    EndlessCase{ "RepliesToOthers", "", "HTTP/1.1 200 OK\r\nIbisrock-Request-Id: r0\r\nContent-Length: 2\r\n\r\nok" },
    EndlessCase{ "NoHttp", "", "garbage " }),
  [](const auto& aInfo) { return aInfo.param.name_; });

/// Guards against a first request that must set up its connections although they could have been open before.
TEST(TargetLink, IdleConnectionServesTheNextCall)
{
  LinkFixture fixture;
  ScriptedTarget target(fixture.loop_, { { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false } });
  fixture.link_.OpenIdleConnection(TargetName("t"), TargetAddress(target.Address()));
  for (int i = 0; i < 100 && !fixture.link_.HasIdleConnection(TargetName("t")); i++) {
    fixture.loop_.run_one_for(std::chrono::milliseconds(10));
  }
  ASSERT_TRUE(fixture.link_.HasIdleConnection(TargetName("t")));
  EXPECT_EQ(fixture.Call(target.Address()).status_, 200U);
  EXPECT_EQ(target.connections_, 1U);
}

} // namespace
} // namespace ibisrock::adapters
