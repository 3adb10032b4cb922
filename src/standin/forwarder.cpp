#include "standin/forwarder.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace ibisrock::standin {

namespace {

using adapters::HttpReply;
using adapters::HttpRequest;

/// Longest time until a changed cut reaches a connection without traffic.
constexpr int kPollMs = 20;
constexpr int kBacklog = 128;
/// The sender's name is in the envelope of the first message.
constexpr size_t kHeadBytes = 512;
constexpr size_t kChunkBytes = size_t{ 64 } * 1024;

std::optional<sockaddr_in>
ToSystemAddress(const adapters::SocketAddress& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.port_);
  return inet_pton(AF_INET, aAddress.ip_.c_str(), &address.sin_addr) == 1 ? std::optional(address) : std::nullopt;
}

/// Returns -1 and errno on failure.
int
OpenListener(const adapters::SocketAddress& aAddress)
{
  const auto address = ToSystemAddress(aAddress);
  if (!address) {
    errno = EINVAL;
    return -1;
  }
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(listener, reinterpret_cast<const sockaddr*>(&*address), sizeof(*address)) != 0 ||
      listen(listener, kBacklog) != 0) {
    const int error = errno;
    close(listener);
    errno = error;
    return -1;
  }
  return listener;
}

/// Returns -1 on failure.
int
Connect(const adapters::SocketAddress& aAddress)
{
  const auto address = ToSystemAddress(aAddress);
  const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (!address || connect(connection, reinterpret_cast<const sockaddr*>(&*address), sizeof(*address)) != 0) {
    close(connection);
    return -1;
  }
  return connection;
}

/// The forwarder adds no delay of its own to small messages.
void
SendAtOnce(int aSocket)
{
  const int on = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

bool
Matches(const std::string& aPattern, const std::string& aName)
{
  return aPattern == "*" || aPattern == aName;
}

Cut
ReadCut(const nlohmann::json& aJson)
{
  const auto mode = aJson.at("mode").get<std::string>();
  if (mode != "stall" && mode != "drop") {
    throw std::invalid_argument("mode must be stall or drop");
  }
  return { aJson.at("from").get<std::string>(),
           aJson.at("to").get<std::string>(),
           mode == "stall" ? CutMode::Stall : CutMode::Drop };
}

} // namespace

/// One connection from an instance and the one to the target of the route.
struct Forwarder::Connection
{
  const ForwardRoute& route_;
  const int client_;
  const int target_;
  /// First bytes from the client, until the sender is known.
  std::string head_;
  std::string sender_;
  /// Bytes from the client that were not passed on yet.
  std::string pending_;

  Connection(const ForwardRoute& aRoute, int aClient)
    : route_(aRoute)
    , client_(aClient)
    , target_(Connect(aRoute.target_))
  {
    SendAtOnce(target_);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection()
  {
    close(client_);
    if (target_ >= 0) {
      close(target_);
    }
  }
};

std::optional<ForwardRoute>
ParseRoute(const std::string& aText, LastReason& aReason)
{
  const size_t first = aText.find(',');
  const size_t second = first == std::string::npos ? first : aText.find(',', first + 1);
  if (second == std::string::npos || first == 0) {
    aReason.Set("\"" + aText + "\" is not NAME,IP:PORT,IP:PORT");
    return std::nullopt;
  }
  auto listen = adapters::ParseSocketAddress(aText.substr(first + 1, second - first - 1), aReason);
  auto target = adapters::ParseSocketAddress(aText.substr(second + 1), aReason);
  if (!listen || !target) {
    return std::nullopt;
  }
  return ForwardRoute{ aText.substr(0, first), *listen, *target };
}

std::unique_ptr<Forwarder>
Forwarder::Create(std::vector<ForwardRoute> aRoutes, LastReason& aReason)
{
  std::unique_ptr<Forwarder> forwarder(new Forwarder(std::move(aRoutes)));
  for (const ForwardRoute& route : forwarder->routes_) {
    const int listener = OpenListener(route.listen_);
    if (listener < 0) {
      aReason.Set("cannot listen on " + route.listen_.ip_ + ":" + std::to_string(route.listen_.port_) + ": " +
                  std::strerror(errno));
      return nullptr;
    }
    forwarder->acceptors_.emplace_back([raw = forwarder.get(), &route, listener] { raw->AcceptLoop(route, listener); });
  }
  return forwarder;
}

Forwarder::Forwarder(std::vector<ForwardRoute> aRoutes)
  : routes_(std::move(aRoutes))
{
}

Forwarder::~Forwarder()
{
  stopped_ = true;
  for (std::thread& acceptor : acceptors_) {
    acceptor.join();
  }
  std::unique_lock lock(mutex_);
  closed_.wait(lock, [this] { return open_ == 0; });
}

/// Closes the listener when the forwarder stops.
void
Forwarder::AcceptLoop(const ForwardRoute& aRoute, int aListener)
{
  while (!stopped_) {
    pollfd waiting{ aListener, POLLIN, 0 };
    if (poll(&waiting, 1, kPollMs) <= 0) {
      continue;
    }
    const int client = accept4(aListener, nullptr, nullptr, SOCK_CLOEXEC);
    if (client < 0) {
      continue;
    }
    {
      const std::lock_guard lock(mutex_);
      open_++;
      accepted_++;
    }
    // Detached, because connections come and go; the destructor waits until none is open.
    std::thread([this, &aRoute, client] { Pass(aRoute, client); }).detach();
  }
  close(aListener);
}

void
Forwarder::Pass(const ForwardRoute& aRoute, int aClient)
{
  {
    SendAtOnce(aClient);
    Connection connection(aRoute, aClient);
    if (connection.target_ >= 0) {
      PassUntilClosed(connection);
    }
  }
  const std::lock_guard lock(mutex_);
  open_--;
  closed_.notify_all();
}

/// Whether a cut applies is looked up after each receive, so that no byte passes that was sent after a change.
void
Forwarder::PassUntilClosed(Connection& aConnection)
{
  while (!stopped_) {
    const CutMode mode = ModeOf(aConnection.sender_, aConnection.route_.name_);
    if (mode == CutMode::Drop) {
      const std::lock_guard lock(mutex_);
      dropped_++;
      return;
    }
    const bool passes = mode == CutMode::None;
    if (passes && !aConnection.pending_.empty()) {
      const ssize_t sent = send(
        aConnection.target_, aConnection.pending_.data(), aConnection.pending_.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
      if (sent < 0 && errno != EAGAIN) {
        return;
      }
      const auto passed = static_cast<size_t>(std::max<ssize_t>(sent, 0));
      aConnection.pending_.erase(0, passed);
      const std::lock_guard lock(mutex_);
      bytes_ += passed;
    }
    const bool isEmpty = aConnection.pending_.empty();
    pollfd waiting[] = {
      { aConnection.client_, static_cast<short>(isEmpty ? POLLIN : 0), 0 },
      { aConnection.target_, static_cast<short>(isEmpty || !passes ? POLLIN : POLLIN | POLLOUT), 0 }
    };
    if (poll(waiting, std::size(waiting), kPollMs) <= 0) {
      continue;
    }
    const bool isLost = (waiting[0].revents & (POLLERR | POLLHUP)) != 0 && !isEmpty;
    if (isLost || ((waiting[0].revents != 0) && isEmpty && !Receive(aConnection))) {
      return;
    }
    if ((waiting[1].revents & (POLLIN | POLLERR | POLLHUP)) != 0) {
      char buffer[kChunkBytes];
      const ssize_t size = recv(aConnection.target_, buffer, sizeof(buffer), 0);
      if (size <= 0 || send(aConnection.client_, buffer, static_cast<size_t>(size), MSG_NOSIGNAL) != size) {
        return;
      }
    }
  }
}

/// Takes what the client has sent. Returns false when it has closed the connection.
bool
Forwarder::Receive(Connection& aConnection)
{
  char buffer[kChunkBytes];
  const ssize_t size = recv(aConnection.client_, buffer, sizeof(buffer), 0);
  if (size <= 0) {
    return false;
  }
  aConnection.pending_.assign(buffer, static_cast<size_t>(size));
  if (aConnection.sender_.empty() && aConnection.head_.size() < kHeadBytes) {
    aConnection.head_.append(buffer, std::min(static_cast<size_t>(size), kHeadBytes - aConnection.head_.size()));
    aConnection.sender_ = FindSender(aConnection.head_);
  }
  return true;
}

/// The longest of the names at the first place that holds one, or an empty text.
std::string
Forwarder::FindSender(const std::string& aHead) const
{
  std::string sender;
  size_t first = std::string::npos;
  for (const ForwardRoute& route : routes_) {
    const size_t place = aHead.find(route.name_);
    if (place < first || (place == first && place != std::string::npos && route.name_.size() > sender.size())) {
      first = place;
      sender = route.name_;
    }
  }
  return sender;
}

/// The strongest of the cuts that apply.
CutMode
Forwarder::ModeOf(const std::string& aFrom, const std::string& aTo) const
{
  CutMode mode = CutMode::None;
  const std::lock_guard lock(mutex_);
  for (const Cut& cut : cuts_) {
    if (Matches(cut.from_, aFrom) && Matches(cut.to_, aTo)) {
      mode = std::max(mode, cut.mode_);
    }
  }
  return mode;
}

HttpReply
Forwarder::Handle(const HttpRequest& aRequest)
{
  if (aRequest.path_ != "/admin") {
    return { 404, "text/plain", {}, "no such path\n" };
  }
  return aRequest.method_ == "PUT" ? Change(aRequest.body_) : HttpReply{ 200, "application/json", {}, Counters() };
}

HttpReply
Forwarder::Change(const std::string& aJson)
{
  try {
    std::vector<Cut> cuts;
    const nlohmann::json json = nlohmann::json::parse(aJson);
    for (const nlohmann::json& cut : json.at("cuts")) {
      cuts.push_back(ReadCut(cut));
    }
    const std::lock_guard lock(mutex_);
    cuts_ = std::move(cuts);
  } catch (const std::exception& error) {
    return { 400, "text/plain", {}, std::string(error.what()) + "\n" };
  }
  return { 200, "application/json", {}, Counters() };
}

std::string
Forwarder::Counters() const
{
  const std::lock_guard lock(mutex_);
  return nlohmann::json{
    { "cuts", cuts_.size() }, { "open", open_ }, { "accepted", accepted_ }, { "dropped", dropped_ }, { "bytes", bytes_ }
  }.dump() +
         "\n";
}

} // namespace ibisrock::standin
