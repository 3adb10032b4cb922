#include "adapters/http_server.h"

#include "adapters/api_error.h"
#include "adapters/listen_backlog.h"
#include "adapters/peer_address.h"
#include "adapters/socket_address.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstring>
#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>
#include <exception>
#include <stdexcept>
#include <string_view>
#include <thread>
#include <utility>

namespace ibisrock::adapters {

namespace {

namespace http = cxxtools::http;

/// A request that is refused before its handler is called.
class RequestRefused : public std::runtime_error
{
public:
  RequestRefused(unsigned aStatus, const char* aReason, const std::string& aMessage)
    : std::runtime_error(aMessage)
    , status_(aStatus)
    , reason_(aReason)
  {
  }

  const unsigned status_;
  const char* const reason_;
};

void
CheckHeaderSize(const http::RequestHeader& aHeader, size_t aLimit)
{
  size_t size = 0;
  for (auto entry = aHeader.begin(); entry != aHeader.end(); ++entry) {
    size += std::strlen(entry->first) + std::strlen(entry->second);
  }
  if (size > aLimit) {
    throw RequestRefused(413, "too-large", "the header has more than " + std::to_string(aLimit) + " bytes");
  }
}

/// A body up to this many times the limit is read and dropped before the 413. Closing a connection with unread bytes
/// resets it, and the caller would lose the reply.
constexpr size_t kDropFactor = 16;

HttpReply
BodyTooLarge(size_t aLimit)
{
  return NotRunReply(413, "too-large", "the body has more than " + std::to_string(aLimit) + " bytes");
}

/// Refuses a length that cxxtools would read as another number. cxxtools does not decode chunked bodies and would pass
/// an empty body on.
void
CheckContentLength(const http::RequestHeader& aHeader, size_t aLimit)
{
  if (aHeader.hasHeader("Transfer-Encoding")) {
    throw RequestRefused(411, "length-required", "a body needs the header Content-Length, not Transfer-Encoding");
  }
  const char* text = aHeader.getHeader("Content-Length");
  if (text == nullptr) {
    return;
  }
  const std::string_view length(text);
  const bool isNumber = !length.empty() && std::all_of(length.begin(), length.end(), [](unsigned char aLetter) {
    return std::isdigit(aLetter) != 0;
  });
  if (!isNumber) {
    throw RequestRefused(400, "malformed", "header Content-Length must be a whole number");
  }
  constexpr size_t kMostDigits = 18;
  if (length.size() > kMostDigits || aHeader.contentLength() > aLimit * kDropFactor) {
    throw RequestRefused(413, "too-large", "the body has more than " + std::to_string(aLimit) + " bytes");
  }
}

void
WriteReply(const HttpReply& aFrom, std::ostream& aOut, http::Reply& aReply)
{
  aReply.httpReturn(aFrom.status_, aFrom.status_ < 400 ? "OK" : "Error");
  aReply.setHeader("Content-Type", aFrom.contentType_.c_str());
  for (const auto& [name, value] : aFrom.headers_) {
    aReply.setHeader(name.c_str(), value.c_str());
  }
  aOut << aFrom.body_;
}

/// Checks the limits of a request, passes it to the handler and turns an exception into a 500.
class HandlerResponder : public http::Responder
{
public:
  HandlerResponder(http::Service& aService, const HttpServerSettings& aSettings, const HttpHandler& aHandler)
    : http::Responder(aService)
    , settings_(aSettings)
    , handler_(aHandler)
  {
  }

  void beginRequest(cxxtools::net::TcpSocket& aSocket, std::istream& aIn, http::Request& aRequest) override
  {
    http::Responder::beginRequest(aSocket, aIn, aRequest);
    peer_ = PeerAddress(aSocket);
    CheckHeaderSize(aRequest.header(), settings_.maxHeader_);
    CheckContentLength(aRequest.header(), settings_.maxBody_);
    dropsBody_ = aRequest.header().contentLength() > settings_.maxBody_;
  }

  /// Drops a body that is too large instead of keeping it.
  std::size_t readBody(std::istream& aIn) override
  {
    if (!dropsBody_) {
      return http::Responder::readBody(aIn);
    }
    // Reads only what has arrived: asking for more would block this thread until the caller sends it.
    std::array<char, 4096> dropped{};
    std::size_t size = 0;
    for (std::streamsize arrived = 0; (arrived = aIn.rdbuf()->in_avail()) > 0;) {
      aIn.read(dropped.data(), std::min(arrived, static_cast<std::streamsize>(dropped.size())));
      size += static_cast<std::size_t>(aIn.gcount());
    }
    return size;
  }

  void reply(std::ostream& aOut, http::Request& aRequest, http::Reply& aReply) override
  {
    const HttpRequest request{ aRequest.method(),
                               aRequest.url(),
                               aRequest.qparams(),
                               aRequest.bodyStr(),
                               [&aRequest](const char* aName) {
                                 const char* value = aRequest.getHeader(aName);
                                 return std::string(value == nullptr ? "" : value);
                               },
                               peer_ };
    HttpReply reply;
    try {
      reply = dropsBody_ ? BodyTooLarge(settings_.maxBody_) : handler_(request);
    } catch (const std::exception& error) {
      reply = { 500, "text/plain", {}, std::string("internal error: ") + error.what() + "\n" };
    }
    WriteReply(reply, aOut, aReply);
  }

  /// Answers a request that was refused or could not be read. The rest of it is unread, so the connection is closed.
  void replyError(std::ostream& aOut,
                  http::Request& /*aRequest*/,
                  http::Reply& aReply,
                  const std::exception& aError) override
  {
    const auto* refused = dynamic_cast<const RequestRefused*>(&aError);
    HttpReply reply = refused != nullptr ? NotRunReply(refused->status_, refused->reason_, refused->what())
                                         : NotRunReply(400, "malformed", "the request could not be read");
    reply.headers_["Connection"] = "close";
    WriteReply(reply, aOut, aReply);
  }

private:
  const HttpServerSettings& settings_;
  const HttpHandler& handler_;
  std::string peer_;
  bool dropsBody_ = false;
};

class HandlerService : public http::Service
{
public:
  HandlerService(HttpServerSettings aSettings, HttpHandler aHandler)
    : settings_(std::move(aSettings))
    , handler_(std::move(aHandler))
  {
  }

protected:
  http::Responder* createResponder(const http::Request& /*aRequest*/) override
  {
    return new HandlerResponder(*this, settings_, handler_);
  }
  void releaseResponder(http::Responder* aResponder) override { delete aResponder; }

private:
  const HttpServerSettings settings_;
  HttpHandler handler_;
};

cxxtools::Milliseconds
ToMilliseconds(Micros aTime)
{
  return cxxtools::Milliseconds(static_cast<double>(aTime.count()) / 1000.0);
}

} // namespace

class HttpServer::Impl
{
public:
  Impl(const HttpServerSettings& aSettings, const SocketAddress& aAddress, HttpHandler aHandler)
    : service_(aSettings, std::move(aHandler))
    , server_(loop_)
  {
    server_.minThreads(aSettings.minThreads_);
    server_.maxThreads(aSettings.maxThreads_);
    server_.readTimeout(ToMilliseconds(aSettings.readTimeout_));
    server_.keepAliveTimeout(ToMilliseconds(aSettings.keepAlive_));
    server_.addService(cxxtools::Regex(".*"), service_);
    server_.listen(aAddress.ip_, aAddress.port_);
    LastReason reason;
    if (aSettings.backlog_ != 0 && !SetListenBacklog(aAddress, aSettings.backlog_, reason)) {
      throw std::runtime_error(reason.Text());
    }
    thread_ = std::thread([this] { loop_.run(); });
  }

  ~Impl()
  {
    loop_.exit();
    thread_.join();
  }

private:
  HandlerService service_;
  cxxtools::EventLoop loop_;
  http::Server server_;
  std::thread thread_;
};

HttpServer::HttpServer(std::unique_ptr<Impl> aImpl)
  : impl_(std::move(aImpl))
{
}

HttpServer::~HttpServer() = default;

std::optional<std::unique_ptr<HttpServer>>
HttpServer::Create(const HttpServerSettings& aSettings, HttpHandler aHandler, LastReason& aReason)
{
  auto address = ParseSocketAddress(aSettings.address_, aReason);
  if (!address) {
    return std::nullopt;
  }
  try {
    return std::unique_ptr<HttpServer>(
      new HttpServer(std::make_unique<Impl>(aSettings, *address, std::move(aHandler))));
  } catch (const std::exception& error) {
    aReason.Set("cannot listen on " + aSettings.address_ + ": " + error.what());
    return std::nullopt;
  }
}

} // namespace ibisrock::adapters
