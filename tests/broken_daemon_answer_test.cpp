#include "adapters/http_caller.h"
#include "adapters/http_object_store.h"
#include "adapters/http_target_client.h"
#include "adapters/target_protocol.h"
#include "broken_answers.h"
#include "free_port.h"
#include "raw_target.h"
#include "scripted_target.h"

#include <chrono>
#include <future>
#include <gtest/gtest.h>
#include <thread>

namespace ibisrock::adapters {
namespace {

const std::string kVersion = std::string(kIndexVersionHeader) + ": 7\r\n";
const std::string kState = std::string(kTargetStateHeader) + ": ready\r\n";
const BrokenAnswers kAnswers(kVersion + kState, R"({"matches":[{"id":"a","text":"x"}]})");

constexpr auto kCaseName = [](const auto& aInfo) { return aInfo.param.name_; };

/// Sends an answer to each request. It keeps the connection for the next one unless the answer ends with the close.
RawTarget::Script
Answering(const BrokenAnswer& aAnswer)
{
  return [aAnswer](TargetConnection& aConnection) {
    aConnection.Write(aAnswer.text_);
    while (!aAnswer.closes_ && aConnection.ReadRequest()) {
      aConnection.Write(aAnswer.text_);
    }
  };
}

TargetReply
Search(TargetClient& aClient, const std::string& aAddress)
{
  TargetAttempt attempt;
  attempt.address_ = TargetAddress(aAddress);
  attempt.body_ = RawTarget::kEndOfBody;
  attempt.budget_ = Seconds(20);
  std::promise<TargetReply> promise;
  aClient.Start(attempt, [&promise](TargetReply aReply) { promise.set_value(std::move(aReply)); });
  return promise.get_future().get();
}

class AnswerToTheDaemon : public testing::TestWithParam<BrokenAnswer>
{};

/// Guards against a broken answer of a target that the daemon takes as matches, as a statement of the target on itself,
/// or that ends the daemon: the attempt ends at once and may have run.
TEST_P(AnswerToTheDaemon, IsNoAnswerIfBroken)
{
  const uint16_t port = FreePort();
  RawTarget target(port, Answering(GetParam()));
  HttpTargetClient client(1);
  const auto begin = std::chrono::steady_clock::now();
  for (int attempt = 0; attempt < 2; attempt++) {
    const TargetReply reply = Search(client, "127.0.0.1:" + std::to_string(port));
    EXPECT_EQ(reply.verdict_, Verdict::MayHaveRun);
    // A lost connection would count against the request.
    EXPECT_EQ(reply.reason_, Reason::TargetError);
    EXPECT_TRUE(reply.matches_.empty());
    EXPECT_EQ(reply.state_, TargetState::Unknown);
  }
  EXPECT_LT(std::chrono::steady_clock::now() - begin, std::chrono::seconds(10));
}

INSTANTIATE_TEST_SUITE_P(Http, AnswerToTheDaemon, testing::ValuesIn(kAnswers.All()), kCaseName);

class AnswerToAStatusCheck : public testing::TestWithParam<BrokenAnswer>
{};

/// Guards against a broken answer to a status check that makes a target ready.
TEST_P(AnswerToAStatusCheck, IsNoAnswerIfBroken)
{
  boost::asio::io_context loop{ 1 };
  ScriptedTarget target(loop, { { GetParam().text_, GetParam().closes_ } });
  std::thread serving([&loop] { loop.run(); });
  std::promise<TargetReply> promise;
  {
    HttpTargetClient client(1);
    client.Probe(TargetName("t"), TargetAddress(target.Address()), [&promise](TargetReply aReply) {
      promise.set_value(std::move(aReply));
    });
    const TargetReply reply = promise.get_future().get();
    EXPECT_EQ(reply.verdict_, Verdict::MayHaveRun);
    EXPECT_EQ(reply.reason_, Reason::TargetError);
    EXPECT_EQ(reply.state_, TargetState::Unknown);
  }
  loop.stop();
  serving.join();
}

INSTANTIATE_TEST_SUITE_P(Http, AnswerToAStatusCheck, testing::ValuesIn(kAnswers.All()), kCaseName);

/// Which of two values of a field holds cannot be known.
INSTANTIATE_TEST_SUITE_P(
  Protocol,
  AnswerToTheDaemon,
  testing::Values(BrokenAnswer{ "OtherVersionToo", kAnswers.WithFields("Ibisrock-Index-Version: 8\r\n") },
                  BrokenAnswer{ "OtherStateToo", kAnswers.WithFields("Ibisrock-Target-State: draining\r\n") },
                  BrokenAnswer{
                    "NotRunTwice",
                    kAnswers.Answer("HTTP/1.1 503 X", "Ibisrock-Not-Run: overloaded\r\nIbisrock-Not-Run: x\r\n") },
                  BrokenAnswer{ "LengthAboveTheLimit", kAnswers.Framed("Content-Length: 60000000\r\n", "body") }),
  kCaseName);

/// Guards against an interim reply that is taken for the answer, so that the answer itself passes for one to the next
/// request on the connection.
TEST(AnswerToTheDaemon, ComesAfterInterimReplies)
{
  const uint16_t port = FreePort();
  RawTarget target(port, Answering({ "", "HTTP/1.1 100 Continue\r\n\r\n" + kAnswers.WithStatus("200") }));
  HttpTargetClient client(1);
  for (int attempt = 0; attempt < 2; attempt++) {
    const TargetReply reply = Search(client, "127.0.0.1:" + std::to_string(port));
    EXPECT_EQ(reply.verdict_, Verdict::Ran);
    EXPECT_EQ(reply.version_, IndexVersion(7));
    EXPECT_EQ(reply.matches_.size(), 1U);
  }
}

/// Guards against fields behind a body that are believed as if they were in its head.
TEST(AnswerToTheDaemon, IsNotChangedByItsTrailers)
{
  const uint16_t port = FreePort();
  const std::string answer =
    kAnswers.Chunked("Transfer-Encoding: chunked\r\n", std::string(kIndexVersionHeader) + ": 8\r\n");
  RawTarget target(port, Answering({ "", answer }));
  HttpTargetClient client(1);
  const TargetReply reply = Search(client, "127.0.0.1:" + std::to_string(port));
  EXPECT_EQ(reply.verdict_, Verdict::Ran);
  EXPECT_EQ(reply.version_, IndexVersion(7));
}

/// Guards against a write to the daemon's store whose revision is taken from an answer that states two.
TEST(AnswerToTheDaemon, OfTheStoreHasOneRevision)
{
  const uint16_t port = FreePort();
  RawTarget target(port,
                   Answering({ "", "HTTP/1.1 200 OK\r\nRevision: 7\r\nRevision: 9\r\nContent-Length: 0\r\n\r\n" }));
  HttpObjectStore store("127.0.0.1:" + std::to_string(port));
  std::promise<StoreResult> promise;
  store.Put("key", RawTarget::kEndOfBody, StoreRevision(6), [&promise](StoreResult aResult) {
    promise.set_value(std::move(aResult));
  });
  EXPECT_EQ(promise.get_future().get().outcome_, StoreOutcome::Unknown);
}

struct EndlessCase
{
  const char* name_;
  std::string prefix_;
  std::string repeated_;
};

class EndlessAnswerToTheDaemon : public testing::TestWithParam<EndlessCase>
{};

/// Guards against a daemon that runs out of memory while a target sends bytes without end: the connection is closed
/// after a bounded number of bytes.
TEST_P(EndlessAnswerToTheDaemon, EndsTheAttemptAndItsConnection)
{
  constexpr size_t kMaxSent = 16 << 20;
  const uint16_t port = FreePort();
  std::atomic<size_t> sent = 0;
  RawTarget target(port, [&sent](TargetConnection& aConnection) {
    std::string block;
    while (block.size() < (64 << 10)) {
      block += GetParam().repeated_;
    }
    aConnection.Write(GetParam().prefix_);
    while (sent < 8 * kMaxSent) {
      aConnection.Write(block);
      sent += block.size();
    }
  });
  HttpTargetClient client(1);
  const TargetReply reply = Search(client, "127.0.0.1:" + std::to_string(port));
  EXPECT_EQ(reply.verdict_, Verdict::MayHaveRun);
  EXPECT_LE(sent, kMaxSent);
}

const std::string kOk = "HTTP/1.1 200 OK\r\n";

INSTANTIATE_TEST_SUITE_P(
  Daemon,
  EndlessAnswerToTheDaemon,
  testing::Values(EndlessCase{ "Head", kOk, "X-More: abcdefgh\r\n" },
                  EndlessCase{ "Body", kOk + "\r\n", "0123456789abcdef" },
                  EndlessCase{ "BodyWithHugeLength", kOk + "Content-Length: 9000000000\r\n\r\n", "0123456789abcdef" },
                  EndlessCase{ "Chunks", kOk + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n" },
                  EndlessCase{ "ChunkExtension", kOk + "Transfer-Encoding: chunked\r\n\r\n4;x=", "a" },
                  EndlessCase{ "Trailer", kOk + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: a\r\n" },
                  EndlessCase{ "InterimReplies", "", "HTTP/1.1 100 Continue\r\n\r\n" },
                  EndlessCase{ "NoHttp", "", "garbage " }),
  kCaseName);

} // namespace
} // namespace ibisrock::adapters
