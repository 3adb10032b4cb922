#include "adapters/http_connection.h"

#include "adapters/socket_address.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace ibisrock::adapters {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using Parser = http::response_parser<http::string_body>;

/// The object API holds values up to 1 MB and a state dump of a large instance is a few MB.
constexpr uint64_t kMaxReplyBody = uint64_t{ 64 } * 1024 * 1024;
constexpr uint32_t kMaxReplyHeader = 64 * 1024;

HttpOutcome
FailedOutcome(Verdict aVerdict, Reason aReason, std::string aError)
{
  HttpOutcome outcome;
  outcome.verdict_ = aVerdict;
  outcome.reason_ = aReason;
  outcome.error_ = std::move(aError);
  return outcome;
}

http::request<http::string_body>
BuildRequest(const HttpCall& aCall)
{
  constexpr unsigned kHttp11 = 11;
  http::request<http::string_body> request;
  request.version(kHttp11);
  request.method_string(aCall.method_);
  request.target(aCall.url_);
  request.set(http::field::host, aCall.address_);
  for (const auto& [name, value] : aCall.headers_) {
    request.set(name, value);
  }
  request.keep_alive(!aCall.freshConnection_);
  request.body() = aCall.body_;
  request.prepare_payload();
  return request;
}

HttpOutcome
CompleteOutcome(http::response<http::string_body> aReply)
{
  HttpOutcome outcome;
  outcome.verdict_ = Verdict::Ran;
  outcome.status_ = aReply.result_int();
  for (const auto& field : aReply) {
    outcome.headers_[std::string(field.name_string())] = std::string(field.value());
  }
  outcome.body_ = std::move(aReply.body());
  return outcome;
}

/// Addresses are IP numbers; a host name is accepted for the operators' tool.
std::optional<Tcp::endpoint>
Resolve(asio::io_context& aContext, const SocketAddress& aAddress, ErrorCode& aError)
{
  const asio::ip::address address = asio::ip::make_address(aAddress.ip_, aError);
  if (!aError) {
    return Tcp::endpoint(address, aAddress.port_);
  }
  const auto found = Tcp::resolver(aContext).resolve(aAddress.ip_, std::to_string(aAddress.port_), aError);
  return aError || found.empty() ? std::nullopt : std::optional(found.begin()->endpoint());
}

} // namespace

struct HttpConnection::Impl
{
  /// Runs the one operation in progress. Returns false when the deadline passed first, after which the socket is
  /// closed.
  bool RunUntil(Clock::time_point aDeadline)
  {
    context_.restart();
    // What is ready is handled also after the deadline, so that an operation that has ended is not called timed out.
    context_.poll();
    context_.run_until(aDeadline);
    if (context_.stopped()) {
      return true;
    }
    ErrorCode ignored;
    socket_.close(ignored);
    context_.run();
    return false;
  }

  asio::io_context context_{ 1 };
  Tcp::socket socket_{ context_ };
  boost::beast::flat_buffer buffer_;
  bool isReusable_ = false;
  bool hasReadAny_ = false;
};

HttpConnection::HttpConnection()
  : impl_(std::make_unique<Impl>())
{
}

HttpConnection::~HttpConnection() = default;

bool
HttpConnection::Open(const SocketAddress& aAddress, Clock::time_point aDeadline, HttpOutcome& aFailed)
{
  ErrorCode error;
  const auto endpoint = Resolve(impl_->context_, aAddress, error);
  if (!endpoint) {
    aFailed = FailedOutcome(Verdict::NotRun, Reason::ConnectFailed, aAddress.ip_ + ": " + error.message());
    return false;
  }
  impl_->socket_.async_connect(*endpoint, [&error](const ErrorCode& aError) { error = aError; });
  if (!impl_->RunUntil(aDeadline)) {
    aFailed = FailedOutcome(Verdict::NotRun, Reason::ConnectFailed, "not connected in time");
    return false;
  }
  if (error) {
    aFailed = FailedOutcome(Verdict::NotRun, Reason::ConnectFailed, "cannot connect: " + error.message());
    return false;
  }
  ErrorCode ignored;
  impl_->socket_.set_option(Tcp::no_delay(true), ignored);
  impl_->isReusable_ = true;
  return true;
}

HttpOutcome
HttpConnection::Exchange(const HttpCall& aCall, Clock::time_point aDeadline)
{
  impl_->isReusable_ = false;
  impl_->hasReadAny_ = false;
  const auto request = BuildRequest(aCall);
  ErrorCode error;
  size_t sent = 0;
  http::async_write(impl_->socket_, request, [&](const ErrorCode& aError, size_t aSent) {
    error = aError;
    sent = aSent;
  });
  const bool wroteInTime = impl_->RunUntil(aDeadline);
  if (!wroteInTime || error) {
    if (sent == 0) {
      return FailedOutcome(Verdict::NotRun, Reason::ConnectFailed, "nothing could be sent: " + error.message());
    }
    return wroteInTime ? FailedOutcome(Verdict::MayHaveRun, Reason::ConnectionLost, error.message())
                       : FailedOutcome(Verdict::MayHaveRun, Reason::TimedOut, "request not sent in time");
  }

  Parser parser;
  parser.header_limit(kMaxReplyHeader);
  parser.body_limit(kMaxReplyBody);
  http::async_read(
    impl_->socket_, impl_->buffer_, parser, [&error](const ErrorCode& aError, size_t /*aRead*/) { error = aError; });
  const bool readInTime = impl_->RunUntil(aDeadline);
  impl_->hasReadAny_ = parser.got_some();
  if (!readInTime) {
    return FailedOutcome(Verdict::MayHaveRun, Reason::TimedOut, "no complete reply in time");
  }
  if (error) {
    return FailedOutcome(Verdict::MayHaveRun, Reason::ConnectionLost, error.message());
  }
  impl_->isReusable_ = parser.keep_alive() && impl_->buffer_.size() == 0;
  return CompleteOutcome(parser.release());
}

bool
HttpConnection::HasReadAny() const
{
  return impl_->hasReadAny_;
}

bool
HttpConnection::CanBeReused()
{
  if (!impl_->isReusable_) {
    return false;
  }
  char unexpected = 0;
  ErrorCode error;
  impl_->socket_.non_blocking(true, error);
  impl_->socket_.receive(asio::buffer(&unexpected, 1), Tcp::socket::message_peek, error);
  return error == asio::error::would_block;
}

} // namespace ibisrock::adapters
