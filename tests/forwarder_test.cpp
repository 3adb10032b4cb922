#include "standin/forwarder.h"

#include "raw_connection.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace ibisrock::standin {
namespace {

/// The instance behind the forwarder: a socket on a free port.
class Receiver
{
public:
  Receiver()
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    EXPECT_EQ(bind(listener_, reinterpret_cast<const sockaddr*>(&address), size), 0);
    EXPECT_EQ(listen(listener_, 8), 0);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
  }
  ~Receiver()
  {
    close(connection_);
    close(listener_);
  }

  Receiver(const Receiver&) = delete;
  Receiver& operator=(const Receiver&) = delete;

  uint16_t Port() const { return port_; }

  void Accept()
  {
    connection_ = accept(listener_, nullptr, nullptr);
    const timeval limit{ 10, 0 };
    setsockopt(connection_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  }

  std::string Read(size_t aSize) const
  {
    std::string text(aSize, '\0');
    const ssize_t size = recv(connection_, text.data(), aSize, MSG_WAITALL);
    text.resize(static_cast<size_t>(std::max<ssize_t>(size, 0)));
    return text;
  }

  bool HasBytes() const
  {
    char byte = 0;
    return recv(connection_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
  }

  void Write(const std::string& aText) const { send(connection_, aText.data(), aText.size(), MSG_NOSIGNAL); }

  void FinishSending() const { shutdown(connection_, SHUT_WR); }

private:
  const int listener_ = socket(AF_INET, SOCK_STREAM, 0);
  int connection_ = -1;
  uint16_t port_ = 0;
};

/// Two instances "x-a" and "x-ab" whose connections to "b" go through a forwarder.
class ForwarderTest : public testing::Test
{
protected:
  /// Takes the first free port of a range, because other processes on the machine may use some.
  void SetUp() override
  {
    LastReason reason;
    for (port_ = 27300; !forwarder_ && port_ < 27400; port_++) {
      forwarder_ = Forwarder::Create({ { "b", { "127.0.0.1", port_ }, { "127.0.0.1", receiver_.Port() } },
                                       { "x-a", { "127.0.0.1", 0 }, { "127.0.0.1", receiver_.Port() } },
                                       { "x-ab", { "127.0.0.1", 0 }, { "127.0.0.1", receiver_.Port() } } },
                                     reason);
    }
    port_--;
    ASSERT_TRUE(forwarder_) << reason.Text();
  }

  unsigned Put(const std::string& aJson)
  {
    return forwarder_->Handle({ "PUT", "/admin", "", aJson, [](const char*) { return std::string(); } }).status_;
  }
  nlohmann::json Counters()
  {
    return nlohmann::json::parse(
      forwarder_->Handle({ "GET", "/admin", "", "", [](const char*) { return std::string(); } }).body_);
  }

  Receiver receiver_;
  uint16_t port_ = 0;
  std::unique_ptr<Forwarder> forwarder_;
};

// Guards against bytes that are lost or changed without a cut.
TEST_F(ForwarderTest, PassesBytesBothWays)
{
  const RawConnection connection(port_);
  ASSERT_TRUE(connection.Send("x-a says hello"));
  receiver_.Accept();
  EXPECT_EQ(receiver_.Read(14), "x-a says hello");
  receiver_.Write("reply");
  receiver_.FinishSending();
  EXPECT_EQ(connection.ReadAll(), "reply");
}

// Guards against a cut that bytes pass, that loses bytes when it ends, or that applies to another sender.
TEST_F(ForwarderTest, StallsOneSenderUntilTheCutEnds)
{
  const RawConnection connection(port_);
  ASSERT_TRUE(connection.Send("x-a"));
  receiver_.Accept();
  EXPECT_EQ(receiver_.Read(3), "x-a");
  EXPECT_EQ(Put(R"({"cuts":[{"from":"x-a","to":"b","mode":"stall"}]})"), 200U);
  ASSERT_TRUE(connection.Send("late"));

  const RawConnection other(port_);
  ASSERT_TRUE(other.Send("x-ab x-a"));
  const RawConnection unknown(port_);
  ASSERT_TRUE(unknown.Send("nobody"));
  while (Counters()["bytes"] < 3 + 8 + 6) {
    std::this_thread::yield();
  }
  EXPECT_FALSE(receiver_.HasBytes());
  EXPECT_EQ(Put(R"({"cuts":[]})"), 200U);
  EXPECT_EQ(receiver_.Read(4), "late");
}

// Guards against a dropped connection that stays open, and against a cut that also applies to other receivers.
TEST_F(ForwarderTest, DropsConnectionsOfOneDirection)
{
  const RawConnection connection(port_);
  ASSERT_TRUE(connection.Send("x-a"));
  receiver_.Accept();
  EXPECT_EQ(receiver_.Read(3), "x-a");
  EXPECT_EQ(Put(R"({"cuts":[{"from":"b","to":"x-a","mode":"drop"}]})"), 200U);
  ASSERT_TRUE(connection.Send("more"));
  EXPECT_EQ(receiver_.Read(4), "more");
  EXPECT_EQ(Counters()["dropped"], 0);

  EXPECT_EQ(Put(R"({"cuts":[{"from":"*","to":"b","mode":"drop"}]})"), 200U);
  EXPECT_EQ(connection.ReadAll(), "");
  EXPECT_EQ(receiver_.Read(1), "");
  EXPECT_EQ(Counters()["dropped"], 1);
}

// Guards against a mistyped cut that is taken as none.
TEST_F(ForwarderTest, RefusesMalformedCuts)
{
  EXPECT_EQ(Put(R"({"cuts":[{"from":"x-a","to":"b","mode":"slow"}]})"), 400U);
  EXPECT_EQ(Put(R"({"cuts":[{"from":"x-a","mode":"drop"}]})"), 400U);
  EXPECT_EQ(Put("{}"), 400U);
  EXPECT_EQ(Counters()["cuts"], 0);
}

// Guards against a mistyped route that forwards to another address.
TEST(ForwardRoutes, AreReadWhole)
{
  LastReason reason;
  auto route = ParseRoute("entry-0,127.0.0.1:1,127.0.0.2:2", reason);
  ASSERT_TRUE(route);
  EXPECT_EQ(route->name_, "entry-0");
  EXPECT_EQ(route->listen_.port_, 1);
  EXPECT_EQ(route->target_.ip_, "127.0.0.2");
  for (const char* text : { "", "a", "a,127.0.0.1:1", ",127.0.0.1:1,127.0.0.1:2", "a,127.0.0.1:1,127.0.0.1" }) {
    EXPECT_FALSE(ParseRoute(text, reason)) << text;
  }
}

} // namespace
} // namespace ibisrock::standin
