#include "adapters/nng_transport.h"

#include "adapters/frame.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <mutex>
#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <pthread.h>
#include <utility>

namespace ibisrock::adapters {

namespace {

using namespace std::chrono_literals;

constexpr int kReceiveBufferMessages = 4096;
constexpr size_t kMaxMessageBytes = 8 * 1024 * 1024;
/// Room in the largest frame for the headers around a message.
constexpr size_t kFrameOverhead = 64;
constexpr size_t kMaxQueuedMessages = 1024;
constexpr size_t kMaxBatchBytes = 1024 * 1024;
/// Least time between two frames to a peer. A message that follows sooner waits and shares its frame with others.
constexpr auto kBatchTime = 200us;
/// A peer whose batch time ends this soon is served with one that is due now, so that one wake-up serves many peers.
constexpr auto kJoinTime = kBatchTime / 2;
/// A connection refuses a frame until it has written the one before, which takes microseconds unless the peer is slow.
/// The time to the next try doubles from the first to the longest.
constexpr auto kFirstRetryTime = 200us;
constexpr auto kLongestRetryTime = 5ms;
/// A peer that accepts nothing for this long is gone or stopped. Its messages are dropped with the socket, because they
/// would arrive stale when it comes back.
constexpr auto kBlockedTime = 1s;
/// Time until such a peer is dialled again.
constexpr auto kRedialTime = 500ms;
/// Shortest time between two connections to a peer whose connections are lost.
constexpr auto kReconnectTime = 100ms;
/// A socket without messages for this long is closed, so that departed members leave none behind.
constexpr auto kIdleTime = 60s;
constexpr auto kSweepTime = 1s;
/// Time between the last receive and nng_close. nng 1.5.2 may wait for ever in nng_close, and with it every later
/// nng_close of the process, when a connection completes a receive at that moment. Once nobody receives, a connection
/// takes one more message and then no other, so that connections in use are at rest after this time.
constexpr auto kSettleTime = 100ms;

/// A dialled socket of one connection. When that connection is lost, the socket must not be used again: the push
/// protocol of nng 1.5.2 puts a connection that closes while a send completes back into its list of ready connections,
/// and the next send on the socket reads freed memory. nng reports the loss before it frees the connection.
class PeerConnection
{
public:
  /// Dials without waiting. Returns no connection when no socket can be made.
  static std::unique_ptr<PeerConnection> Dial(const PeerAddress& aPeer)
  {
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    if (nng_push0_open(&socket) != 0) {
      return nullptr;
    }
    std::unique_ptr<PeerConnection> connection(new PeerConnection(socket));
    // Messages wait in NngTransport, where their age is bounded, and not in the socket.
    nng_socket_set_int(socket, NNG_OPT_SENDBUF, 0);
    const bool dialled = nng_pipe_notify(socket, NNG_PIPE_EV_REM_POST, &OnLost, connection.get()) == 0 &&
                         nng_dial(socket, ("tcp://" + aPeer.Value()).c_str(), nullptr, NNG_FLAG_NONBLOCK) == 0;
    return dialled ? std::move(connection) : nullptr;
  }

  /// Waits until nng reports nothing more about the connection.
  ~PeerConnection() { nng_close(socket_); }

  PeerConnection(const PeerConnection&) = delete;
  PeerConnection& operator=(const PeerConnection&) = delete;

  bool IsLost()
  {
    const std::lock_guard lock(mutex_);
    return lost_;
  }

  /// Returns false when the socket does not take the frame now, or never again.
  bool Send(std::string& aFrame)
  {
    const std::lock_guard lock(mutex_);
    return !lost_ && nng_send(socket_, aFrame.data(), aFrame.size(), NNG_FLAG_NONBLOCK) == 0;
  }

private:
  explicit PeerConnection(nng_socket aSocket)
    : socket_(aSocket)
  {
  }

  static void OnLost(nng_pipe /*aPipe*/, nng_pipe_ev /*aEvent*/, void* aConnection)
  {
    auto* connection = static_cast<PeerConnection*>(aConnection);
    const std::lock_guard lock(connection->mutex_);
    connection->lost_ = true;
  }

  const nng_socket socket_;
  /// Held while sending, so that nng frees no connection during a send.
  std::mutex mutex_;
  bool lost_ = false;
};

} // namespace

/// A peer and the messages that wait for it. Only the thread that has set scheduled_ sends on the connection, until the
/// peer is scheduled for the sending thread or has no messages.
struct NngTransport::Peer
{
  const PeerAddress address_;
  std::mutex mutex_;
  std::unique_ptr<PeerConnection> connection_;
  std::vector<std::string> queue_;
  /// Messages taken from the queue that the connection has not accepted yet. They count as queued.
  size_t sending_ = 0;
  /// Whether a thread serves the peer or it is in due_.
  bool scheduled_ = false;
  std::optional<Clock::time_point> blockedSince_;
  Clock::duration retryTime_ = kFirstRetryTime;
  Clock::time_point redialAt_;
  Clock::time_point lastUse_;
  Clock::time_point lastFrame_;

  explicit Peer(PeerAddress aAddress)
    : address_(std::move(aAddress))
  {
  }
  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;

  /// Dials when there is no connection and the time for it has come.
  void DialWhenDue(Clock::time_point aNow)
  {
    if (!connection_ && aNow >= redialAt_) {
      connection_ = PeerConnection::Dial(address_);
      redialAt_ = aNow + kReconnectTime;
    }
  }

  /// Takes the first messages of the queue, as many as fit into one frame.
  std::vector<std::string> TakeBatch()
  {
    size_t bytes = 0;
    auto end = queue_.begin();
    while (end != queue_.end() && (end == queue_.begin() || bytes + end->size() <= kMaxBatchBytes)) {
      bytes += end->size();
      ++end;
    }
    std::vector<std::string> batch(std::make_move_iterator(queue_.begin()), std::make_move_iterator(end));
    queue_.erase(queue_.begin(), end);
    return batch;
  }
};

std::optional<std::unique_ptr<NngTransport>>
NngTransport::Create(const std::string& aAddress, LastReason& aReason)
{
  nng_socket pull = NNG_SOCKET_INITIALIZER;
  nng_aio* receive = nullptr;
  int error = nng_pull0_open(&pull);
  if (error == 0) {
    nng_socket_set_int(pull, NNG_OPT_RECVBUF, kReceiveBufferMessages);
    nng_socket_set_size(pull, NNG_OPT_RECVMAXSZ, kMaxMessageBytes);
    error = nng_listen(pull, ("tcp://" + aAddress).c_str(), nullptr, 0);
  }
  if (error == 0) {
    // Without a time-out: nng wakes a thread of its own for the time-outs of a receive.
    error = nng_aio_alloc(&receive, nullptr, nullptr);
  }
  if (error != 0) {
    aReason.Set("cannot listen for peers on " + aAddress + ": " + nng_strerror(error));
    nng_close(pull);
    return std::nullopt;
  }
  std::unique_ptr<NngTransport> transport(new NngTransport(pull.id, receive));
  transport->receiveThread_ = std::thread([raw = transport.get()] { raw->ReceiveLoop(); });
  transport->sendThread_ = std::thread([raw = transport.get()] { raw->SendLoop(); });
  return transport;
}

NngTransport::NngTransport(uint32_t aPullSocket, nng_aio* aReceiveAio)
  : pullSocket_(aPullSocket)
  , receiveAio_(aReceiveAio)
{
}

NngTransport::~NngTransport()
{
  Stop();
  {
    std::lock_guard lock(mutex_);
    ending_ = true;
  }
  changed_.notify_all();
  sendThread_.join();
}

void
NngTransport::Stop()
{
  if (stopped_.exchange(true)) {
    return;
  }
  nng_aio_stop(receiveAio_);
  receiveThread_.join();
  nng_aio_free(receiveAio_);
  std::this_thread::sleep_for(kSettleTime);
  nng_close(nng_socket{ pullSocket_ });
}

void
NngTransport::SetReceiver(Receiver aReceiver)
{
  std::lock_guard lock(receiverMutex_);
  receiver_ = std::move(aReceiver);
}

void
NngTransport::ReceiveLoop()
{
  pthread_setname_np(pthread_self(), "peer receive");
  while (!stopped_) {
    nng_recv_aio(nng_socket{ pullSocket_ }, receiveAio_);
    nng_aio_wait(receiveAio_);
    if (nng_aio_result(receiveAio_) != 0) {
      return;
    }
    nng_msg* message = nng_aio_get_msg(receiveAio_);
    Receiver receiver;
    {
      std::lock_guard lock(receiverMutex_);
      receiver = receiver_;
    }
    if (receiver) {
      DecodeFrame({ static_cast<const char*>(nng_msg_body(message)), nng_msg_len(message) }, receiver);
    }
    nng_msg_free(message);
  }
}

TransportCounts
NngTransport::Counts() const
{
  return { wakeUps_, frames_, refusedFrames_ };
}

std::shared_ptr<NngTransport::Peer>
NngTransport::FindPeer(const PeerAddress& aPeer)
{
  std::lock_guard lock(mutex_);
  std::shared_ptr<Peer>& entry = peers_[aPeer];
  if (!entry) {
    entry = std::make_shared<Peer>(aPeer);
  }
  return entry;
}

bool
NngTransport::Send(const PeerAddress& aPeer, std::string aBytes)
{
  if (aBytes.size() + kFrameOverhead > kMaxMessageBytes) {
    return false;
  }
  std::shared_ptr<Peer> peer = FindPeer(aPeer);
  const auto now = Clock::now();
  Clock::time_point flushAt;
  {
    std::lock_guard lock(peer->mutex_);
    peer->DialWhenDue(now);
    if (!peer->connection_ || peer->queue_.size() + peer->sending_ >= kMaxQueuedMessages) {
      return false;
    }
    peer->queue_.push_back(std::move(aBytes));
    peer->lastUse_ = now;
    if (std::exchange(peer->scheduled_, true)) {
      return true;
    }
    // A lost connection is left to the sending thread, because closing it waits for nng.
    flushAt = peer->connection_->IsLost() ? now + kBatchTime : peer->lastFrame_ + kBatchTime;
  }
  // Waking the sending thread twice for a message alone costs more than sending it.
  if (flushAt > now) {
    Schedule(std::move(peer), flushAt);
  } else {
    Flush(peer);
  }
  return true;
}

void
NngTransport::Schedule(std::shared_ptr<Peer> aPeer, Clock::time_point aTime)
{
  bool isFirst = false;
  {
    std::lock_guard lock(mutex_);
    auto place = due_.end();
    while (place != due_.begin() && std::prev(place)->time_ > aTime) {
      --place;
    }
    isFirst = place == due_.begin();
    due_.insert(place, { aTime, std::move(aPeer) });
  }
  // Otherwise the sending thread already waits for an earlier time.
  if (isFirst) {
    changed_.notify_all();
  }
}

void
NngTransport::SendLoop()
{
  pthread_setname_np(pthread_self(), "peer send");
  auto nextSweep = Clock::now() + kSweepTime;
  std::unique_lock lock(mutex_);
  while (!ending_) {
    const auto next = due_.empty() ? nextSweep : std::min(nextSweep, due_.front().time_);
    const auto now = Clock::now();
    if (now < next) {
      changed_.wait_until(lock, next);
      wakeUps_++;
      continue;
    }
    const std::vector<std::shared_ptr<Peer>> peers = TakeDue(now + kJoinTime);
    lock.unlock();
    for (const auto& peer : peers) {
      Flush(peer);
    }
    if (now >= nextSweep) {
      CloseUnused();
      nextSweep = now + kSweepTime;
    }
    lock.lock();
  }
}

/// Takes the peers that are due by then. To be called with mutex_ held.
std::vector<std::shared_ptr<NngTransport::Peer>>
NngTransport::TakeDue(Clock::time_point aTime)
{
  std::vector<std::shared_ptr<Peer>> peers;
  while (!due_.empty() && due_.front().time_ <= aTime) {
    peers.push_back(std::move(due_.front().peer_));
    due_.pop_front();
  }
  return peers;
}

/// Sends one frame to the peer. Messages that it does not accept go back to the head of the queue, or are dropped with
/// the connection when it has accepted none for too long. A lost connection is replaced.
void
NngTransport::Flush(const std::shared_ptr<Peer>& aPeer)
{
  std::vector<std::string> batch;
  // Closed after the lock is released, because closing waits for nng.
  std::unique_ptr<PeerConnection> closed;
  PeerConnection* connection = nullptr;
  const auto begin = Clock::now();
  std::optional<Clock::time_point> redialAt;
  {
    std::lock_guard lock(aPeer->mutex_);
    if (aPeer->connection_ && aPeer->connection_->IsLost()) {
      closed = std::move(aPeer->connection_);
    }
    if (aPeer->queue_.empty()) {
      aPeer->scheduled_ = false;
      return;
    }
    aPeer->DialWhenDue(begin);
    connection = aPeer->connection_.get();
    if (connection == nullptr) {
      redialAt = std::max(aPeer->redialAt_, begin + kFirstRetryTime);
    } else {
      batch = aPeer->TakeBatch();
      aPeer->sending_ = batch.size();
    }
  }
  if (redialAt) {
    Schedule(aPeer, *redialAt);
    return;
  }
  std::string frame = EncodeFrame(batch);
  const bool accepted = connection->Send(frame);
  (accepted ? frames_ : refusedFrames_)++;
  const auto now = Clock::now();
  std::optional<Clock::duration> retry;
  {
    std::lock_guard lock(aPeer->mutex_);
    aPeer->sending_ = 0;
    if (accepted) {
      aPeer->lastFrame_ = now;
      aPeer->blockedSince_.reset();
      aPeer->retryTime_ = kFirstRetryTime;
    } else if (!aPeer->blockedSince_) {
      aPeer->blockedSince_ = now;
    }
    if (!accepted && now - *aPeer->blockedSince_ >= kBlockedTime) {
      aPeer->queue_.clear();
      closed = std::move(aPeer->connection_);
      aPeer->blockedSince_.reset();
      aPeer->redialAt_ = now + kRedialTime;
    } else if (!accepted) {
      aPeer->queue_.insert(
        aPeer->queue_.begin(), std::make_move_iterator(batch.begin()), std::make_move_iterator(batch.end()));
    }
    aPeer->scheduled_ = !aPeer->queue_.empty();
    if (aPeer->scheduled_) {
      retry = accepted ? kBatchTime : aPeer->retryTime_;
      aPeer->retryTime_ =
        accepted ? kFirstRetryTime : std::min<Clock::duration>(2 * aPeer->retryTime_, kLongestRetryTime);
    }
  }
  if (retry) {
    Schedule(aPeer, now + *retry);
  }
}

/// Closes the connections of peers that nothing was sent to for long, and forgets peers without a connection.
void
NngTransport::CloseUnused()
{
  std::vector<std::shared_ptr<Peer>> unused;
  const auto now = Clock::now();
  std::lock_guard lock(mutex_);
  for (auto entry = peers_.begin(); entry != peers_.end();) {
    std::lock_guard peerLock(entry->second->mutex_);
    const bool isIdle = !entry->second->scheduled_ && now - entry->second->lastUse_ >= kIdleTime;
    const bool isClosed = !entry->second->scheduled_ && !entry->second->connection_ && now >= entry->second->redialAt_;
    if (isIdle || isClosed) {
      unused.push_back(entry->second);
      entry = peers_.erase(entry);
    } else {
      ++entry;
    }
  }
}

} // namespace ibisrock::adapters
