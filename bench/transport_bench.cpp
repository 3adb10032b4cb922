// Measures messages of 300 bytes between two transports on loopback: rate, processor time and time to arrive.
// With --peers, one transport sends to that many addresses of the other at a steady rate, as a node does to its region.

#include "adapters/nng_transport.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstring>
#include <ctime>
#include <docopt/docopt.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
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
  --peers N     Send to N peers at a steady rate instead, N at most 60000 [default: 0].
  --fan-out N   Messages sent at once, each to another peer [default: 98].
  --rate N      Messages a second over all peers [default: 20000].
  --senders N   Threads that share the rate, each with fan-outs of its own [default: 1].
  --threads     Print processor time and context switches by thread name.
)";

constexpr size_t kMessageBytes = 300;
/// Messages under way in the runs at full rate. Half of what the transport queues for a peer, so that none is refused.
constexpr size_t kWindow = 512;

using Clock = std::chrono::steady_clock;

/// What the threads of one name have used: context switches while waiting count wake-ups.
struct ThreadUse
{
  double micros_ = 0;
  double switches_ = 0;
  size_t threads_ = 0;
};
using ThreadUses = std::map<std::string, ThreadUse>;

std::string
ReadLine(const std::filesystem::path& aFile, const std::string& aPrefix)
{
  std::ifstream file(aFile);
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with(aPrefix)) {
      return line.substr(aPrefix.size());
    }
  }
  return "0";
}

/// The use of all threads of the process so far, by name.
ThreadUses
ReadThreadUses()
{
  ThreadUses uses;
  for (const auto& task : std::filesystem::directory_iterator("/proc/self/task")) {
    ThreadUse& use = uses[ReadLine(task.path() / "comm", "")];
    use.micros_ += std::stod(ReadLine(task.path() / "schedstat", "")) / 1e3;
    use.switches_ += std::stod(ReadLine(task.path() / "status", "voluntary_ctxt_switches:"));
    use.threads_++;
  }
  return uses;
}

void
PrintThreadUses(ThreadUses aBefore, double aMessages)
{
  for (const auto& [name, use] : ReadThreadUses()) {
    std::cout << "  " << name << " (" << use.threads_ << "): " << (use.micros_ - aBefore[name].micros_) / aMessages
              << " us and " << (use.switches_ - aBefore[name].switches_) / aMessages << " wake-ups per message\n";
  }
}

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
    size_t aMessages,
    bool aThreads)
{
  std::vector<double> micros;
  const ThreadUses threadsBefore = ReadThreadUses();
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
  if (aThreads) {
    PrintThreadUses(threadsBefore, messages);
  }
}

/// Times to arrival, of messages that begin with the time when the first message of their fan-out was sent.
class Delays
{
public:
  static std::string Message(Clock::time_point aStart = Clock::now())
  {
    std::string bytes(kMessageBytes, 'x');
    const Clock::rep sent = aStart.time_since_epoch().count();
    std::memcpy(bytes.data(), &sent, sizeof(sent));
    return bytes;
  }
  void Add(std::string_view aMessage)
  {
    Clock::rep sent = 0;
    std::memcpy(&sent, aMessage.data(), sizeof(sent));
    const Clock::duration delay = Clock::now().time_since_epoch() - Clock::duration(sent);
    std::lock_guard lock(mutex_);
    micros_.push_back(std::chrono::duration<double, std::micro>(delay).count());
  }
  size_t Count()
  {
    std::lock_guard lock(mutex_);
    return micros_.size();
  }
  std::vector<double> TakeSorted()
  {
    std::lock_guard lock(mutex_);
    std::sort(micros_.begin(), micros_.end());
    return std::exchange(micros_, {});
  }

private:
  std::mutex mutex_;
  std::vector<double> micros_;
};

struct Load
{
  size_t peers_;
  size_t fanOut_;
  double rate_;
  size_t messages_;
  size_t senders_;
  bool threads_;
};

/// Sends a share of the messages of a load, each once, at the share's rate, beginning with peer aFirst. Returns the
/// number that the transport refused.
size_t
SendShare(adapters::NngTransport& aFrom, const std::vector<PeerAddress>& aPeers, const Load& aLoad, size_t aFirst)
{
  const double rate = aLoad.rate_ / static_cast<double>(aLoad.senders_);
  size_t refused = 0;
  const auto start = Clock::now();
  auto fanOutStart = start;
  for (size_t sent = 0; sent < aLoad.messages_ / aLoad.senders_; sent++) {
    if (sent % aLoad.fanOut_ == 0) {
      const std::chrono::duration<double> due(static_cast<double>(sent) / rate);
      std::this_thread::sleep_until(start + std::chrono::duration_cast<Clock::duration>(due));
      fanOutStart = Clock::now();
    }
    refused += aFrom.Send(aPeers[(aFirst + sent) % aPeers.size()], Delays::Message(fanOutStart)) ? 0 : 1;
  }
  return refused;
}

/// Sends all messages of a load. Returns the number that the transport refused.
size_t
SendLoad(adapters::NngTransport& aFrom, const std::vector<PeerAddress>& aPeers, const Load& aLoad)
{
  std::atomic<size_t> refused = 0;
  std::vector<std::jthread> threads;
  for (size_t sender = 0; sender < aLoad.senders_; sender++) {
    threads.emplace_back(
      [&, sender] { refused += SendShare(aFrom, aPeers, aLoad, sender * aPeers.size() / aLoad.senders_); });
  }
  threads.clear();
  return refused;
}

/// Sends to every peer until every connection is open, which takes long when the listen backlog overflows.
void
OpenConnections(adapters::NngTransport& aFrom, const std::vector<PeerAddress>& aPeers, Delays& aDelays)
{
  do {
    aDelays.TakeSorted();
    for (const PeerAddress& peer : aPeers) {
      aFrom.Send(peer, Delays::Message());
    }
    std::this_thread::sleep_for(std::chrono::seconds(1));
  } while (aDelays.Count() != aPeers.size());
  aDelays.TakeSorted();
}

/// Sends at a steady rate to many addresses of one receiver and prints the figures.
int
RunManyPeers(const Load& aLoad, long aPort)
{
  LastReason reason;
  auto from = adapters::NngTransport::Create("127.0.0.1:" + std::to_string(aPort), reason);
  auto to = adapters::NngTransport::Create("0.0.0.0:" + std::to_string(aPort + 1), reason);
  if (!from || !to) {
    std::cerr << "transport_bench: " << reason.Text() << "\n";
    return 1;
  }
  static Delays delays;
  (*to)->SetReceiver([](std::string_view aBytes) { delays.Add(aBytes); });
  std::vector<PeerAddress> peers;
  for (size_t peer = 0; peer < aLoad.peers_; peer++) {
    peers.emplace_back("127.1." + std::to_string(peer / 250) + "." + std::to_string(peer % 250 + 1) + ":" +
                       std::to_string(aPort + 1));
  }
  OpenConnections(**from, peers, delays);
  const ThreadUses threadsBefore = ReadThreadUses();
  const adapters::TransportCounts countsBefore = (*from)->Counts();
  const std::clock_t processorStart = std::clock();
  const auto start = Clock::now();
  const size_t refused = SendLoad(**from, peers, aLoad);
  const std::chrono::duration<double> taken = Clock::now() - start;
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  const double processor = static_cast<double>(std::clock() - processorStart) / CLOCKS_PER_SEC;
  const adapters::TransportCounts counts = (*from)->Counts();
  const std::vector<double> micros = delays.TakeSorted();
  const auto messages = static_cast<double>(aLoad.messages_);
  std::cout << aLoad.peers_ << " peers, " << static_cast<long>(messages / taken.count()) << " messages/s, "
            << processor * 1e6 / messages << " us processor time per message, "
            << static_cast<double>(counts.wakeUps_ - countsBefore.wakeUps_) / messages
            << " wake-ups of the sending thread per message, "
            << messages / static_cast<double>(counts.frames_ - countsBefore.frames_) << " messages per frame\n  "
            << refused << " sends and " << counts.refusedFrames_ - countsBefore.refusedFrames_ << " frames refused, "
            << aLoad.messages_ - refused - micros.size() << " not arrived within 300 ms, arrival";
  for (const auto& [name, share] : std::array<std::pair<const char*, double>, 4>{
         { { "p50", 0.5 }, { "p90", 0.9 }, { "p99", 0.99 }, { "p99.9", 0.999 } } }) {
    std::cout << " " << name << " " << micros[static_cast<size_t>(static_cast<double>(micros.size()) * share)] << " us";
  }
  std::cout << std::endl;
  if (aLoad.threads_) {
    PrintThreadUses(threadsBefore, messages);
  }
  return 0;
}

/// Bursts through bare nng sockets, one message for each burst, as the transport sends them but without its batch time.
bool
RunBareSockets(Arrivals& aArrivals, const std::string& aUrl, size_t aMessages, bool aThreads)
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
    Run("bare sockets, one burst at a time", send, aArrivals, burst, burst, aMessages, aThreads);
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
  const bool threads = arguments.at("--threads").asBool();
  const auto peers = static_cast<size_t>(arguments.at("--peers").asLong());
  if (peers > 0) {
    const auto fanOut = static_cast<size_t>(arguments.at("--fan-out").asLong());
    const auto rate = static_cast<double>(arguments.at("--rate").asLong());
    const auto senders = static_cast<size_t>(std::max(1L, arguments.at("--senders").asLong()));
    return RunManyPeers({ peers, fanOut, rate, messages / senders * senders, senders, threads }, port);
  }
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
  const auto refused = [&] { return (*from)->Counts().refusedFrames_; };
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
    const uint64_t before = refused();
    Run("transport, full rate", send, arrivals, burst, kWindow, messages, threads);
    std::cout << "  " << refused() - before << " frames refused" << std::endl;
  }
  for (size_t burst : { 1, 4, 16, 64 }) {
    const uint64_t before = refused();
    Run("transport, one burst at a time",
        send,
        arrivals,
        burst,
        burst,
        messages / 16 * std::min<size_t>(burst, 16),
        threads);
    std::cout << "  " << refused() - before << " frames refused" << std::endl;
  }
  if (!RunBareSockets(arrivals, "tcp://" + address(2), messages, threads)) {
    std::cerr << "transport_bench: cannot connect bare sockets\n";
    return 1;
  }
  return 0;
}
