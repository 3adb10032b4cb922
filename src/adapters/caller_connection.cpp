#include "adapters/caller_connection.h"

#include "adapters/read_buffer.h"
#include "request/error_reply.h"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <cstdio>

namespace ibisrock::adapters {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Bytes of further requests that are read while one is served.
constexpr size_t kMostPending = 64 << 10;
/// Time that a caller gets to close after the last reply.
constexpr Micros kLingerTime = Seconds(1);
/// Longest time that a caller may ask for; it keeps sums of times in range.
constexpr int64_t kLongestWaitMs = 3'600'000;

std::optional<Micros>
ParseMillis(std::string_view aText)
{
  int64_t millis = 0;
  auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), millis);
  if (error != std::errc() || millis < 0) {
    return std::nullopt;
  }
  return Millis(std::min(millis, kLongestWaitMs));
}

std::string
FormatSeconds(Micros aTime)
{
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(aTime).count());
  return text.data();
}

/// Whether a header states a length that is a number, but one that the parser cannot hold.
bool
StatesHugeLength(std::string_view aHeader)
{
  constexpr size_t kMostDigits = 18;
  while (!aHeader.empty()) {
    const std::string_view line = aHeader.substr(0, aHeader.find("\r\n"));
    aHeader.remove_prefix(std::min(line.size() + 2, aHeader.size()));
    const size_t colon = line.find(':');
    if (colon == std::string_view::npos || !IsSameName(line.substr(0, colon), "Content-Length")) {
      continue;
    }
    const std::string_view value = line.substr(std::min(line.find_first_not_of(' ', colon + 1), line.size()));
    return value.size() > kMostDigits && value.find_first_not_of("0123456789") == std::string_view::npos;
  }
  return false;
}

std::string_view
ToStd(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

} // namespace

CallerConnection::CallerConnection(CallerServer& aServer, asio::ip::tcp::socket aSocket)
  : server_(aServer)
  , socket_(std::move(aSocket))
  , stateSince_(aServer.timers_.Now())
{
}

void
CallerConnection::Start()
{
  boost::system::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  const auto peer = socket_.remote_endpoint(ignored);
  peer_ = peer.address().to_string(ignored) + ':' + std::to_string(peer.port());
  NewParser();
  WaitReadable();
}

void
CallerConnection::NewParser()
{
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(static_cast<uint32_t>(server_.limits_.maxHeader_));
  parser_->body_limit(server_.limits_.maxBody_);
  parserHasBytes_ = false;
  continued_ = false;
}

void
CallerConnection::WaitReadable()
{
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](const boost::system::error_code& aError) {
                       if (!aError && self->state_ != State::Closed) {
                         self->OnReadable();
                       }
                     });
}

void
CallerConnection::OnReadable()
{
  boost::system::error_code error;
  const std::span<char> buffer = SharedReadBuffer();
  const size_t count = socket_.read_some(asio::buffer(buffer.data(), buffer.size()), error);
  if (error == asio::error::would_block || error == asio::error::try_again) {
    WaitReadable();
    return;
  }
  if (error) {
    Close();
    return;
  }
  const std::string_view bytes(buffer.data(), count);
  if (state_ == State::Reading) {
    if (IsIdle()) {
      stateSince_ = server_.timers_.Now();
    }
    Consume(bytes);
  } else if (state_ != State::Lingering) {
    pending_ += bytes;
  }
  if (state_ != State::Closed && pending_.size() < kMostPending) {
    WaitReadable();
  }
}

void
CallerConnection::Consume(std::string_view aBytes)
{
  std::string joined;
  if (!pending_.empty()) {
    joined = std::move(pending_);
    pending_.clear();
    joined += aBytes;
    aBytes = joined;
  }
  while (!aBytes.empty() && state_ == State::Reading) {
    boost::system::error_code error;
    const size_t taken = parser_->put(asio::buffer(aBytes.data(), aBytes.size()), error);
    aBytes.remove_prefix(taken);
    parserHasBytes_ = parserHasBytes_ || taken > 0;
    if (error == http::error::need_more) {
      break;
    }
    if (error) {
      OnParseError(error, aBytes);
      return;
    }
    if (parser_->is_done()) {
      pending_ = aBytes;
      OnRequest();
      return;
    }
  }
  pending_ += aBytes;
  ContinueExpected();
}

/// A caller that sent "Expect: 100-continue" waits for permission to send its body.
void
CallerConnection::ContinueExpected()
{
  if (state_ != State::Reading || continued_ || !parser_->is_header_done()) {
    return;
  }
  if (!boost::beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
    return;
  }
  continued_ = true;
  static const std::string kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  asio::async_write(
    socket_, asio::buffer(kContinue), [self = shared_from_this()](const boost::system::error_code&, size_t) {});
}

void
CallerConnection::OnParseError(const boost::system::error_code& aError, std::string_view aHeader)
{
  if (aError == http::error::header_limit) {
    ReplyToFault(RequestFault::HeaderTooLarge);
  } else if (aError == http::error::body_limit ||
             (aError == http::error::bad_content_length && StatesHugeLength(aHeader))) {
    ReplyToFault(RequestFault::BodyTooLarge);
  } else {
    ReplyToFault(RequestFault::Malformed);
  }
}

/// Refuses a request that cannot be forwarded; what follows on the connection cannot be trusted.
void
CallerConnection::ReplyToFault(RequestFault aFault)
{
  closeAfterReply_ = true;
  requestId_.clear();
  state_ = State::Serving;
  Reply(server_.settings_.makeFaultReply_(aFault));
}

/// Whether the framing or the destination of a request is ambiguous.
bool
CallerConnection::IsAmbiguous() const
{
  const auto& message = parser_->get();
  return message.count(http::field::host) > 1 ||
         (message.count(http::field::transfer_encoding) > 0 && !parser_->chunked()) || message.target().empty() ||
         message.target().front() != '/';
}

void
CallerConnection::OnRequest()
{
  if (IsAmbiguous()) {
    ReplyToFault(RequestFault::Malformed);
    return;
  }
  closeAfterReply_ = !parser_->get().keep_alive();
  auto request = TakeRequest();
  requestId_ = request->id_;
  isHead_ = request->method_ == "HEAD";
  state_ = State::Serving;
  stateSince_ = server_.timers_.Now();
  const uint64_t number = ++requestNumber_;
  auto onLeft = server_.handler_(std::move(request), [self = shared_from_this(), number](const CallerReply& aReply) {
    if (self->state_ == State::Serving && self->requestNumber_ == number) {
      self->Reply(aReply);
    }
  });
  if (state_ == State::Serving && requestNumber_ == number) {
    onLeft_ = std::move(onLeft);
  }
}

std::shared_ptr<CallerRequest>
CallerConnection::TakeRequest()
{
  const bool isChunked = parser_->chunked();
  auto message = parser_->release();
  parser_.reset();
  auto request = std::make_shared<CallerRequest>();
  request->method_ = ToStd(message.method_string());
  request->target_ = ToStd(message.target());
  request->receivedAt_ = server_.timers_.Now();
  request->isFirstOnConnection_ = isFirst_;
  request->isChunked_ = isChunked;
  request->peer_ = peer_;
  isFirst_ = false;
  const std::string connection(ToStd(message[http::field::connection]));
  for (const auto& field : message) {
    const std::string_view name = ToStd(field.name_string());
    const std::string_view value = ToStd(field.value());
    if (field.name() == http::field::host) {
      request->host_ = value;
    } else if (IsSameName(name, server_.settings_.names_.requestId_)) {
      request->id_ = value;
    } else if (IsSameName(name, server_.settings_.names_.timeLeft_)) {
      request->timeLeft_ = ParseMillis(value);
    } else if (!IsSameName(name, server_.settings_.names_.expectedTarget_) && !IsHopByHop(name, connection)) {
      request->fields_.push_back({ std::string(name), std::string(value) });
    }
  }
  request->body_ = std::make_shared<std::string>(std::move(message.body()));
  return request;
}

void
CallerConnection::Reply(const CallerReply& aReply)
{
  onLeft_ = nullptr;
  closeAfterReply_ = closeAfterReply_ || aReply.closes_ || server_.draining_;
  std::string head = FormatHead(aReply);
  Write(std::move(head), isHead_ ? nullptr : aReply.body_);
}

std::string
CallerConnection::FormatHead(const CallerReply& aReply) const
{
  std::string head = "HTTP/1.1 " + std::to_string(aReply.status_) + ' ';
  head += std::string(ToStd(http::obsolete_reason(http::int_to_status(aReply.status_)))) + "\r\n";
  bool hasId = false;
  for (const HeaderField& field : aReply.fields_) {
    hasId = hasId || IsSameName(field.name_, server_.settings_.names_.requestId_);
    AppendField(head, field.name_, field.value_);
  }
  if (!hasId && !requestId_.empty()) {
    AppendField(head, server_.settings_.names_.requestId_, requestId_);
  }
  if (!aReply.stamps_.empty()) {
    std::string stamps;
    for (const std::string& stamp : aReply.stamps_) {
      stamps += (stamps.empty() ? "" : ", ") + stamp;
    }
    AppendField(head, server_.settings_.names_.partStamps_, stamps);
    AppendField(head, server_.settings_.names_.missingShards_, std::to_string(aReply.missingShards_));
  }
  if (aReply.retryAfter_) {
    AppendField(head, "Retry-After", FormatSeconds(*aReply.retryAfter_));
  }
  if (aReply.status_ != 204 && aReply.status_ != 304) {
    AppendField(head, "Content-Length", std::to_string(aReply.body_ ? aReply.body_->size() : 0));
  }
  if (closeAfterReply_) {
    AppendField(head, "Connection", "close");
  }
  return head + "\r\n";
}

void
CallerConnection::Write(std::string aHead, std::shared_ptr<const std::string> aBody)
{
  state_ = State::Writing;
  stateSince_ = server_.timers_.Now();
  head_ = std::move(aHead);
  body_ = aBody ? std::move(aBody) : std::make_shared<std::string>();
  const std::array<asio::const_buffer, 2> buffers{ asio::buffer(head_), asio::buffer(*body_) };
  asio::async_write(socket_, buffers, [self = shared_from_this()](const boost::system::error_code& aError, size_t) {
    self->OnWritten(!aError);
  });
}

void
CallerConnection::OnWritten(bool aIsComplete)
{
  if (state_ == State::Closed) {
    return;
  }
  if (!aIsComplete) {
    Close();
    return;
  }
  body_.reset();
  stateSince_ = server_.timers_.Now();
  if (closeAfterReply_) {
    state_ = State::Lingering;
    boost::system::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    return;
  }
  const bool wasFull = pending_.size() >= kMostPending;
  state_ = State::Reading;
  NewParser();
  if (!pending_.empty()) {
    std::string pending = std::move(pending_);
    pending_.clear();
    Consume(pending);
  }
  if (wasFull && state_ != State::Closed) {
    WaitReadable();
  }
}

bool
CallerConnection::CanBeClosed() const
{
  boost::system::error_code ignored;
  return IsIdle() && socket_.available(ignored) == 0;
}

void
CallerConnection::CheckTimeouts()
{
  const Micros elapsed = server_.timers_.Now() - stateSince_;
  if (state_ == State::Lingering && elapsed > kLingerTime) {
    Close();
  } else if (state_ == State::Reading && IsIdle()) {
    if (elapsed > server_.limits_.idleTimeout_ && CanBeClosed()) {
      Close();
    }
  } else if (state_ == State::Reading) {
    const Micros limit = parser_->is_header_done() ? server_.limits_.bodyTimeout_ : server_.limits_.headerTimeout_;
    if (elapsed > limit) {
      ReplyToFault(RequestFault::TooSlow);
    }
  }
}

void
CallerConnection::Close()
{
  auto self = shared_from_this();
  auto onLeft = std::move(onLeft_);
  Detach();
  server_.connections_.erase(self);
  if (onLeft) {
    onLeft();
  }
}

void
CallerConnection::Detach()
{
  state_ = State::Closed;
  onLeft_ = nullptr;
  boost::system::error_code ignored;
  socket_.close(ignored);
}

} // namespace ibisrock::adapters
