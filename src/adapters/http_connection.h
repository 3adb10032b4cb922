#ifndef IBISROCK_ADAPTERS_HTTP_CONNECTION_H
#define IBISROCK_ADAPTERS_HTTP_CONNECTION_H

#include "adapters/http_caller.h"

#include <chrono>
#include <memory>

namespace ibisrock::adapters {

struct SocketAddress;

/// One HTTP connection to a server. Every request is sent at most once. Boost.Beast is used because the client of
/// cxxtools sends a request again when a connection that it kept open is closed without a reply. Not thread-safe.
class HttpConnection
{
public:
  using Clock = std::chrono::steady_clock;

  HttpConnection();
  ~HttpConnection();

  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /// Connects until aDeadline. On failure aFailed tells why; its verdict is NotRun.
  bool Open(const SocketAddress& aAddress, Clock::time_point aDeadline, HttpOutcome& aFailed);
  /// Sends the request and reads the whole reply until aDeadline. The verdict is NotRun only when no byte was sent.
  HttpOutcome Exchange(const HttpCall& aCall, Clock::time_point aDeadline);
  /// Whether any byte of the reply to the last request was read.
  bool HasReadAny() const;
  /// Whether another request can be sent: the last reply was complete and the peer has neither closed nor sent more.
  bool CanBeReused();

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace ibisrock::adapters

#endif
