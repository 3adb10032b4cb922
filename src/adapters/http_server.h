#ifndef IBISROCK_ADAPTERS_HTTP_SERVER_H
#define IBISROCK_ADAPTERS_HTTP_SERVER_H

#include "base/last_reason.h"

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
};

/// A cxxtools HTTP server with one handler for all paths, which runs on the server's threads.
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
