#include "adapters/loop_http_connection.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/tcp.h>
#include <thread>
#include <unistd.h>

namespace ibisrock::adapters {
namespace {

/// A server that answers a long request early and without a length, reads a little of it, and resets the connection a
/// moment later.
class ResettingServer
{
public:
  ResettingServer()
    : listener_(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    // A small window keeps the request from being written at once.
    const int window = 4096;
    setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
    const bool isListening = bind(listener_, generic, size) == 0 && listen(listener_, 1) == 0;
    EXPECT_TRUE(isListening && getsockname(listener_, generic, &size) == 0);
    port_ = ntohs(address.sin_port);
  }
  ~ResettingServer() { close(listener_); }

  ResettingServer(const ResettingServer&) = delete;
  ResettingServer& operator=(const ResettingServer&) = delete;

  uint16_t Port() const { return port_; }

  void ServeOne(const std::string& aReply, size_t aRead, std::chrono::nanoseconds aDelay) const
  {
    const int connection = accept(listener_, nullptr, nullptr);
    const int on = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    std::this_thread::sleep_for(std::chrono::microseconds(300));
    send(connection, aReply.data(), aReply.size(), MSG_NOSIGNAL);
    std::string buffer(aRead, ' ');
    recv(connection, buffer.data(), buffer.size(), 0);
    for (const auto end = std::chrono::steady_clock::now() + aDelay; std::chrono::steady_clock::now() < end;) {
    }
    const linger reset{ 1, 0 };
    setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    close(connection);
  }

private:
  const int listener_;
  uint16_t port_ = 0;
};

/// Guards against half an answer that passes as a whole one: a write that takes the reset off the socket may end behind
/// a read that has filled its buffer, and the next read then sees an end of file.
TEST(ResetRace, AnswerThatFillsTheReadBufferIsNotCompletedByAReset)
{
  constexpr int kRounds = 300;
  constexpr size_t kReadBuffer = 2048;
  const std::string head = "HTTP/1.1 200 OK\r\nIbisrock-Stamp: s\r\n\r\n";
  const std::string reply = head + std::string(kReadBuffer - head.size(), 'x');
  const auto body = std::make_shared<std::string>(3'000'000, 'b');
  const ResettingServer server;
  int passed = 0;
  for (int round = 0; round < kRounds; round++) {
    std::thread serving(
      [&] { server.ServeOne(reply, 2000 + 2000 * (round % 7), std::chrono::nanoseconds(round * 977 % 30'000)); });
    boost::asio::io_context loop(1);
    auto connection = LoopHttpConnection::Create(loop);
    connection->Connect({ "127.0.0.1", server.Port() }, [&](LoopHttpConnection::ConnectResult) {
      const std::string text =
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body->size()) + "\r\n\r\n";
      connection->Exchange(
        { text, body, false }, nullptr, [&](const std::optional<ServerReply>& aReply, const LastReason&) {
          passed += aReply ? 1 : 0;
        });
    });
    loop.run_for(std::chrono::seconds(5));
    serving.join();
  }
  EXPECT_EQ(passed, 0);
}

} // namespace
} // namespace ibisrock::adapters
