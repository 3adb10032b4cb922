#include "adapters/http_object_store.h"
#include "free_port.h"
#include "raw_target.h"

#include <future>
#include <gtest/gtest.h>

namespace ibisrock::adapters {
namespace {

const std::string kWriteReply = "HTTP/1.1 200 OK\r\nRevision: 7\r\nContent-Length: 0\r\n\r\n";

/// Keeps the connection open after the reply, and closes it without replying when a second request arrives.
void
ReplyToFirstRequest(TargetConnection& aConnection)
{
  aConnection.Write(kWriteReply);
  aConnection.ReadRequest();
}

void
ReplyServiceUnavailable(TargetConnection& aConnection)
{
  aConnection.Write("HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n");
}

StoreResult
Put(ObjectStore& aStore)
{
  std::promise<StoreResult> promise;
  aStore.Put("key", RawTarget::kEndOfBody, StoreRevision(6), [&promise](StoreResult aResult) {
    promise.set_value(std::move(aResult));
  });
  return promise.get_future().get();
}

struct PutCase
{
  const char* name_;
  void (*script_)(TargetConnection&);
  StoreOutcome outcome_;
};

class HttpObjectStorePut : public testing::TestWithParam<PutCase>
{};

// Guards against a write that the HTTP library resends, on a kept-alive or a new connection: the second copy conflicts
// with the first, and the writer's own write is reported as one by another writer.
TEST_P(HttpObjectStorePut, IsSentOnce)
{
  const uint16_t port = FreePort();
  RawTarget target(port, GetParam().script_);
  HttpObjectStore store("127.0.0.1:" + std::to_string(port));
  for (unsigned count = 1; count <= 3; count++) {
    EXPECT_EQ(Put(store).outcome_, GetParam().outcome_);
    EXPECT_EQ(target.RequestCount(), count);
  }
}

INSTANTIATE_TEST_SUITE_P(Replies,
                         HttpObjectStorePut,
                         testing::Values(PutCase{ "KeptOpen", ReplyToFirstRequest, StoreOutcome::Ok },
                                         PutCase{ "Refused", ReplyServiceUnavailable, StoreOutcome::Unavailable },
                                         PutCase{ "Closed", [](TargetConnection&) {}, StoreOutcome::Unknown }),
                         [](const auto& aInfo) { return std::string(aInfo.param.name_); });

} // namespace
} // namespace ibisrock::adapters
