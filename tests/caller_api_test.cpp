#include "adapters/caller_api.h"
#include "fakes/fake_cluster.h"
#include "free_port.h"
#include "raw_connection.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace ibisrock::adapters {
namespace {

HttpRequest
MakeRequest(std::map<std::string, std::string> aHeaders)
{
  return { "POST", "/v1/query/dockdesk", "", "paddler 7", [headers = std::move(aHeaders)](const char* aName) {
            auto found = headers.find(aName);
            return found == headers.end() ? std::string() : found->second;
          } };
}

struct HeaderCase
{
  const char* name_;
  const char* header_;
  const char* value_;
  bool valid_;
};

class QueryHeaders : public testing::TestWithParam<HeaderCase>
{};

// Guards against a query that runs under other terms than its caller wrote.
TEST_P(QueryHeaders, AreChecked)
{
  const HeaderCase& param = GetParam();
  LastReason reason;
  EXPECT_EQ(ReadQuery(MakeRequest({ { param.header_, param.value_ } }), reason).has_value(), param.valid_);
  EXPECT_EQ(reason.Text().find(param.header_) != std::string::npos, !param.valid_);
}

INSTANTIATE_TEST_SUITE_P(Values,
                         QueryHeaders,
                         testing::Values(HeaderCase{ "Caller", "Ibisrock-Caller", "front-desk", true },
                                         HeaderCase{ "CallerSlash", "Ibisrock-Caller", "a/b", false },
                                         HeaderCase{ "KeySlash", "Idempotency-Key", "../x", false },
                                         HeaderCase{ "KeyByte", "Idempotency-Key", "\xff", false },
                                         HeaderCase{ "IdempotentNo", "Ibisrock-Idempotent", "no", true },
                                         HeaderCase{ "IdempotentFalse", "Ibisrock-Idempotent", "false", false },
                                         HeaderCase{ "Coverage", "Ibisrock-Coverage", "some", false },
                                         HeaderCase{ "DeadlineZero", "Ibisrock-Deadline-Ms", "0", false },
                                         HeaderCase{ "DeadlineUnit", "Ibisrock-Deadline-Ms", "5s", false },
                                         HeaderCase{ "Deadline", "Ibisrock-Deadline-Ms", "50", true }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

struct ReplyCase
{
  const char* name_;
  Reason reason_;
  Verdict verdict_;
  int64_t retryAfterMs_;
  unsigned status_;
  const char* retryAfter_;
};

class RefusalReplies : public testing::TestWithParam<ReplyCase>
{};

// Guards against a refusal with the wrong status, an early Retry-After or another error shape.
TEST_P(RefusalReplies, HaveStatusRetryAfterAndOneShape)
{
  const ReplyCase& param = GetParam();
  Answer answer;
  answer.reason_ = param.reason_;
  answer.verdict_ = param.verdict_;
  answer.retryAfter_ = Millis(param.retryAfterMs_);
  const HttpReply reply = ReplyTo(answer);
  EXPECT_EQ(reply.status_, param.status_);
  auto retryAfter = reply.headers_.find("Retry-After");
  EXPECT_EQ(retryAfter == reply.headers_.end() ? "" : retryAfter->second, param.retryAfter_);
  const auto body = nlohmann::json::parse(reply.body_);
  EXPECT_EQ(body.at("verdict"), reply.headers_.at("Ibisrock-Verdict"));
  EXPECT_EQ(body.at("reason"), ToString(param.reason_));
  EXPECT_FALSE(body.at("message").get<std::string>().empty());
  EXPECT_EQ(body.at("request"), reply.headers_.at("Ibisrock-Request"));
}

INSTANTIATE_TEST_SUITE_P(Reasons,
                         RefusalReplies,
                         testing::Values(ReplyCase{ "OverLimit", Reason::OverLimit, Verdict::NotRun, 1200, 429, "2" },
                                         ReplyCase{ "NotReady", Reason::NotReady, Verdict::NotRun, 0, 503, "1" },
                                         ReplyCase{ "Unknown", Reason::UnknownService, Verdict::NotRun, 0, 404, "" },
                                         ReplyCase{ "Crash", Reason::CrashSuspect, Verdict::NotRun, 0, 422, "" },
                                         ReplyCase{ "KeyConflict", Reason::KeyConflict, Verdict::NotRun, 0, 409, "" },
                                         ReplyCase{ "TimedOut", Reason::TimedOut, Verdict::MayHaveRun, 0, 504, "" }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

// Guards against an answer that is lost because a target's text is not valid UTF-8.
TEST(CallerApi, EscapesInvalidUtf8)
{
  Answer answer;
  answer.matches_.push_back({ "1", "horn \xff\xfe stock" });
  EXPECT_EQ(nlohmann::json::parse(EncodeAnswer(answer)).at("matches")[0].at("text"),
            "horn \xef\xbf\xbd\xef\xbf\xbd stock");
}

/// A caller API on loopback whose instance has no configuration, so that a query that reaches it gets a 503.
class LoopbackApi
{
public:
  LoopbackApi()
    : cluster_(fakes::ClusterShape{}, 1)
  {
    cluster_.Restart(0);
    LastReason reason;
    HttpServerSettings settings;
    settings.minThreads_ = 1;
    settings.maxThreads_ = 2;
    settings.maxBody_ = 1000;
    settings.maxHeader_ = 500;
    settings.readTimeout_ = Millis(300);
    settings.address_ = "127.0.0.1:" + std::to_string(port_);
    auto created = HttpServer::Create(settings, MakeCallerApi(Node()), reason);
    EXPECT_TRUE(created) << reason.Text();
    if (created) {
      server_ = std::move(*created);
    }
  }

  Instance& Node() { return cluster_.At(0); }
  uint16_t Port() const { return port_; }

  /// Sends bytes on a new connection and returns everything until the server closes it.
  std::string Exchange(const std::string& aBytes) const
  {
    const RawConnection connection(port_);
    EXPECT_TRUE(connection.Send(aBytes));
    return connection.ReadAll();
  }

private:
  const uint16_t port_ = FreePort();
  fakes::FakeCluster cluster_;
  std::unique_ptr<HttpServer> server_;
};

std::string
Post(const std::string& aHeaders, const std::string& aBody)
{
  return "POST /v1/query/dockdesk HTTP/1.1\r\nConnection: close\r\n" + aHeaders + "\r\n" + aBody;
}

struct RawCase
{
  const char* name_;
  std::string bytes_;
  const char* status_;
  const char* reason_;
};

class RawRequests : public testing::TestWithParam<RawCase>
{};

// Guards against a malformed or oversized request that gets no clear error or blocks the next request.
TEST_P(RawRequests, GetAnErrorThatSaysNotRun)
{
  LoopbackApi api;
  const std::string reply = api.Exchange(GetParam().bytes_);
  EXPECT_NE(reply.find(std::string(" ") + GetParam().status_ + " "), std::string::npos) << reply;
  EXPECT_NE(reply.find("Ibisrock-Verdict: not-run"), std::string::npos) << reply;
  EXPECT_NE(reply.find(std::string("\"reason\":\"") + GetParam().reason_), std::string::npos) << reply;
  const std::string next = api.Exchange("GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n");
  EXPECT_NE(next.find(" 200 "), std::string::npos) << next;
}

INSTANTIATE_TEST_SUITE_P(
  Bytes,
  RawRequests,
  testing::Values(
    RawCase{ "NotReady", Post("Content-Length: 1\r\n", "x"), "503", "not-ready" },
    RawCase{ "BodyTooLarge", Post("Content-Length: 1001\r\n", std::string(1001, 'x')), "413", "too-large" },
    RawCase{ "BodyMuchTooLarge", Post("Content-Length: 16000\r\n", std::string(16000, 'x')), "413", "too-large" },
    RawCase{ "AnnouncedHuge", Post("Content-Length: 16001\r\n", ""), "413", "too-large" },
    RawCase{ "Chunked", Post("Transfer-Encoding: chunked\r\n", "1\r\nx\r\n0\r\n\r\n"), "411", "length-required" },
    RawCase{ "Slow", Post("Content-Length: 9\r\n", "half"), "408", "too-slow" },
    RawCase{ "LengthOverflow", Post("Content-Length: 99999999999999999999\r\n", ""), "413", "too-large" },
    RawCase{ "LengthNotANumber", Post("Content-Length: -1\r\n", ""), "400", "malformed" },
    RawCase{ "HeaderTooLarge", Post("X-Long: " + std::string(600, 'a') + "\r\n", ""), "413", "too-large" },
    RawCase{ "HeaderBeyondBuffer", Post("X-Long: " + std::string(9000, 'a') + "\r\n", ""), "400", "malformed" },
    RawCase{ "NotHttp", "paddle\r\n\r\n", "400", "malformed" },
    RawCase{ "WrongMethod", "GET /v1/query/dockdesk HTTP/1.1\r\nConnection: close\r\n\r\n", "405", "method-not" },
    RawCase{ "UnknownPath", "GET /nowhere HTTP/1.1\r\nConnection: close\r\n\r\n", "404", "unknown-path" }),
  [](const auto& aInfo) { return aInfo.param.name_; });

// Guards against a query that runs with the half of its body that arrived before the caller closed the connection.
TEST(CallerApi, TruncatedRequestReachesNoHandler)
{
  LoopbackApi api;
  const RawConnection connection(api.Port());
  EXPECT_TRUE(connection.Send(Post("Content-Length: 9\r\n", "half")));
  connection.FinishSending();
  // A query that reaches the instance gets a 503, because the instance has no configuration.
  EXPECT_EQ(connection.ReadAll().find(" 503 "), std::string::npos);
}

// Guards against callers that send half a request and keep every thread from other callers.
TEST(CallerApi, HalfRequestsHoldNoThread)
{
  LoopbackApi api;
  std::vector<std::unique_ptr<RawConnection>> halves;
  for (int i = 0; i < 20; i++) {
    halves.push_back(std::make_unique<RawConnection>(api.Port()));
    EXPECT_TRUE(halves.back()->Send("POST /v1/query/dockdesk HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf"));
  }
  const std::string reply = api.Exchange("GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n");
  EXPECT_NE(reply.find(" 200 "), std::string::npos) << reply;
}

// Guards against a kept connection that is cut when the instance exits after a planned stop.
TEST(CallerApi, ClosesConnectionsDuringPlannedStop)
{
  LoopbackApi api;
  api.Node().BeginLeave();
  const std::string reply = api.Exchange("GET /readyz HTTP/1.1\r\n\r\n");
  EXPECT_NE(reply.find("Connection: close"), std::string::npos) << reply;
}

} // namespace
} // namespace ibisrock::adapters
