#include "adapters/loop_http_connection.h"
#include "adapters/loop_timer_service.h"
#include "platform/emulator/store_emulator.h"

#include <gtest/gtest.h>

namespace ibisrock::platform {
namespace {

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

} // namespace
} // namespace ibisrock::platform
