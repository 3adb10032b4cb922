#ifndef IBISROCK_ADAPTERS_HTTP_SERVER_H
#define IBISROCK_ADAPTERS_HTTP_SERVER_H

#include "base/last_reason.h"
#include "base/units.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace ibisrock::adapters {

struct HttpRequest
{
  std::string method_;
  /// Path without the query string.
  std::string path_;
  /// Query string without the question mark.
  std::string query_;
  std::string body_;
  /// Value of a header, or an empty text. Header names are compared without regard to case.
  std::function<std::string(const char*)> header_;
  /// "ip:port" of the peer of the connection; empty when there is none.
  std::string peer_ = {};
};

struct HttpReply
{
  unsigned status_ = 200;
  std::string contentType_ = "application/json";
  std::map<std::string, std::string> headers_;
  std::string body_;
};

using HttpHandler = std::function<HttpReply(const HttpRequest&)>;

/// Limits of one listener.
struct HttpServerSettings
{
  /// "ip:port".
  std::string address_;
  unsigned minThreads_ = 5;
  /// Each request that is being served holds one thread.
  unsigned maxThreads_ = 200;
  /// Connections that may wait to be accepted. A connection beyond them is retried by the client's kernel after 1 s.
  unsigned backlog_ = 1024;
  /// Largest body in bytes; a larger one is refused with 413.
  size_t maxBody_ = size_t{ 64 } * 1024 * 1024;
  /// Largest sum of header names and values in bytes; a larger one is refused with 413, and one of more than 8 KiB with
  /// 400.
  size_t maxHeader_ = 4096;
  /// Time for a request to arrive once its first byte has arrived.
  Micros readTimeout_ = Seconds(5);
  /// Time that an idle connection is kept open.
  Micros keepAlive_ = Seconds(15);
};

/// An HTTP server with one handler for all paths, for handlers that block: connections are served by one event loop,
/// handlers run on threads.
class HttpServer
{
public:
  /// Starts to listen. Returns no value when the address is malformed or in use.
  static std::optional<std::unique_ptr<HttpServer>> Create(const HttpServerSettings& aSettings,
                                                           HttpHandler aHandler,
                                                           LastReason& aReason);
  ~HttpServer();

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

private:
  class Impl;
  explicit HttpServer(std::unique_ptr<Impl> aImpl);

  std::unique_ptr<Impl> impl_;
};

} // namespace ibisrock::adapters

#endif
