#include "adapters/caller_server.h"
#include "adapters/loop_timer_service.h"
#include "raw_connection.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <gtest/gtest.h>
#include <thread>

namespace ibisrock::adapters {
namespace {

/// A server on a loop thread. Requests to /wait are answered by Answer, all others at once with their path.
class ServerFixture
{
public:
  ServerFixture()
  {
    LastReason reason;
    server_ = CallerServer::Create(
      loop_,
      timers_,
      { .address_ = { "127.0.0.1", 0 }, .names_ = {} },
      [this](const std::shared_ptr<const CallerRequest>& aRequest,
             CallerServer::OnReply aOnReply) -> CallerServer::OnLeft {
        requests_.push_back(aRequest);
        if (aRequest->target_ == "/wait") {
          waiting_ = std::move(aOnReply);
          began_.set_value();
          return [this] { left_.set_value(); };
        }
        aOnReply(MakeReply(aRequest->target_ + *aRequest->body_));
        return nullptr;
      },
      reason);
    EXPECT_TRUE(server_) << reason.Text();
    server_->SetLimits({ .maxHeader_ = 1000, .maxBody_ = 100, .headerTimeout_ = Millis(100) });
    thread_ = std::thread([this] { loop_.run(); });
  }

  ~ServerFixture()
  {
    OnLoop([this] { server_.reset(); });
    loop_.stop();
    thread_.join();
  }

  static CallerReply MakeReply(const std::string& aBody)
  {
    CallerReply reply;
    reply.status_ = 200;
    reply.body_ = std::make_shared<std::string>(aBody);
    return reply;
  }

  size_t RequestCount()
  {
    size_t count = 0;
    OnLoop([&] { count = requests_.size(); });
    return count;
  }

  /// Runs aWork on the loop's thread and waits for it.
  template<typename Work>
  void OnLoop(Work aWork)
  {
    std::promise<void> done;
    boost::asio::post(loop_, [&] {
      aWork();
      done.set_value();
    });
    done.get_future().wait();
  }

  /// Sends bytes on a new connection and returns everything until the server closes it.
  std::string Exchange(const std::string& aBytes)
  {
    const RawConnection connection(server_->Port());
    EXPECT_TRUE(connection.Send(aBytes));
    return connection.ReadAll();
  }

  uint16_t Port() const { return server_->Port(); }

  boost::asio::io_context loop_{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{ loop_.get_executor() };
  LoopTimerService timers_{ loop_ };
  std::unique_ptr<CallerServer> server_;
  std::vector<std::shared_ptr<const CallerRequest>> requests_;
  CallerServer::OnReply waiting_;
  std::promise<void> began_;
  std::promise<void> left_;
  std::thread thread_;
};

struct BytesCase
{
  const char* name_;
  std::string bytes_;
  const char* status_;
  /// Requests that reach the handler.
  size_t requests_;
};

class BytesOfACaller : public testing::TestWithParam<BytesCase>
{};

/// Guards against requests that are smuggled inside others, and against malformed ones that get no clear error.
TEST_P(BytesOfACaller, GetTheStatus)
{
  ServerFixture fixture;
  const std::string reply = fixture.Exchange(GetParam().bytes_);
  EXPECT_NE(reply.find(std::string("HTTP/1.1 ") + GetParam().status_), std::string::npos) << reply;
  EXPECT_EQ(fixture.requests_.size(), GetParam().requests_);
}

constexpr const char* kClose = "Connection: close\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
  CallerServer,
  BytesOfACaller,
  testing::Values(
    BytesCase{ "Plain", std::string("GET /a HTTP/1.1\r\nHost: h\r\n") + kClose, "200", 1 },
    BytesCase{ "Pipelined",
               std::string("GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n") + kClose,
               "200",
               2 },
    BytesCase{ "Chunked",
               std::string("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
                           "3\r\nabc\r\n0\r\n\r\n"),
               "200",
               1 },
    BytesCase{ "LengthAndChunked",
               "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
               "400",
               0 },
    BytesCase{ "TwoLengths",
               "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
               "400",
               0 },
    BytesCase{ "OtherEncoding", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\nabc", "400", 0 },
    BytesCase{ "TwoHosts", "GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", "400", 0 },
    BytesCase{ "SpaceBeforeColon", "GET /a HTTP/1.1\r\nHost : h\r\n\r\n", "400", 0 },
    BytesCase{ "AbsoluteTarget", "GET http://h/a HTTP/1.1\r\nHost: h\r\n\r\n", "400", 0 },
    BytesCase{ "HeaderTooLarge", "GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(1200, 'x') + "\r\n\r\n", "431", 0 },
    BytesCase{ "BodyTooLarge",
               "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n" + std::string(101, 'x'),
               "413",
               0 },
    BytesCase{ "HalfAHeader", "GET /a HTT", "408", 0 }),
  [](const auto& aInfo) { return aInfo.param.name_; });

/// Guards against answers of pipelined requests that overtake one another.
TEST(CallerServer, AnswersPipelinedRequestsInOrder)
{
  ServerFixture fixture;
  const std::string reply = fixture.Exchange(std::string("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n1"
                                                         "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n") +
                                             kClose + "2");
  const size_t first = reply.find("/a1");
  const size_t second = reply.find("/b2");
  ASSERT_NE(first, std::string::npos) << reply;
  ASSERT_NE(second, std::string::npos) << reply;
  EXPECT_LT(first, second);
}

/// Guards against targets that work on for a caller that has left.
TEST(CallerServer, TellsThatTheCallerHasLeft)
{
  ServerFixture fixture;
  {
    const RawConnection connection(fixture.Port());
    ASSERT_TRUE(connection.Send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"));
    fixture.began_.get_future().wait();
  }
  EXPECT_EQ(fixture.left_.get_future().wait_for(std::chrono::seconds(10)), std::future_status::ready);
  // A late answer must not disturb anything.
  fixture.OnLoop([&] { fixture.waiting_(ServerFixture::MakeReply("late")); });
}

/// Guards against a planned stop that cuts off a request, and against kept connections that hold it up.
TEST(CallerServer, ClosesConnectionsWhileDraining)
{
  ServerFixture fixture;
  const RawConnection idle(fixture.Port());
  const RawConnection busy(fixture.Port());
  ASSERT_TRUE(busy.Send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"));
  fixture.began_.get_future().wait();
  fixture.OnLoop([&] {
    fixture.server_->BeginDrain();
    fixture.server_->CloseIdle();
    EXPECT_TRUE(fixture.server_->IsBusy());
  });
  EXPECT_EQ(idle.ReadAll(), "");
  fixture.OnLoop([&] { fixture.waiting_(ServerFixture::MakeReply("done")); });
  const std::string reply = busy.ReadAll();
  EXPECT_NE(reply.find("Connection: close"), std::string::npos) << reply;
  EXPECT_NE(reply.find("done"), std::string::npos) << reply;
}

/// Guards against a planned stop that resets a connection whose request has arrived and was not read yet.
TEST(CallerServer, KeepsAConnectionWhoseRequestWaits)
{
  ServerFixture fixture;
  const RawConnection kept(fixture.Port());
  ASSERT_TRUE(kept.Send("GET /first HTTP/1.1\r\nHost: h\r\nConnection: keep-alive\r\n\r\n"));
  while (fixture.RequestCount() == 0) {
    std::this_thread::yield();
  }
  fixture.OnLoop([&] {
    fixture.server_->BeginDrain();
    EXPECT_TRUE(kept.Send("GET /second HTTP/1.1\r\nHost: h\r\n\r\n"));
    EXPECT_TRUE(fixture.server_->IsBusy());
    fixture.server_->CloseIdle();
  });
  EXPECT_NE(kept.ReadAll().find("/second"), std::string::npos);
}

/// Guards against a planned stop that resets connections which the system has accepted, with their requests.
TEST(CallerServer, TakesWhatWaitsToBeAcceptedBeforeItStops)
{
  ServerFixture fixture;
  std::vector<std::unique_ptr<RawConnection>> waiting;
  fixture.OnLoop([&] {
    fixture.server_->BeginDrain();
    for (int i = 0; i < 5; i++) {
      waiting.push_back(std::make_unique<RawConnection>(fixture.Port()));
      EXPECT_TRUE(waiting.back()->Send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n"));
    }
    fixture.server_->StopAccepting();
    EXPECT_FALSE(fixture.server_->IsAccepting());
    EXPECT_TRUE(fixture.server_->IsBusy());
  });
  for (const auto& connection : waiting) {
    EXPECT_NE(connection->ReadAll().find("/x"), std::string::npos);
  }
}

} // namespace
} // namespace ibisrock::adapters
