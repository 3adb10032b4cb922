#include "net.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <strings.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

using Clock = std::chrono::steady_clock;

const Clock::time_point kStart = Clock::now();

sockaddr_in
ToSocketAddress(const Address& aAddress)
{
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(aAddress.port_);
  ::inet_pton(AF_INET, aAddress.ip_.c_str(), &result.sin_addr);
  return result;
}

void
SetNoDelay(int aDescriptor)
{
  const int on = 1;
  ::setsockopt(aDescriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

int
Listen(const Address& aAddress)
{
  constexpr int kBacklog = 512;
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  // Segments as on Ethernet. With those of the loopback device the kernel buffers over a megabyte for a connection.
  const int segment = 1460;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
  // Small windows, so that a peer that does not read blocks the writer.
  const int window = 4096;
  ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
  const sockaddr_in address = ToSocketAddress(aAddress);
  if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(descriptor, kBacklog) != 0) {
    ::close(descriptor);
    throw std::runtime_error("cannot listen on " + aAddress.Text() + ": " + std::strerror(errno));
  }
  return descriptor;
}

} // namespace

double
Now()
{
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

void
SleepFor(double aSeconds)
{
  if (aSeconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
  }
}

std::string
Message::Field(std::string_view aName) const
{
  for (const auto& [name, value] : fields_) {
    if (name.size() == aName.size() && ::strncasecmp(name.data(), aName.data(), name.size()) == 0) {
      return value;
    }
  }
  return "";
}

std::string
Message::Target() const
{
  const size_t first = start_.find(' ');
  const size_t second = start_.find(' ', first + 1);
  return first == std::string::npos ? "" : start_.substr(first + 1, second - first - 1);
}

int
Message::Status() const
{
  constexpr size_t kStatusAt = 9;
  if (!start_.starts_with("HTTP/1.1 ") || start_.size() < kStatusAt + 3) {
    return 0;
  }
  int status = 0;
  for (size_t i = kStatusAt; i < kStatusAt + 3; i++) {
    status = 10 * status + (start_[i] - '0');
  }
  return status;
}

Connection::~Connection()
{
  ::close(descriptor_);
}

std::unique_ptr<Connection>
Connection::Open(const Address& aAddress, double aTimeout)
{
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  auto connection = std::make_unique<Connection>(descriptor);
  const sockaddr_in address = ToSocketAddress(aAddress);
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    if (errno != EINPROGRESS) {
      return nullptr;
    }
    pollfd waiting{ descriptor, POLLOUT, 0 };
    int error = 0;
    socklen_t length = sizeof error;
    if (::poll(&waiting, 1, static_cast<int>(aTimeout * 1000)) != 1 ||
        ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
      return nullptr;
    }
  }
  timeval noLimit{};
  ::setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &noLimit, sizeof noLimit);
  // Blocking from here on.
  ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
  SetNoDelay(descriptor);
  return connection;
}

void
Connection::SetReadTimeout(double aSeconds) const
{
  timeval time{};
  time.tv_sec = static_cast<time_t>(aSeconds);
  time.tv_usec = static_cast<suseconds_t>((aSeconds - std::floor(aSeconds)) * 1e6);
  ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
}

bool
Connection::Send(std::string_view aBytes) const
{
  while (!aBytes.empty()) {
    const ssize_t sent = ::send(descriptor_, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<size_t>(sent));
  }
  return true;
}

bool
Connection::ReadMore()
{
  std::array<char, 4096> bytes{};
  const ssize_t count = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
  if (count <= 0) {
    return false;
  }
  buffer_.append(bytes.data(), static_cast<size_t>(count));
  return true;
}

std::optional<Message>
Connection::ReadHead()
{
  size_t end = buffer_.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!ReadMore()) {
      return std::nullopt;
    }
    end = buffer_.find("\r\n\r\n");
  }
  Message message;
  std::string_view head(buffer_.data(), end);
  message.start_ = head.substr(0, head.find("\r\n"));
  head.remove_prefix(std::min(head.size(), message.start_.size() + 2));
  while (!head.empty()) {
    const std::string_view line = head.substr(0, head.find("\r\n"));
    const size_t colon = std::min(line.find(':'), line.size());
    const size_t value = std::min(line.find_first_not_of(' ', std::min(colon + 1, line.size())), line.size());
    message.fields_.emplace_back(line.substr(0, colon), line.substr(value));
    head.remove_prefix(std::min(head.size(), line.size() + 2));
  }
  buffer_.erase(0, end + 4);
  return message;
}

std::optional<Message>
Connection::ReadMessage(bool aIsResponse)
{
  auto message = ReadHead();
  if (!message || !ReadBody(*message, aIsResponse)) {
    return std::nullopt;
  }
  return message;
}

bool
Connection::ReadBody(Message& aMessage, bool aIsResponse)
{
  if (aMessage.Field("Transfer-Encoding") == "chunked") {
    return ReadChunks(aMessage);
  }
  const std::string length = aMessage.Field("Content-Length");
  if (length.empty() && aIsResponse) {
    while (ReadMore()) {
    }
    aMessage.body_ = std::move(buffer_);
    buffer_.clear();
    return true;
  }
  const size_t size = length.empty() ? 0 : std::stoul(length);
  while (buffer_.size() < size) {
    if (!ReadMore()) {
      return false;
    }
  }
  aMessage.body_ = buffer_.substr(0, size);
  buffer_.erase(0, size);
  return true;
}

bool
Connection::ReadChunks(Message& aMessage)
{
  constexpr int kHexadecimal = 16;
  while (true) {
    size_t end = buffer_.find("\r\n");
    while (end == std::string::npos) {
      if (!ReadMore()) {
        return false;
      }
      end = buffer_.find("\r\n");
    }
    const size_t size = std::stoul(buffer_.substr(0, end), nullptr, kHexadecimal);
    while (buffer_.size() < end + 2 + size + 2) {
      if (!ReadMore()) {
        return false;
      }
    }
    aMessage.body_ += buffer_.substr(end + 2, size);
    buffer_.erase(0, end + 2 + size + 2);
    if (size == 0) {
      return true;
    }
  }
}

void
Connection::ShutDown() const
{
  ::shutdown(descriptor_, SHUT_RDWR);
}

void
Connection::Kill() const
{
  int unread = 0;
  if (::ioctl(descriptor_, FIONREAD, &unread) == 0 && unread > 0) {
    // Dissolving the association sends a reset, as close() does with unread bytes.
    sockaddr none{};
    none.sa_family = AF_UNSPEC;
    static_cast<void>(::connect(descriptor_, &none, sizeof none));
  }
  ::shutdown(descriptor_, SHUT_RDWR);
}

Listener::Listener(const Address& aAddress, Serve aServe)
  : address_(aAddress)
  , serve_(std::move(aServe))
{
  Open();
}

Listener::~Listener()
{
  ended_ = true;
  Crash();
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void
Listener::Open()
{
  const std::lock_guard lock(mutex_);
  if (listening_ >= 0 || ended_) {
    return;
  }
  listening_ = Listen(address_);
  threads_.emplace_back([this, descriptor = listening_] { Accept(descriptor); });
}

void
Listener::Crash()
{
  const std::lock_guard lock(mutex_);
  if (listening_ >= 0) {
    // Wakes the thread that accepts, which closes the descriptor.
    ::shutdown(listening_, SHUT_RDWR);
    listening_ = -1;
  }
  for (const auto& weak : connections_) {
    if (const auto connection = weak.lock()) {
      connection->Kill();
    }
  }
  connections_.clear();
}

void
Listener::Accept(int aListening)
{
  while (true) {
    const int descriptor = ::accept4(aListening, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) {
      break;
    }
    SetNoDelay(descriptor);
    auto connection = std::make_shared<Connection>(descriptor);
    const std::lock_guard lock(mutex_);
    if (listening_ != aListening) {
      break;
    }
    std::erase_if(connections_, [](const auto& aWeak) { return aWeak.expired(); });
    connections_.push_back(connection);
    std::thread([this, connection] { serve_(*connection); }).detach();
  }
  ::close(aListening);
}

std::string
FormatResponse(int aStatus, const std::vector<std::pair<std::string, std::string>>& aFields, std::string_view aBody)
{
  std::string text = "HTTP/1.1 " + std::to_string(aStatus) + (aStatus < 400 ? " OK" : " Error") + "\r\n";
  for (const auto& [name, value] : aFields) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  return text.append(aBody);
}

std::optional<Message>
Call(const Address& aAddress, const std::string& aRequest, double aTimeout)
{
  auto connection = Connection::Open(aAddress, 1.0);
  if (!connection) {
    return std::nullopt;
  }
  connection->SetReadTimeout(aTimeout);
  connection->Send(aRequest);
  return connection->ReadMessage(true);
}

} // namespace review
