#ifndef REVIEW_STANDIN_NET_H
#define REVIEW_STANDIN_NET_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

/// Time since the start of the program in seconds.
double
Now();

void
SleepFor(double aSeconds);

/// A loopback address with a port.
struct Address
{
  std::string ip_;
  uint16_t port_ = 0;

  std::string Text() const { return ip_ + ':' + std::to_string(port_); }
};

/// A request or a response of HTTP/1.1.
struct Message
{
  /// Request line or status line.
  std::string start_;
  std::vector<std::pair<std::string, std::string>> fields_;
  std::string body_;

  std::string Field(std::string_view aName) const;
  /// Method and target of a request.
  std::string Method() const { return start_.substr(0, start_.find(' ')); }
  std::string Target() const;
  /// Status of a response, or 0.
  int Status() const;
};

/// A blocking TCP connection. Closes its descriptor.
class Connection
{
public:
  explicit Connection(int aDescriptor)
    : descriptor_(aDescriptor)
  {
  }
  ~Connection();

  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Connects from any local address. Returns null on failure.
  static std::unique_ptr<Connection> Open(const Address& aAddress, double aTimeout);

  int Descriptor() const { return descriptor_; }
  /// Limits how long a read may wait; 0 is without limit.
  void SetReadTimeout(double aSeconds) const;
  bool Send(std::string_view aBytes) const;
  /// Reads a head only.
  std::optional<Message> ReadHead();
  /// Reads a head and the body that follows it. A response without a length ends with the connection.
  std::optional<Message> ReadMessage(bool aIsResponse);
  /// Reads the body that follows a head.
  bool ReadBody(Message& aMessage, bool aIsResponse);
  void ShutDown() const;
  /// Ends the connection as the end of its process does: with a reset if received bytes are unread.
  void Kill() const;

private:
  bool ReadMore();
  bool ReadChunks(Message& aMessage);

  int descriptor_;
  std::string buffer_;
};

/// Accepts connections on an address and serves each on a thread of its own.
class Listener
{
public:
  using Serve = std::function<void(Connection&)>;

  /// Throws when the address cannot be used.
  Listener(const Address& aAddress, Serve aServe);
  ~Listener();

  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  /// Ends all connections as the end of the process does, and refuses new ones until Open().
  void Crash();
  void Open();

private:
  void Accept(int aListening);

  const Address address_;
  const Serve serve_;
  std::mutex mutex_;
  int listening_ = -1;
  std::vector<std::weak_ptr<Connection>> connections_;
  std::vector<std::thread> threads_;
  std::atomic<bool> ended_ = false;
};

/// Formats a response with a length.
std::string
FormatResponse(int aStatus, const std::vector<std::pair<std::string, std::string>>& aFields, std::string_view aBody);

/// Sends a request on a new connection and returns the whole answer, or no value without one in time.
std::optional<Message>
Call(const Address& aAddress, const std::string& aRequest, double aTimeout);

} // namespace review

#endif
