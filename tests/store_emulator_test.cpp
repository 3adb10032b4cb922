#include "adapters/loop_http_connection.h"
#include "adapters/loop_timer_service.h"
#include "platform/emulator/store_emulator.h"

#include <gtest/gtest.h>

namespace ibisrock::platform {
namespace {

using Answer = adapters::ServerReply;

/// An emulated store on loopback, and calls to it.
class StoreFixture
{
public:
  StoreFixture()
  {
    LastReason reason;
    store_ = StoreEmulator::Create(loop_, timers_, { "127.0.0.1", 0 }, reason);
  }

  /// The answer to a call, or null if there is none in time.
  std::optional<Answer> Call(const std::string& aMethod, const std::string& aPath, const std::string& aBody = "")
  {
    std::optional<Answer> answer;
    adapters::RequestText request;
    request.head_ = aMethod + " /-/objects/" + aPath +
                    " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
    request.body_ = std::make_shared<std::string>(aBody);
    const auto connection = adapters::LoopHttpConnection::Create(loop_);
    connection->Connect({ "127.0.0.1", store_->Port() }, [&](adapters::LoopHttpConnection::ConnectResult) {
      connection->Exchange(std::move(request), nullptr, [&](const auto& aReply, const LastReason&) {
        if (aReply) {
          answer = aReply;
        }
      });
    });
    for (int i = 0; i < 10'000 && !answer; i++) {
      loop_.restart();
      loop_.run_for(Millis(1));
    }
    connection->Close();
    return answer;
  }

  boost::asio::io_context loop_{ 1 };
  adapters::LoopTimerService timers_{ loop_ };
  std::unique_ptr<StoreEmulator> store_;
};

// Guards against a soak whose odd entries reach the instances as sound text.
TEST(StoreEmulator, ListsAnyBytesAsTheSpecOfAnEntry)
{
  boost::asio::io_context loop{ 1 };
  adapters::LoopTimerService timers(loop);
  LastReason reason;
  const auto store = StoreEmulator::Create(loop, timers, { "127.0.0.1", 0 }, reason);
  ASSERT_TRUE(store) << reason.Text();
  store->Put("servers", "sound", { { "state", "ready" } });
  store->PutText("servers", "odd", "{\"state\":\"\xff\xfe\"}");
  std::string body;
  const auto connection = adapters::LoopHttpConnection::Create(loop);
  connection->Connect({ "127.0.0.1", store->Port() }, [&](adapters::LoopHttpConnection::ConnectResult) {
    adapters::RequestText request;
    request.head_ = "GET /-/objects/servers HTTP/1.1\r\nHost: h\r\n\r\n";
    connection->Exchange(
      std::move(request), nullptr, [&](const auto& aReply, const LastReason&) { body = aReply ? *aReply->body_ : ""; });
  });
  for (int i = 0; i < 10'000 && body.empty(); i++) {
    loop.restart();
    loop.run_for(Millis(1));
  }
  EXPECT_NE(body.find("\"spec\":{\"state\":\"\xff\xfe\"}"), std::string::npos) << body;
  EXPECT_NE(body.find("\"spec\":{\"state\":\"ready\"}"), std::string::npos) << body;
}

/// A store that holds one configuration, and has returned from a copy from before another one and a new entry.
class ReturnedStore : public StoreFixture
{
public:
  ReturnedStore()
  {
    store_->Put("config", "main", { { "version", 1 } });
    const StoreEmulator::Copy copy = store_->TakeCopy();
    store_->Put("config", "main", { { "version", 2 } });
    store_->Put("servers", "later", { { "state", "ready" } });
    revisionBefore_ = store_->Revision();
    store_->ReturnFrom(copy);
  }

  uint64_t revisionBefore_ = 0;
};

struct EraCase
{
  const char* name_;
  const char* method_;
  const char* path_;
  const char* body_;
  StoreMode mode_;
  unsigned status_;
};

class EraInAnswers : public testing::TestWithParam<EraCase>
{};

/// Guards against kinds of answers of the emulated store from which an instance does not learn of the return.
TEST_P(EraInAnswers, RisesByOneWithTheReturn)
{
  const EraCase& test = GetParam();
  ReturnedStore fixture;
  fixture.store_->SetMode(test.mode_);
  const auto answer = fixture.Call(test.method_, test.path_, test.body_);
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status_, test.status_);
  EXPECT_EQ(answer->Field("Store-Era"), "2");
}

INSTANTIATE_TEST_SUITE_P(
  Store,
  EraInAnswers,
  testing::Values(
    EraCase{ "List", "GET", "config", "", StoreMode::Up, 200 },
    EraCase{ "Object", "GET", "config/main", "", StoreMode::Up, 200 },
    EraCase{ "EmptyWatch", "GET", "config?watch=101&waitMs=1", "", StoreMode::Up, 200 },
    EraCase{ "WatchAhead", "GET", "config?watch=102&waitMs=1000", "", StoreMode::Up, 410 },
    EraCase{ "WatchFromBeforeTheCopy", "GET", "config?watch=100&waitMs=1000", "", StoreMode::Up, 410 },
    EraCase{ "NoObject", "GET", "servers/later", "", StoreMode::Up, 404 },
    EraCase{ "ObjectExists", "POST", "config", R"({"meta":{"name":"main"},"spec":{}})", StoreMode::Up, 409 },
    EraCase{ "OtherRevision", "PUT", "config/main?revision=102", R"({"meta":{},"spec":{}})", StoreMode::Up, 409 },
    EraCase{ "Unavailable", "GET", "config", "", StoreMode::Unavailable, 503 }),
  [](const auto& aInfo) { return aInfo.param.name_; });

/// Guards against an emulated store that keeps some of what it has lost, or whose revisions only rise.
TEST(StoreEmulator, HoldsTheCopyAndGivesItsRevisionsOutAgain)
{
  ReturnedStore fixture;
  const auto list = fixture.Call("GET", "config");
  ASSERT_TRUE(list);
  EXPECT_NE(list->body_->find("\"version\":1"), std::string::npos) << *list->body_;
  EXPECT_EQ(fixture.store_->Count("servers"), 0U);
  EXPECT_EQ(fixture.store_->Revision(), fixture.revisionBefore_ - 2);
  fixture.store_->Put("servers", "other", { { "state", "ready" } });
  EXPECT_EQ(fixture.store_->Revision(), fixture.revisionBefore_ - 1);
}

/// Guards against a watch of the emulated store that waits across its return, and then goes on from a revision that has
/// another content.
TEST(StoreEmulator, ReturnEndsWatchesThatWait)
{
  StoreFixture fixture;
  const StoreEmulator::Copy copy = fixture.store_->TakeCopy();
  fixture.timers_.After(Millis(100), [&] { fixture.store_->ReturnFrom(copy); });
  const auto answer = fixture.Call("GET", "config?watch=100&waitMs=5000");
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status_, 410U);
  EXPECT_EQ(answer->Field("Store-Era"), "2");
}

} // namespace
} // namespace ibisrock::platform
