#include "adapters/http_target_client.h"
#include "adapters/target_protocol.h"
#include "free_port.h"
#include "raw_target.h"

#include <algorithm>
#include <cctype>
#include <future>
#include <gtest/gtest.h>
#include <thread>

namespace ibisrock::adapters {
namespace {

/// The raw target closes the connection after its script, so each reply says so.
std::string
Reply(const std::string& aStatus, const std::string& aBody, size_t aLength)
{
  return "HTTP/1.1 " + aStatus + "\r\nConnection: close\r\nContent-Length: " + std::to_string(aLength) + "\r\n\r\n" +
         aBody;
}

const std::string kWhole = R"({"matches":[{"id":"a","text":"x"}]})";

void
AnswerWhole(TargetConnection& aConnection)
{
  aConnection.Write(Reply("200 OK", kWhole, kWhole.size()));
}

void
AnswerChunked(TargetConnection& aConnection)
{
  aConnection.Write("HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n23\r\n" + kWhole +
                    "\r\n0\r\n\r\n");
}

void
Truncate(TargetConnection& aConnection)
{
  aConnection.Write(Reply("200 OK", kWhole, kWhole.size() + 1));
}

void
Shed(TargetConnection& aConnection)
{
  aConnection.Write(std::string("HTTP/1.1 503 Busy\r\nConnection: close\r\nContent-Length: 0\r\n") + kNotRunHeader +
                    ": overloaded\r\n\r\n");
}

/// Header names are compared without regard to case.
void
ShedInLowerCase(TargetConnection& aConnection)
{
  std::string name = kNotRunHeader;
  std::transform(name.begin(), name.end(), name.begin(), [](unsigned char aChar) { return std::tolower(aChar); });
  aConnection.Write("HTTP/1.1 503 Busy\r\nconnection: close\r\ncontent-length: 0\r\n" + name + ": overloaded\r\n\r\n");
}

/// Answers one request, reads the next one on the same connection and closes it without a reply.
void
AnswerThenClose(TargetConnection& aConnection)
{
  aConnection.Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kWhole.size()) + "\r\n\r\n" + kWhole);
  aConnection.ReadRequest();
}

/// Sends bytes so often that no single read times out, until the client gives up.
void
Trickle(TargetConnection& aConnection)
{
  aConnection.Write(Reply("200 OK", "", 1000000));
  while (true) {
    aConnection.Write(" ");
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

TargetReply
RunAttempt(TargetClient& aClient,
           bool aIdempotent,
           unsigned short aPort,
           const std::string& aBody,
           Micros aBudget = Millis(300),
           bool aNewConnection = false)
{
  TargetAttempt attempt;
  attempt.address_ = TargetAddress("127.0.0.1:" + std::to_string(aPort));
  attempt.idempotent_ = aIdempotent;
  attempt.body_ = aBody;
  attempt.budget_ = aBudget;
  attempt.maxConnections_ = 1;
  attempt.newConnection_ = aNewConnection;
  std::promise<TargetReply> promise;
  aClient.Start(attempt, [&promise](TargetReply aReply) { promise.set_value(std::move(aReply)); });
  return promise.get_future().get();
}

struct SocketCase
{
  const char* name_;
  void (*script_)(TargetConnection&);
  Verdict verdict_;
  Reason reason_;
};

class TargetOnSocket : public testing::TestWithParam<std::tuple<SocketCase, bool>>
{};

// Guards against a second send by the HTTP library, against a false "not run", and against an attempt that outlives its
// deadline because each single read is in time.
TEST_P(TargetOnSocket, IsSentEachAttemptOnce)
{
  const auto& [param, idempotent] = GetParam();
  const uint16_t port = FreePort();
  RawTarget target(port, param.script_);
  HttpTargetClient client(1);
  for (unsigned attempt = 1; attempt <= 2; attempt++) {
    const TargetReply reply = RunAttempt(client, idempotent, port, RawTarget::kEndOfBody);
    EXPECT_EQ(reply.verdict_, param.verdict_);
    EXPECT_EQ(reply.reason_, param.reason_);
    EXPECT_EQ(reply.matches_.size(), param.verdict_ == Verdict::Ran ? 1 : 0);
    EXPECT_EQ(target.RequestCount(), attempt);
  }
}

INSTANTIATE_TEST_SUITE_P(
  Replies,
  TargetOnSocket,
  testing::Combine(
    testing::Values(SocketCase{ "Whole", AnswerWhole, Verdict::Ran, Reason::None },
                    SocketCase{ "Chunked", AnswerChunked, Verdict::Ran, Reason::None },
                    SocketCase{ "Shed", Shed, Verdict::NotRun, Reason::Overloaded },
                    SocketCase{ "ShedInLowerCase", ShedInLowerCase, Verdict::NotRun, Reason::Overloaded },
                    SocketCase{ "Closed", [](TargetConnection&) {}, Verdict::MayHaveRun, Reason::ConnectionLost },
                    SocketCase{ "Truncated", Truncate, Verdict::MayHaveRun, Reason::ConnectionLost },
                    SocketCase{ "Trickled", Trickle, Verdict::MayHaveRun, Reason::TimedOut }),
    testing::Bool()),
  [](const auto& aInfo) {
    return std::string(std::get<0>(aInfo.param).name_) + (std::get<1>(aInfo.param) ? "Idempotent" : "NonIdempotent");
  });

class KeptConnection : public testing::TestWithParam<bool>
{};

// Guards against a second send on a new connection when the target closes a kept one with a request on its way, and
// against such a loss being blamed on the request alone. An attempt that asks for a new connection must not meet it,
// although the idle one takes up the only connection allowed.
TEST_P(KeptConnection, IsNeverSentOnTwice)
{
  const bool asksForNew = GetParam();
  const uint16_t port = FreePort();
  RawTarget target(port, AnswerThenClose);
  HttpTargetClient client(1);
  EXPECT_EQ(RunAttempt(client, true, port, RawTarget::kEndOfBody).verdict_, Verdict::Ran);
  const TargetReply second = RunAttempt(client, true, port, RawTarget::kEndOfBody, Millis(300), asksForNew);
  EXPECT_EQ(second.verdict_, asksForNew ? Verdict::Ran : Verdict::MayHaveRun);
  EXPECT_EQ(second.reason_, asksForNew ? Reason::None : Reason::ConnectionLost);
  EXPECT_EQ(second.lostKeptConnection_, !asksForNew);
  EXPECT_EQ(target.RequestCount(), 2U);
}

INSTANTIATE_TEST_SUITE_P(Attempts, KeptConnection, testing::Bool());

// Guards against an attempt that was never sent being reported as one that may have run.
TEST(TargetConnect, FailureIsNotRun)
{
  HttpTargetClient client(1);
  const TargetReply refused = RunAttempt(client, true, 1, "x");
  EXPECT_EQ(refused.verdict_, Verdict::NotRun);
  EXPECT_EQ(refused.reason_, Reason::ConnectFailed);

  const uint16_t port = FreePort();
  NonAcceptingTarget full(port, true);
  const TargetReply timedOut = RunAttempt(client, true, port, "x");
  EXPECT_EQ(timedOut.verdict_, Verdict::NotRun);
  EXPECT_EQ(timedOut.reason_, Reason::ConnectFailed);
}

// Guards against a request that is sent although its deadline has passed, and then reported as not run.
TEST(TargetConnect, ExpiredAttemptIsNotSent)
{
  const uint16_t port = FreePort();
  RawTarget target(port, AnswerWhole);
  HttpTargetClient client(1);
  const TargetReply reply = RunAttempt(client, false, port, RawTarget::kEndOfBody, Micros::zero());
  EXPECT_EQ(reply.verdict_, Verdict::NotRun);
  EXPECT_EQ(reply.reason_, Reason::Expired);
  EXPECT_EQ(target.RequestCount(), 0U);
}

// Guards against a request that was written in part, or written to a peer that never reads it, being reported as not
// run. A body of 16 MB does not fit into the socket buffers.
TEST(TargetConnect, UnreadRequestMayHaveRun)
{
  HttpTargetClient client(1);
  const uint16_t port = FreePort();
  NonAcceptingTarget silent(port, false);
  for (size_t size : { size_t(1), size_t(16) << 20U }) {
    const TargetReply reply = RunAttempt(client, true, port, std::string(size, 'x'));
    EXPECT_EQ(reply.verdict_, Verdict::MayHaveRun);
    EXPECT_EQ(reply.reason_, Reason::TimedOut);
  }
}

} // namespace
} // namespace ibisrock::adapters
