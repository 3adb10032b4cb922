#include "adapters/frame.h"
#include "adapters/nng_transport.h"
#include "free_port.h"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <condition_variable>
#include <gtest/gtest.h>
#include <malloc.h>
#include <mutex>
#include <netinet/in.h>
#include <set>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/time.h>
#include <thread>
#include <unistd.h>

namespace ibisrock::adapters {
namespace {

/// A transport on a free loopback port, and the messages that it received.
struct Endpoint
{
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> received_;
  std::string address_;
  std::unique_ptr<NngTransport> transport_;

  explicit Endpoint(const std::string& aAddress = "")
  {
    // Each process has ports of its own, so that no other one takes the port of a peer that is gone for a while.
    constexpr int kPortsOfProcess = 8;
    const int firstPort = 20000 + (getpid() % 1000) * kPortsOfProcess;
    LastReason reason;
    for (int port = firstPort; !transport_ && port < firstPort + kPortsOfProcess; port++) {
      address_ = aAddress.empty() ? "127.0.0.1:" + std::to_string(port) : aAddress;
      if (auto created = NngTransport::Create(address_, reason)) {
        transport_ = std::move(*created);
      }
    }
    if (!transport_) {
      throw std::runtime_error(reason.Text());
    }
    transport_->SetReceiver([this](std::string_view aBytes) {
      std::lock_guard lock(mutex_);
      received_.emplace_back(aBytes);
      changed_.notify_all();
    });
  }
  ~Endpoint() { transport_->Stop(); }

  std::vector<std::string> Received()
  {
    std::lock_guard lock(mutex_);
    return received_;
  }
};

/// A peer that closes every connection as soon as the first bytes after the protocol header have arrived.
class ClosingPeer
{
public:
  ClosingPeer()
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    EXPECT_EQ(bind(listener_, reinterpret_cast<const sockaddr*>(&address), size), 0);
    EXPECT_EQ(listen(listener_, 8), 0);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    address_ = PeerAddress("127.0.0.1:" + std::to_string(ntohs(address.sin_port)));
    thread_ = std::thread([this] { CloseAll(); });
  }
  ~ClosingPeer()
  {
    shutdown(listener_, SHUT_RDWR);
    thread_.join();
    close(listener_);
  }

  ClosingPeer(const ClosingPeer&) = delete;
  ClosingPeer& operator=(const ClosingPeer&) = delete;

  const PeerAddress& Address() const { return address_; }
  unsigned Closed() const { return closed_; }

private:
  void CloseAll()
  {
    // Protocol header of a pull socket.
    constexpr char kHeader[] = { 0, 'S', 'P', 0, 0, 0x51, 0, 0 };
    const timeval limit{ 5, 0 };
    for (int connection = 0; (connection = accept(listener_, nullptr, nullptr)) >= 0; closed_++) {
      char buffer[sizeof(kHeader) + 1];
      setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
      send(connection, kHeader, sizeof(kHeader), MSG_NOSIGNAL);
      recv(connection, buffer, sizeof(buffer), MSG_WAITALL);
      close(connection);
    }
  }

  const int listener_ = socket(AF_INET, SOCK_STREAM, 0);
  PeerAddress address_;
  std::atomic<unsigned> closed_ = 0;
  std::thread thread_;
};

// Guards against messages that batching loses, doubles, reorders or alters, and against a frame that announces more
// than the memory holds or nests without end.
TEST(Frame, KeepsMessages)
{
  const std::vector<std::string> messages{ "a", "", std::string(70000, 'x'), std::string("\0\xff", 2) };
  std::vector<std::string> decoded;
  const auto collect = [&decoded](std::string_view aBytes) { decoded.emplace_back(aBytes); };
  const std::string frame = EncodeFrame(messages);
  DecodeFrame(frame, collect);
  EXPECT_EQ(decoded, messages);
  decoded.clear();
  for (const std::string& malformed : { std::string(),
                                        frame.substr(0, 5),
                                        std::string("\x91\x01"),
                                        std::string("x"),
                                        std::string("\xdd\xff\xff\xff\xff"),
                                        std::string("\xdf\xff\xff\xff\xff"),
                                        std::string("\xc6\xff\xff\xff\xff"),
                                        std::string(1'000'000, '\x91') }) {
    DecodeFrame(malformed, collect);
  }
  EXPECT_TRUE(decoded.empty());
}

// Guards against a message that arrives although its sender was told that it was certainly not sent, and against one
// that arrives twice or out of order. Sends until enough have arrived, however long that takes.
TEST(NngTransport, DeliversOnlyWhatItReportsAsSent)
{
  constexpr size_t kEnough = 5000;
  Endpoint from;
  Endpoint to;
  std::set<int> refused;
  int number = 0;
  while (to.Received().size() < kEnough) {
    for (int burst = 0; burst < 100; burst++, number++) {
      if (!from.transport_->Send(PeerAddress(to.address_), std::to_string(number))) {
        refused.insert(number);
      }
    }
  }
  int last = -1;
  for (const std::string& message : to.Received()) {
    const int received = std::stoi(message);
    EXPECT_GT(received, last);
    EXPECT_FALSE(refused.contains(received));
    last = received;
  }
}

/// Sends until the peer has received a message, so that the connection is open.
void
Connect(Endpoint& aFrom, Endpoint& aTo)
{
  while (aTo.Received().empty()) {
    aFrom.transport_->Send(PeerAddress(aTo.address_), "0 0");
    std::this_thread::yield();
  }
}

// Guards against two threads whose sends to one peer overtake each other, as each may write a frame itself.
TEST(NngTransport, KeepsTheOrderOfEachThread)
{
  constexpr int kThreads = 4;
  constexpr int kMessages = 2000;
  Endpoint from;
  Endpoint to;
  Connect(from, to);
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int thread = 0; thread < kThreads; thread++) {
    threads.emplace_back([&, thread] {
      for (int message = 1; message <= kMessages; message++) {
        while (
          !from.transport_->Send(PeerAddress(to.address_), std::to_string(thread) + " " + std::to_string(message))) {
          std::this_thread::yield();
        }
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  // The last messages of all threads arrive, because nothing is dropped while the peer accepts messages.
  std::vector<int> last(kThreads, 0);
  size_t read = 0;
  while (last != std::vector<int>(kThreads, kMessages)) {
    const std::vector<std::string> received = to.Received();
    for (; read < received.size(); read++) {
      const int thread = std::stoi(received[read]);
      const int message = std::stoi(received[read].substr(received[read].find(' ')));
      ASSERT_TRUE(message == 0 || message == last[thread] + 1) << received[read];
      last[thread] = std::max(last[thread], message);
    }
    std::this_thread::yield();
  }
}

// Guards against a wake-up of the sending thread for each message, which costs more than the message.
TEST(NngTransport, MessagesOnAnIdleConnectionNeedNoWakeUp)
{
  constexpr size_t kMessages = 200;
  Endpoint from;
  Endpoint to;
  Connect(from, to);
  const uint64_t before = from.transport_->Counts().wakeUps_;
  for (size_t message = 0; message < kMessages; message++) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
    from.transport_->Send(PeerAddress(to.address_), "lone");
  }
  // Sweeps and a few refused frames wake it too.
  EXPECT_LT(from.transport_->Counts().wakeUps_ - before, kMessages / 2);
}

// Guards against a frame for each message of a burst.
TEST(NngTransport, MessagesOfABurstShareFrames)
{
  constexpr size_t kMessages = 500;
  Endpoint from;
  Endpoint to;
  Connect(from, to);
  const uint64_t before = from.transport_->Counts().frames_;
  for (size_t message = 0; message < kMessages; message++) {
    from.transport_->Send(PeerAddress(to.address_), "burst");
  }
  EXPECT_LT(from.transport_->Counts().frames_ - before, kMessages / 4);
}

// Guards against a peer that accepts nothing and takes up the sending thread: tries come at most every 5 ms in the
// end, and stop after a second.
TEST(NngTransport, TriesABlockedPeerSeldom)
{
  const ReservedPort nobody;
  Endpoint from;
  ASSERT_TRUE(from.transport_->Send(PeerAddress(nobody.Address()), "first"));
  while (from.transport_->Send(PeerAddress(nobody.Address()), "more")) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  EXPECT_GT(from.transport_->Counts().refusedFrames_, 1U);
  EXPECT_LT(from.transport_->Counts().refusedFrames_, 250U);
  EXPECT_EQ(from.transport_->Counts().frames_, 0U);
}

// Guards against messages that a peer gets when it comes back although they were queued while it was gone.
TEST(NngTransport, ReturningPeerGetsNoOldMessages)
{
  Endpoint from;
  auto first = std::make_unique<Endpoint>();
  const std::string address = first->address_;
  while (first->Received().empty()) {
    from.transport_->Send(PeerAddress(address), "before");
  }
  first.reset();
  while (from.transport_->Send(PeerAddress(address), "while gone")) {
    std::this_thread::yield();
  }
  // A full queue accepts messages again only after it has been dropped, because nobody takes them.
  while (!from.transport_->Send(PeerAddress(address), "redialled")) {
    std::this_thread::yield();
  }
  Endpoint second(address);
  while (second.Received().empty()) {
    from.transport_->Send(PeerAddress(address), "after");
  }
  for (const std::string& message : second.Received()) {
    EXPECT_TRUE(message == "redialled" || message == "after") << message;
  }
}

// Guards against a crash of the process when connections are lost while messages are sent: nng 1.5.2 reads freed memory
// when a socket is used after its connection closed while a send completed.
TEST(NngTransport, OutlivesConnectionsLostWhileSending)
{
  constexpr unsigned kPeers = 16;
  constexpr unsigned kClosedByEach = 20;
  // Fills freed memory, so that reading it has an effect.
  constexpr int kPerturb = 0xa5;
  mallopt(M_PERTURB, kPerturb);
  Endpoint sender;
  std::vector<std::unique_ptr<ClosingPeer>> peers;
  for (unsigned index = 0; index < kPeers; index++) {
    peers.push_back(std::make_unique<ClosingPeer>());
  }
  for (const auto& peer : peers) {
    while (peer->Closed() < kClosedByEach) {
      for (const auto& each : peers) {
        sender.transport_->Send(each->Address(), "message");
      }
      std::this_thread::sleep_for(std::chrono::microseconds(50));
    }
  }
  mallopt(M_PERTURB, 0);
}

} // namespace
} // namespace ibisrock::adapters
