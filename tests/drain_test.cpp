#include "entry/drain.h"

#include "adapters/loop_http_connection.h"
#include "router_fixture.h"

#include <set>

namespace ibisrock::entry {
namespace {

using adapters::CallerServer;
using adapters::LoopHttpConnection;

/// A process that stops while callers go on sending it requests on new connections, on a manual clock.
class StoppingProcess : public tests::RouterFixture
{
public:
  StoppingProcess(Micros aStopTime, Micros aWork)
    : work_(aWork)
  {
    constexpr unsigned kMaxConnections = 8000;
    SetRoutes({ RelayRoute(RequestKind::NonIdempotent) }, 1, kMaxConnections);
    SetTargets({ "pool" }, 4);
    LastReason reason;
    server_ = CallerServer::Create(
      loop_,
      timers_,
      { .address_ = { "127.0.0.1", 0 } },
      [this](const std::shared_ptr<const CallerRequest>& aRequest, const CallerServer::OnReply& aOnReply) {
        taken_.insert(aRequest->id_);
        router_.Submit(aRequest, aOnReply);
        return nullptr;
      },
      reason);
    EXPECT_TRUE(server_) << reason.Text();
    port_ = server_->Port();
    drain_.emplace(timers_, router_, *server_, aStopTime, [this] { doneAt_ = timers_.Now(); });
  }

  void SendRequest()
  {
    const std::string id = "request-" + std::to_string(++sent_);
    auto connection = LoopHttpConnection::Create(loop_);
    connections_.push_back(connection);
    connection->Connect({ "127.0.0.1", port_ }, [this, id, connection](LoopHttpConnection::ConnectResult aResult) {
      if (aResult != LoopHttpConnection::ConnectResult::Connected) {
        return;
      }
      adapters::RequestText request;
      request.head_ = "GET /relay/x HTTP/1.1\r\nHost: host.example\r\nIbisrock-Request-Id: " + id + "\r\n\r\n";
      connection->Exchange(std::move(request), nullptr, [this, id, connection](const auto& aReply, const LastReason&) {
        if (aReply) {
          answers_[id] = *aReply;
        }
        connection->Close();
      });
    });
  }

  /// Advances the clock. Targets answer after their work.
  void Step(Micros aTime)
  {
    timers_.Advance(aTime);
    for (; scheduled_ < link_.sent_.size(); scheduled_++) {
      timers_.After(work_, [this, call = scheduled_] { link_.End(call, tests::Success("x")); });
    }
    loop_.restart();
    while (loop_.poll() > 0) {
    }
  }

  /// The process ends, with whatever it has not sent.
  void Exit()
  {
    drain_.reset();
    server_.reset();
    loop_.restart();
    loop_.run_for(std::chrono::milliseconds(20));
  }

  boost::asio::io_context loop_{ 1 };
  const Micros work_;
  std::unique_ptr<CallerServer> server_;
  uint16_t port_ = 0;
  std::optional<Drain> drain_;
  std::optional<TimePoint> doneAt_;
  std::vector<std::shared_ptr<LoopHttpConnection>> connections_;
  size_t sent_ = 0;
  size_t scheduled_ = 0;
  /// Requests that the process has read whole.
  std::set<std::string> taken_;
  std::map<std::string, adapters::ServerReply> answers_;
};

struct StopCase
{
  const char* name_;
  Seconds stopTime_;
  Millis work_;
  Millis interval_;
};

class PlannedStop : public testing::TestWithParam<StopCase>
{};

/// Guards against a planned stop that cuts off requests: a process that is never idle accepted requests until its end,
/// and ended while targets ran them.
TEST_P(PlannedStop, AnswersAllThatItHasRead)
{
  StoppingProcess process(GetParam().stopTime_, GetParam().work_);
  constexpr Micros kStep = Millis(5);
  const TimePoint begin = process.timers_.Now();
  TimePoint nextRequest = begin;
  while (!process.doneAt_ && process.timers_.Now() - begin < Seconds(1) + GetParam().stopTime_) {
    if (process.timers_.Now() >= nextRequest) {
      nextRequest += GetParam().interval_;
      process.SendRequest();
    }
    process.Step(kStep);
    if (process.timers_.Now() - begin >= Seconds(1)) {
      process.drain_->Begin();
    }
  }
  ASSERT_TRUE(process.doneAt_);
  process.Exit();
  size_t served = 0;
  for (const std::string& id : process.taken_) {
    ASSERT_TRUE(process.answers_.contains(id)) << id << " of " << process.sent_;
    const adapters::ServerReply& answer = process.answers_[id];
    served += answer.status_ == 200 ? 1 : 0;
    EXPECT_TRUE(answer.status_ == 200 || !answer.Field("Retry-After").empty()) << id << " " << answer.status_;
  }
  EXPECT_EQ(process.link_.sent_.size(), served);
}

INSTANTIATE_TEST_SUITE_P(Drain,
                         PlannedStop,
                         testing::Values(StopCase{ "Idle", Seconds(6), Millis(5), Seconds(60) },
                                         StopCase{ "ShortWork", Seconds(6), Millis(5), Millis(5) },
                                         StopCase{ "NeverIdle", Seconds(6), Millis(160), Millis(20) },
                                         StopCase{ "LongWork", Seconds(6), Millis(900), Millis(40) },
                                         StopCase{ "ShortStopTime", Seconds(3), Millis(160), Millis(20) }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

} // namespace
} // namespace ibisrock::entry
