#ifndef IBISROCK_ADAPTERS_NNG_TRANSPORT_H
#define IBISROCK_ADAPTERS_NNG_TRANSPORT_H

#include "base/last_reason.h"
#include "base/peer_transport.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <unordered_map>
#include <vector>

struct nng_aio;

namespace ibisrock::adapters {

/// What the sending thread of a transport has done so far.
struct TransportCounts
{
  /// Times that it was woken or that its wait ended.
  uint64_t wakeUps_ = 0;
  /// Frames that nng accepted.
  uint64_t frames_ = 0;
  /// Frames that nng refused because the connection could not take them yet.
  uint64_t refusedFrames_ = 0;
};

/// Messages between instances over nng pipelines: one pull socket that listens, one push socket for each peer in use.
/// A message to a peer that got no frame within 200 us is sent by the caller's thread. Those that follow sooner share a
/// frame, which one thread sends for all peers. One thread receives. Thread-safe.
class NngTransport final : public PeerTransport
{
public:
  using Receiver = std::function<void(std::string_view)>;

  /// Starts to listen on aAddress ("ip:port"). Messages that arrive before SetReceiver are dropped.
  static std::optional<std::unique_ptr<NngTransport>> Create(const std::string& aAddress, LastReason& aReason);
  ~NngTransport() override;

  /// Sets what is called on the receiving thread for each message. To be called once.
  void SetReceiver(Receiver aReceiver);
  /// Returns false only for a message that was not queued: the peer accepts nothing, its queue is full, or the message
  /// is too large. A queued message is dropped when the peer accepts nothing for a second.
  bool Send(const PeerAddress& aPeer, std::string aBytes) override;
  /// Stops receiving, which takes 100 ms. Send keeps working until destruction. Not to be called by the receiver.
  void Stop();
  TransportCounts Counts() const;

private:
  using Clock = std::chrono::steady_clock;
  struct Peer;
  /// A peer with messages to send from a point of time on.
  struct Due
  {
    Clock::time_point time_;
    std::shared_ptr<Peer> peer_;
  };

  NngTransport(uint32_t aPullSocket, nng_aio* aReceiveAio);

  void ReceiveLoop();
  void SendLoop();
  std::shared_ptr<Peer> FindPeer(const PeerAddress& aPeer);
  void Schedule(std::shared_ptr<Peer> aPeer, Clock::time_point aTime);
  std::vector<std::shared_ptr<Peer>> TakeDue(Clock::time_point aTime);
  void Flush(const std::shared_ptr<Peer>& aPeer);
  void CloseUnused();

  const uint32_t pullSocket_;
  nng_aio* const receiveAio_;
  std::mutex receiverMutex_;
  Receiver receiver_;

  std::mutex mutex_;
  std::condition_variable changed_;
  std::unordered_map<PeerAddress, std::shared_ptr<Peer>> peers_;
  std::deque<Due> due_;
  bool ending_ = false;

  std::atomic<uint64_t> wakeUps_{ 0 };
  std::atomic<uint64_t> frames_{ 0 };
  std::atomic<uint64_t> refusedFrames_{ 0 };

  std::atomic<bool> stopped_{ false };
  std::thread receiveThread_;
  std::thread sendThread_;
};

} // namespace ibisrock::adapters

#endif
