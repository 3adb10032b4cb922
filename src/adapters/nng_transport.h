#ifndef IBISROCK_ADAPTERS_NNG_TRANSPORT_H
#define IBISROCK_ADAPTERS_NNG_TRANSPORT_H

#include "base/last_reason.h"
#include "base/peer_transport.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <unordered_map>

namespace ibisrock::adapters {

/// Messages between instances over nng pipelines: one pull socket that listens, one push socket for each peer.
class NngTransport final : public PeerTransport
{
public:
  using Receiver = std::function<void(std::string_view)>;

  /// Starts to listen on aAddress ("ip:port"). Messages that arrive before SetReceiver are dropped.
  static std::optional<std::unique_ptr<NngTransport>> Create(const std::string& aAddress, LastReason& aReason);
  ~NngTransport() override;

  /// Sets what is called on the receiving thread for each message. To be called once.
  void SetReceiver(Receiver aReceiver);
  bool Send(const PeerAddress& aPeer, std::string aBytes) override;
  /// Stops receiving. Send keeps working until destruction.
  void Stop();

private:
  struct PushSocket;

  explicit NngTransport(uint32_t aPullSocket);

  void ReceiveLoop();
  PushSocket* FindOrDial(const PeerAddress& aPeer);

  const uint32_t pullSocket_;
  std::mutex mutex_;
  Receiver receiver_;
  std::unordered_map<PeerAddress, std::unique_ptr<PushSocket>> pushSockets_;
  std::atomic<bool> stopped_{ false };
  std::thread thread_;
};

} // namespace ibisrock::adapters

#endif
