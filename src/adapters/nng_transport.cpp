#include "adapters/nng_transport.h"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <utility>

namespace ibisrock::adapters {

namespace {

constexpr int kSendBufferMessages = 1024;
constexpr int kReceiveBufferMessages = 4096;
constexpr size_t kMaxMessageBytes = 8 * 1024 * 1024;

} // namespace

/// An nng push socket that closes itself.
struct NngTransport::PushSocket
{
  nng_socket socket_ = NNG_SOCKET_INITIALIZER;

  PushSocket() = default;
  PushSocket(const PushSocket&) = delete;
  PushSocket& operator=(const PushSocket&) = delete;
  ~PushSocket() { nng_close(socket_); }
};

std::optional<std::unique_ptr<NngTransport>>
NngTransport::Create(const std::string& aAddress, LastReason& aReason)
{
  nng_socket pull = NNG_SOCKET_INITIALIZER;
  int error = nng_pull0_open(&pull);
  if (error == 0) {
    nng_socket_set_int(pull, NNG_OPT_RECVBUF, kReceiveBufferMessages);
    nng_socket_set_size(pull, NNG_OPT_RECVMAXSZ, kMaxMessageBytes);
    error = nng_listen(pull, ("tcp://" + aAddress).c_str(), nullptr, 0);
  }
  if (error != 0) {
    aReason.Set("cannot listen for peers on " + aAddress + ": " + nng_strerror(error));
    nng_close(pull);
    return std::nullopt;
  }
  std::unique_ptr<NngTransport> transport(new NngTransport(pull.id));
  transport->thread_ = std::thread([raw = transport.get()] { raw->ReceiveLoop(); });
  return transport;
}

NngTransport::NngTransport(uint32_t aPullSocket)
  : pullSocket_(aPullSocket)
{
}

NngTransport::~NngTransport()
{
  Stop();
}

void
NngTransport::Stop()
{
  if (stopped_.exchange(true)) {
    return;
  }
  nng_close(nng_socket{ pullSocket_ });
  thread_.join();
}

void
NngTransport::SetReceiver(Receiver aReceiver)
{
  std::lock_guard lock(mutex_);
  receiver_ = std::move(aReceiver);
}

void
NngTransport::ReceiveLoop()
{
  while (true) {
    nng_msg* message = nullptr;
    if (nng_recvmsg(nng_socket{ pullSocket_ }, &message, 0) != 0) {
      return;
    }
    Receiver receiver;
    {
      std::lock_guard lock(mutex_);
      receiver = receiver_;
    }
    if (receiver) {
      receiver(std::string_view(static_cast<const char*>(nng_msg_body(message)), nng_msg_len(message)));
    }
    nng_msg_free(message);
  }
}

NngTransport::PushSocket*
NngTransport::FindOrDial(const PeerAddress& aPeer)
{
  std::lock_guard lock(mutex_);
  std::unique_ptr<PushSocket>& entry = pushSockets_[aPeer];
  if (entry) {
    return entry.get();
  }
  auto socket = std::make_unique<PushSocket>();
  if (nng_push0_open(&socket->socket_) != 0) {
    return nullptr;
  }
  nng_socket_set_int(socket->socket_, NNG_OPT_SENDBUF, kSendBufferMessages);
  if (nng_dial(socket->socket_, ("tcp://" + aPeer.Value()).c_str(), nullptr, NNG_FLAG_NONBLOCK) != 0) {
    return nullptr;
  }
  entry = std::move(socket);
  return entry.get();
}

bool
NngTransport::Send(const PeerAddress& aPeer, std::string aBytes)
{
  PushSocket* socket = FindOrDial(aPeer);
  return socket != nullptr && nng_send(socket->socket_, aBytes.data(), aBytes.size(), NNG_FLAG_NONBLOCK) == 0;
}

} // namespace ibisrock::adapters
