#include "net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <memory>
#include <thread>

namespace standin {

namespace {

constexpr size_t kMaxBytes = 4 << 20;

sockaddr_in
LoopbackAddress(uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(aPort);
  return address;
}

int
BindToFreePort(uint16_t& aPort)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = LoopbackAddress(0);
  socklen_t size = sizeof address;
  if (socket < 0 || ::bind(socket, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    std::abort();
  }
  aPort = ntohs(address.sin_port);
  return socket;
}

void
SetNoDelay(int aSocket)
{
  const int on = 1;
  ::setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

std::string
Word(const std::string& aText, size_t aIndex)
{
  size_t begin = 0;
  for (; aIndex > 0 && begin != std::string::npos; aIndex--) {
    begin = aText.find(' ', begin);
    begin = begin == std::string::npos ? begin : begin + 1;
  }
  return begin == std::string::npos ? "" : aText.substr(begin, aText.find(' ', begin) - begin);
}

} // namespace

std::string
Message::Get(const std::string& aName) const
{
  for (const auto& [name, value] : fields_) {
    if (::strcasecmp(name.c_str(), aName.c_str()) == 0) {
      return value;
    }
  }
  return "";
}

int
Message::Status() const
{
  return std::atoi(Word(start_, 1).c_str());
}

std::string
Message::Method() const
{
  return Word(start_, 0);
}

std::string
Message::Target() const
{
  return Word(start_, 1);
}

std::string
Message::Text() const
{
  std::string text = start_ + "\r\n";
  for (const auto& [name, value] : fields_) {
    text.append(name).append(": ").append(value).append("\r\n");
  }
  return text + "\r\n" + body_;
}

Message
MakeAnswer(int aStatus, std::vector<Field> aFields, std::string aBody)
{
  aFields.emplace_back("Content-Length", std::to_string(aBody.size()));
  return { "HTTP/1.1 " + std::to_string(aStatus) + (aStatus == 200 ? " OK" : " No"),
           std::move(aFields),
           std::move(aBody) };
}

Stream::Stream(int aSocket)
  : socket_(aSocket)
{
}

Stream::~Stream()
{
  Close();
}

int
Stream::Connect(uint16_t aPort)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = LoopbackAddress(aPort);
  if (::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    ::close(socket);
    return -1;
  }
  SetNoDelay(socket);
  return socket;
}

bool
Stream::IsOpen() const
{
  return socket_ >= 0;
}

bool
Stream::Send(const std::string& aBytes)
{
  size_t sent = 0;
  while (socket_ >= 0 && sent < aBytes.size()) {
    const ssize_t count = ::send(socket_, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<size_t>(count);
  }
  return socket_ >= 0;
}

std::optional<Message>
Stream::Read(int aTimeoutMs)
{
  const int64_t until = NowMs() + aTimeoutMs;
  Message message;
  std::optional<std::string> line = TakeLine(until);
  if (!line) {
    return std::nullopt;
  }
  message.start_ = *line;
  for (line = TakeLine(until); line && !line->empty(); line = TakeLine(until)) {
    const size_t colon = line->find(':');
    if (colon == std::string::npos) {
      return std::nullopt;
    }
    const size_t value = line->find_first_not_of(' ', colon + 1);
    message.fields_.emplace_back(line->substr(0, colon), value == std::string::npos ? "" : line->substr(value));
  }
  if (!line || !ReadBody(message, until)) {
    return std::nullopt;
  }
  return message;
}

bool
Stream::WaitForBytes(int aTimeoutMs) const
{
  pollfd waiting{ socket_, POLLIN, 0 };
  return !buffer_.empty() || ::poll(&waiting, 1, aTimeoutMs) > 0;
}

bool
Stream::HasUnreadBytes() const
{
  return WaitForBytes(0);
}

void
Stream::Close()
{
  if (socket_ >= 0) {
    ::close(socket_);
  }
  socket_ = -1;
}

void
Stream::Reset()
{
  const linger atOnce{ 1, 0 };
  ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
  Close();
}

bool
Stream::Fill(int64_t aUntilMs)
{
  pollfd waiting{ socket_, POLLIN, 0 };
  const int64_t left = aUntilMs - NowMs();
  if (socket_ < 0 || left <= 0 || buffer_.size() > kMaxBytes || ::poll(&waiting, 1, static_cast<int>(left)) <= 0) {
    return false;
  }
  char bytes[16384];
  const ssize_t count = ::recv(socket_, bytes, sizeof bytes, 0);
  if (count <= 0) {
    return false;
  }
  buffer_.append(bytes, static_cast<size_t>(count));
  return true;
}

std::optional<std::string>
Stream::TakeLine(int64_t aUntilMs)
{
  size_t end = buffer_.find("\r\n");
  while (end == std::string::npos) {
    if (!Fill(aUntilMs)) {
      return std::nullopt;
    }
    end = buffer_.find("\r\n");
  }
  std::string line = buffer_.substr(0, end);
  buffer_.erase(0, end + 2);
  return line;
}

bool
Stream::ReadBody(Message& aMessage, int64_t aUntilMs)
{
  if (aMessage.Get("Transfer-Encoding") == "chunked") {
    return ReadChunks(aMessage, aUntilMs);
  }
  const size_t size = std::strtoul(aMessage.Get("Content-Length").c_str(), nullptr, 10);
  while (buffer_.size() < size) {
    if (!Fill(aUntilMs)) {
      return false;
    }
  }
  aMessage.body_ = buffer_.substr(0, size);
  buffer_.erase(0, size);
  return true;
}

bool
Stream::ReadChunks(Message& aMessage, int64_t aUntilMs)
{
  for (;;) {
    const std::optional<std::string> line = TakeLine(aUntilMs);
    if (!line) {
      return false;
    }
    const size_t size = std::strtoul(line->c_str(), nullptr, 16);
    while (buffer_.size() < size + 2) {
      if (!Fill(aUntilMs)) {
        return false;
      }
    }
    aMessage.body_ += buffer_.substr(0, size);
    buffer_.erase(0, size + 2);
    if (size == 0) {
      return true;
    }
  }
}

Listener::Listener(Serve aServe)
{
  const int socket = BindToFreePort(port_);
  if (::listen(socket, 512) != 0) {
    std::abort();
  }
  std::thread([socket, serve = std::make_shared<Serve>(std::move(aServe))] {
    for (;;) {
      const int accepted = ::accept4(socket, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        continue;
      }
      SetNoDelay(accepted);
      std::thread([accepted, serve] {
        Stream stream(accepted);
        (*serve)(stream);
      }).detach();
    }
  }).detach();
}

uint16_t
Listener::Port() const
{
  return port_;
}

uint16_t
FreePort()
{
  uint16_t port = 0;
  ::close(BindToFreePort(port));
  return port;
}

int64_t
NowMs()
{
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  return duration_cast<milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

void
SleepMs(int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

} // namespace standin
