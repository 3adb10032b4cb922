#include "adapters/http_connection.h"

#include "adapters/reply_head.h"
#include "adapters/socket_address.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/beast/http.hpp>

namespace ibisrock::adapters {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr uint32_t kMaxReplyHeader = 64 * 1024;
/// Bytes that the parser has not taken yet: a head, or what frames a chunk.
constexpr size_t kMaxUnparsed = 2 * kMaxReplyHeader;

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

/// The outcome as far as the head of a reply tells it.
HttpOutcome
OutcomeOfHead(const ReplyParser& aParser)
{
  HttpOutcome outcome;
  outcome.verdict_ = Verdict::Ran;
  outcome.status_ = aParser.get().result_int();
  for (const auto& field : aParser.get()) {
    const std::string name(field.name_string());
    if (!outcome.headers_.insert_or_assign(name, std::string(field.value())).second) {
      outcome.repeated_.insert(name);
    }
  }
  return outcome;
}

/// Whether an error is one of the bytes of a reply, and not of the connection or its end.
bool
IsOfReply(const ErrorCode& aError)
{
  return aError == asio::error::not_found ||
         (aError.category() == http::make_error_code(http::error::need_more).category() &&
          aError != http::error::end_of_stream && aError != http::error::partial_message);
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

  HttpOutcome ReadReply(uint64_t aMaxBody, Clock::time_point aDeadline);
  bool ReadHead(ReplyParser& aParser, uint64_t aMaxBody, Clock::time_point aDeadline, HttpOutcome& aFailed);
  bool ReadBody(ReplyParser& aParser, Clock::time_point aDeadline, HttpOutcome& aFailed);
  bool HasArrived(bool aIsInTime, const ErrorCode& aError, HttpOutcome& aFailed) const;

  asio::io_context context_{ 1 };
  Tcp::socket socket_{ context_ };
  asio::streambuf buffer_{ kMaxUnparsed };
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

  try {
    return impl_->ReadReply(aCall.maxReply_, aDeadline);
  } catch (const std::exception& failure) {
    // For example, memory is short. The connection is not used again.
    return FailedOutcome(Verdict::MayHaveRun, Reason::TargetError, failure.what());
  }
}

/// Reads the final reply. What comes before it is no answer, and must not be left for the next request.
HttpOutcome
HttpConnection::Impl::ReadReply(uint64_t aMaxBody, Clock::time_point aDeadline)
{
  HttpOutcome failed;
  for (unsigned i = 0; i <= kMaxInterimReplies; i++) {
    ReplyParser parser;
    if (!ReadHead(parser, aMaxBody, aDeadline, failed)) {
      return failed;
    }
    if (IsInterim(parser.get().result_int())) {
      continue;
    }
    HttpOutcome outcome = OutcomeOfHead(parser);
    if (!parser.is_done() && !ReadBody(parser, aDeadline, failed)) {
      return failed;
    }
    isReusable_ = parser.keep_alive() && buffer_.size() == 0;
    outcome.body_ = std::move(parser.get().body());
    return outcome;
  }
  return FailedOutcome(Verdict::MayHaveRun, Reason::TargetError, "too many interim replies");
}

/// Returns false and tells why if the head does not come, or is none.
bool
HttpConnection::Impl::ReadHead(ReplyParser& aParser,
                               uint64_t aMaxBody,
                               Clock::time_point aDeadline,
                               HttpOutcome& aFailed)
{
  ErrorCode error;
  size_t size = 0;
  asio::async_read_until(socket_, buffer_, "\r\n\r\n", [&](const ErrorCode& aError, size_t aSize) {
    error = aError;
    size = aSize;
  });
  const bool isInTime = RunUntil(aDeadline);
  hasReadAny_ = hasReadAny_ || buffer_.size() > 0;
  if (!HasArrived(isInTime, error, aFailed)) {
    return false;
  }
  const std::string_view text(static_cast<const char*>(buffer_.data().data()), size);
  aParser.header_limit(kMaxReplyHeader);
  aParser.body_limit(aMaxBody);
  // The parser stops behind the head, so that it does not reserve the memory for a body of any length.
  aParser.eager(false);
  const size_t taken = aParser.put(asio::buffer(text.data(), text.size()), error);
  std::string fault = error ? error.message() : std::string(FaultOfHead(aParser, text));
  if (fault.empty() && !aParser.is_header_done()) {
    fault = "the head is incomplete";
  }
  buffer_.consume(taken);
  if (!fault.empty()) {
    aFailed = FailedOutcome(Verdict::MayHaveRun, Reason::TargetError, fault);
  }
  return fault.empty();
}

/// Returns false and tells why if the body does not come.
bool
HttpConnection::Impl::ReadBody(ReplyParser& aParser, Clock::time_point aDeadline, HttpOutcome& aFailed)
{
  ErrorCode error;
  http::async_read(socket_, buffer_, aParser, [&error](const ErrorCode& aError, size_t /*aRead*/) { error = aError; });
  const bool isInTime = RunUntil(aDeadline);
  return HasArrived(isInTime, error, aFailed);
}

bool
HttpConnection::Impl::HasArrived(bool aIsInTime, const ErrorCode& aError, HttpOutcome& aFailed) const
{
  if (!aIsInTime) {
    aFailed = FailedOutcome(Verdict::MayHaveRun, Reason::TimedOut, "no complete reply in time");
  } else if (aError) {
    aFailed = FailedOutcome(
      Verdict::MayHaveRun, IsOfReply(aError) ? Reason::TargetError : Reason::ConnectionLost, aError.message());
  }
  return aIsInTime && !aError;
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
