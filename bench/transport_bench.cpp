// Measures messages of 300 bytes between two transports on loopback: rate, processor time and time to arrive.

#include "adapters/nng_transport.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <ctime>
#include <docopt/docopt.h>
#include <functional>
#include <iostream>
#include <mutex>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <thread>

namespace {

using namespace ibisrock;

constexpr const char* kUsage = R"(transport_bench: bursts of messages to one peer.

Usage:
  transport_bench [options]

Options:
  --port N      First of three loopback ports to use [default: 17920].
  --messages N  Messages of each run [default: 64000].
)";

constexpr size_t kMessageBytes = 300;
/// Messages under way in the runs at full rate. Half of what the transport queues for a peer, so that none is refused.
constexpr size_t kWindow = 512;

using Clock = std::chrono::steady_clock;
using SendBurst = std::function<void(size_t)>;

/// Counts arrivals and lets the sender wait for them.
class Arrivals
{
public:
  void Add(size_t aCount)
  {
    std::lock_guard lock(mutex_);
    count_ += aCount;
    changed_.notify_one();
  }
  size_t Count()
  {
    std::lock_guard lock(mutex_);
    return count_;
  }
  void WaitFor(size_t aCount)
  {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return count_ >= aCount; });
  }

private:
  std::mutex mutex_;
  std::condition_variable changed_;
  size_t count_ = 0;
};

/// Sends bursts with at most aWindow messages under way and prints the figures. With a window of one burst, the time of
/// a burst is the time from its first send to its last arrival.
void
Run(const std::string& aName,
    const SendBurst& aSend,
    Arrivals& aArrivals,
    size_t aBurst,
    size_t aWindow,
    size_t aMessages)
{
  std::vector<double> micros;
  const size_t first = aArrivals.Count();
  size_t sent = first;
  const auto start = Clock::now();
  const std::clock_t processorStart = std::clock();
  while (sent < first + aMessages) {
    const auto burstStart = Clock::now();
    aSend(aBurst);
    sent += aBurst;
    aArrivals.WaitFor(sent - std::min(sent, aWindow - aBurst));
    micros.push_back(std::chrono::duration<double, std::micro>(Clock::now() - burstStart).count());
  }
  aArrivals.WaitFor(sent);
  const std::chrono::duration<double> taken = Clock::now() - start;
  const auto messages = static_cast<double>(sent - first);
  const double processor = static_cast<double>(std::clock() - processorStart) / CLOCKS_PER_SEC;
  std::cout << aName << ", burst " << aBurst << ": " << static_cast<long>(messages / taken.count()) << " messages/s, "
            << processor * 1e6 / messages << " us processor time per message";
  if (aWindow == aBurst) {
    std::sort(micros.begin(), micros.end());
    std::cout << ", arrival p50 " << micros[micros.size() / 2] << " us, p99 " << micros[micros.size() * 99 / 100]
              << " us";
  }
  std::cout << std::endl;
}

/// Bursts through bare nng sockets, one message for each burst, as the transport sends them but without its batch time.
bool
RunBareSockets(Arrivals& aArrivals, const std::string& aUrl, size_t aMessages)
{
  nng_socket pull = NNG_SOCKET_INITIALIZER;
  nng_socket push = NNG_SOCKET_INITIALIZER;
  if (nng_pull0_open(&pull) != 0 || nng_push0_open(&push) != 0 || nng_listen(pull, aUrl.c_str(), nullptr, 0) != 0 ||
      nng_dial(push, aUrl.c_str(), nullptr, 0) != 0) {
    return false;
  }
  std::jthread([pull, &aArrivals] {
    nng_msg* message = nullptr;
    while (nng_recvmsg(pull, &message, 0) == 0) {
      aArrivals.Add(nng_msg_len(message) / kMessageBytes);
      nng_msg_free(message);
    }
  }).detach();
  const SendBurst send = [push](size_t aBurst) {
    std::string bytes(aBurst * kMessageBytes, 'x');
    nng_send(push, bytes.data(), bytes.size(), 0);
  };
  for (size_t burst : { 1, 4, 16, 64 }) {
    Run("bare sockets, one burst at a time", send, aArrivals, burst, burst, aMessages);
  }
  return true;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  auto arguments = docopt::docopt(kUsage, { aArgv + 1, aArgv + aArgc }, true);
  const long port = arguments.at("--port").asLong();
  const auto messages = static_cast<size_t>(arguments.at("--messages").asLong());
  const auto address = [port](long aOffset) { return "127.0.0.1:" + std::to_string(port + aOffset); };
  LastReason reason;
  auto from = adapters::NngTransport::Create(address(0), reason);
  auto to = adapters::NngTransport::Create(address(1), reason);
  if (!from || !to) {
    std::cerr << "transport_bench: " << reason.Text() << "\n";
    return 1;
  }
  // Lives until the process has ended, because the receiving thread of the bare sockets does.
  static Arrivals arrivals;
  (*to)->SetReceiver([](std::string_view) { arrivals.Add(1); });
  const PeerAddress peer(address(1));
  const SendBurst send = [&](size_t aBurst) {
    for (size_t message = 0; message < aBurst; message++) {
      while (!(*from)->Send(peer, std::string(kMessageBytes, 'x'))) {
        std::this_thread::yield();
      }
    }
  };
  // The first message opens the connection.
  send(1);
  arrivals.WaitFor(1);
  for (size_t burst : { 1, 4, 16, 64 }) {
    Run("transport, full rate", send, arrivals, burst, kWindow, messages);
  }
  for (size_t burst : { 1, 4, 16, 64 }) {
    Run("transport, one burst at a time", send, arrivals, burst, burst, messages / 16 * std::min<size_t>(burst, 16));
  }
  if (!RunBareSockets(arrivals, "tcp://" + address(2), messages)) {
    std::cerr << "transport_bench: cannot connect bare sockets\n";
    return 1;
  }
  return 0;
}
