#include "adapters/http_server.h"

#include "adapters/socket_address.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>
#include <exception>
#include <thread>
#include <utility>

namespace ibisrock::adapters {

namespace {

namespace http = cxxtools::http;

/// Passes each request to the handler and turns an exception into a 500.
class HandlerResponder : public http::Responder
{
public:
  HandlerResponder(http::Service& aService, const HttpHandler& aHandler)
    : http::Responder(aService)
    , handler_(aHandler)
  {
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
                               } };
    HttpReply reply;
    try {
      reply = handler_(request);
    } catch (const std::exception& error) {
      reply = { 500, "text/plain", {}, std::string("internal error: ") + error.what() + "\n" };
    }
    aReply.httpReturn(reply.status_, reply.status_ < 400 ? "OK" : "Error");
    aReply.setHeader("Content-Type", reply.contentType_.c_str());
    for (const auto& [name, value] : reply.headers_) {
      aReply.setHeader(name.c_str(), value.c_str());
    }
    aOut << reply.body_;
  }

private:
  const HttpHandler& handler_;
};

class HandlerService : public http::Service
{
public:
  explicit HandlerService(HttpHandler aHandler)
    : handler_(std::move(aHandler))
  {
  }

protected:
  http::Responder* createResponder(const http::Request& /*aRequest*/) override
  {
    return new HandlerResponder(*this, handler_);
  }
  void releaseResponder(http::Responder* aResponder) override { delete aResponder; }

private:
  HttpHandler handler_;
};

} // namespace

class HttpServer::Impl
{
public:
  Impl(const HttpServerSettings& aSettings, const SocketAddress& aAddress, HttpHandler aHandler)
    : service_(std::move(aHandler))
    , server_(loop_)
  {
    server_.minThreads(aSettings.minThreads_);
    server_.maxThreads(aSettings.maxThreads_);
    server_.addService(cxxtools::Regex(".*"), service_);
    server_.listen(aAddress.ip_, aAddress.port_);
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
