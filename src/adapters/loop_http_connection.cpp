#include "adapters/loop_http_connection.h"

#include "adapters/header_names.h"
#include "adapters/read_buffer.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <charconv>

namespace ibisrock::adapters {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr uint32_t kLargestHeader = 64 << 10;
/// Bytes that the parser may leave until more have come: a head, or what frames a chunk. The parser has no limit for
/// chunk extensions and trailers, and reads all of it again each time.
constexpr size_t kMostPending = 2 * kLargestHeader;

LoopHttpConnection::ConnectResult
ResultOf(const boost::system::error_code& aError)
{
  using Result = LoopHttpConnection::ConnectResult;
  if (aError == asio::error::connection_reset) {
    return Result::OverLimit;
  }
  if (aError == asio::error::connection_refused) {
    return Result::NoListener;
  }
  using boost::system::errc::errc_t;
  const auto is = [&aError](errc_t aKind) { return aError == boost::system::errc::make_error_condition(aKind); };
  const bool lacksMeans = is(errc_t::too_many_files_open) || is(errc_t::too_many_files_open_in_system) ||
                          is(errc_t::address_not_available) || is(errc_t::no_buffer_space) ||
                          is(errc_t::not_enough_memory);
  return lacksMeans ? Result::NotTried : Result::Failed;
}

/// Reads "timeout=5" of a Keep-Alive field.
std::optional<Micros>
ParseKeepAlive(std::string_view aText)
{
  constexpr std::string_view kName = "timeout=";
  const size_t at = aText.find(kName);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const char* first = aText.data() + at + kName.size();
  unsigned seconds = 0;
  auto [end, error] = std::from_chars(first, aText.data() + aText.size(), seconds);
  if (error != std::errc()) {
    return std::nullopt;
  }
  return Seconds(seconds);
}

} // namespace

std::string_view
ServerReply::Field(std::string_view aName) const
{
  for (const HeaderField& field : fields_) {
    if (IsSameName(field.name_, aName)) {
      return field.value_;
    }
  }
  return {};
}

size_t
ServerReply::Count(std::string_view aName) const
{
  return static_cast<size_t>(std::count_if(
    fields_.begin(), fields_.end(), [aName](const HeaderField& aField) { return IsSameName(aField.name_, aName); }));
}

std::shared_ptr<LoopHttpConnection>
LoopHttpConnection::Create(asio::io_context& aLoop, size_t aMaxReply)
{
  return std::make_shared<LoopHttpConnection>(aLoop, aMaxReply);
}

LoopHttpConnection::LoopHttpConnection(asio::io_context& aLoop, size_t aMaxReply)
  : loop_(aLoop)
  , maxReply_(aMaxReply)
  , socket_(aLoop)
{
}

void
LoopHttpConnection::Connect(const SocketAddress& aAddress, OnConnected aOnConnected)
{
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(aAddress.ip_, error);
  if (error) {
    asio::post(loop_, [onConnected = std::move(aOnConnected)] { onConnected(ConnectResult::Failed); });
    return;
  }
  socket_.async_connect(
    { ip, aAddress.port_ },
    [self = shared_from_this(), onConnected = std::move(aOnConnected)](const boost::system::error_code& aError) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      if (aError) {
        onConnected(ResultOf(aError));
        return;
      }
      boost::system::error_code ignored;
      self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
      self->socket_.non_blocking(true, ignored);
      self->open_ = true;
      self->reusable_ = true;
      self->ReadSome();
      onConnected(ConnectResult::Connected);
    });
}

void
LoopHttpConnection::Exchange(RequestText aRequest, BelongsToRequest aBelongs, OnReply aOnReply)
{
  request_ = std::move(aRequest);
  belongs_ = std::move(aBelongs);
  onReply_ = std::move(aOnReply);
  expectsNoBody_ = request_.expectsNoBody_;
  exchange_++;
  isReplyBroken_ = false;
  interimReplies_ = 0;
  sent_ = true;
  received_ = 0;
  reusable_ = false;
  NewParser();
  static const std::string kEmpty;
  const std::string& body = request_.body_ ? *request_.body_ : kEmpty;
  const std::array<asio::const_buffer, 2> buffers{ asio::buffer(request_.head_), asio::buffer(body) };
  writing_ = true;
  // A failed write does not end the exchange: the server may have answered before, and the reading side sees the loss.
  asio::async_write(socket_, buffers, [self = shared_from_this()](const boost::system::error_code& aError, size_t) {
    self->hasWriteFailed_ = static_cast<bool>(aError);
    self->writing_ = self->hasWriteFailed_;
  });
}

void
LoopHttpConnection::NewParser()
{
  parser_.emplace();
  // The parser stops behind the head, so that the head is checked first. Otherwise it would also reserve the memory for
  // a body of any length before it compares the length with the limit.
  parser_->eager(false);
  parser_->body_limit(maxReply_);
  parser_->header_limit(kLargestHeader);
  parser_->skip(expectsNoBody_);
}

/// Reads into the connection's own buffer. Waiting for readability first would take one more system call for each
/// reply.
void
LoopHttpConnection::ReadSome()
{
  socket_.async_read_some(asio::buffer(readBuffer_),
                          [self = shared_from_this()](const boost::system::error_code& aError, size_t aCount) {
                            if (self->open_) {
                              self->OnRead(aError, aCount);
                            }
                          });
}

/// An exception that a reply causes, for example for lack of memory, ends its exchange only. One of the owner's
/// callback is passed on.
void
LoopHttpConnection::OnRead(const boost::system::error_code& aError, size_t aCount)
{
  auto self = shared_from_this();
  const uint64_t exchange = exchange_;
  try {
    OnBytesOrEnd(aError, aCount);
  } catch (const std::exception& error) {
    const bool isOfReply = onReply_ && exchange_ == exchange;
    RejectReply(error.what());
    if (!isOfReply) {
      throw;
    }
  }
}

void
LoopHttpConnection::OnBytesOrEnd(const boost::system::error_code& aError, size_t aCount)
{
  if (!aError) {
    Take({ readBuffer_.data(), aCount });
    if (open_ && aCount == readBuffer_.size()) {
      ReadRest();
    }
  } else {
    OnEndOfStream(aError);
  }
  if (open_ && !hasEnded_) {
    ReadSome();
  }
}

/// Reads what is left of a large reply in larger pieces, as far as it has arrived.
void
LoopHttpConnection::ReadRest()
{
  const std::span<char> buffer = SharedReadBuffer();
  size_t count = buffer.size();
  while (open_ && count == buffer.size()) {
    boost::system::error_code error;
    count = socket_.read_some(asio::buffer(buffer.data(), buffer.size()), error);
    if (error == asio::error::would_block || error == asio::error::try_again) {
      return;
    }
    if (error) {
      OnEndOfStream(error);
      return;
    }
    Take({ buffer.data(), count });
  }
}

/// Bounds what a server in trouble may send without end, for example interim replies or the extension of a chunk, for
/// which the parser has no limit.
void
LoopHttpConnection::Take(std::string_view aBytes)
{
  received_ += aBytes.size();
  if (received_ > maxReply_ + kLargestHeader) {
    RejectReply("the server sends too much");
    return;
  }
  Consume(aBytes);
}

void
LoopHttpConnection::Consume(std::string_view aBytes)
{
  if (!onReply_) {
    Fail("bytes that nothing asked for");
    return;
  }
  // The parser needs a header in one piece, so an incomplete one is kept until the rest has come.
  std::string joined;
  if (!pending_.empty()) {
    joined = std::move(pending_);
    pending_.clear();
    joined += aBytes;
    aBytes = joined;
  }
  while (!aBytes.empty() && open_ && onReply_) {
    boost::system::error_code error;
    const bool wasInHead = !parser_->is_header_done();
    const size_t taken = parser_->put(asio::buffer(aBytes.data(), aBytes.size()), error);
    const std::string_view lines = aBytes.substr(0, taken);
    aBytes.remove_prefix(taken);
    if (wasInHead && (!error || error == http::error::need_more) && !CheckHead(lines)) {
      return;
    }
    if (error == http::error::need_more) {
      if (aBytes.size() > kMostPending) {
        RejectReply("a part of the reply that is not its body is too large");
        return;
      }
      pending_ = aBytes;
      return;
    }
    if (error) {
      RejectReply(error.message());
      return;
    }
    if (parser_->is_done()) {
      reusable_ = parser_->get().keep_alive();
      pending_ = aBytes;
      OnParsed();
      aBytes = {};
    }
  }
}

bool
LoopHttpConnection::CheckHead(std::string_view aLines)
{
  if (const std::string_view fault = FaultOfHead(*parser_, aLines); !fault.empty()) {
    RejectReply(std::string(fault));
    return false;
  }
  if (parser_->is_header_done()) {
    TakeHead();
  }
  return true;
}

void
LoopHttpConnection::TakeHead()
{
  const auto& head = parser_->get();
  reply_ = {};
  reply_.status_ = head.result_int();
  for (const auto& field : head) {
    reply_.fields_.push_back({ std::string(field.name_string()), std::string(field.value()) });
  }
  parser_->eager(true);
}

/// A socket reports a reset once, and if a write takes it, the next read sees an end of file. The handler of that write
/// may still be queued, so the end is judged behind it.
void
LoopHttpConnection::OnEndOfStream(const boost::system::error_code& aError)
{
  hasEnded_ = true;
  if (aError != asio::error::eof || !writing_) {
    JudgeEndOfStream(aError);
    return;
  }
  asio::post(loop_, [self = shared_from_this(), aError] {
    if (self->open_) {
      self->JudgeEndOfStream(aError);
    }
  });
}

/// Decides how the connection has ended. Only an orderly end completes a reply without a length.
void
LoopHttpConnection::JudgeEndOfStream(const boost::system::error_code& aError)
{
  const bool isOrderly = aError == asio::error::eof && !hasWriteFailed_;
  // Without a first byte the parser would make an empty reply of the close.
  if (isOrderly && onReply_ && parser_ && parser_->got_some()) {
    boost::system::error_code error;
    parser_->put_eof(error);
    if (!error && parser_->is_done()) {
      reusable_ = false;
      OnParsed();
      return;
    }
  }
  Fail(aError == asio::error::eof ? "closed by the server" : aError.message());
}

void
LoopHttpConnection::OnParsed()
{
  if (IsInterim(reply_.status_)) {
    if (++interimReplies_ > kMaxInterimReplies) {
      RejectReply("too many interim replies");
      return;
    }
    std::string rest = std::move(pending_);
    pending_.clear();
    NewParser();
    if (!rest.empty()) {
      Consume(rest);
    }
    return;
  }
  TakeReply();
}

void
LoopHttpConnection::TakeReply()
{
  ServerReply reply = std::move(reply_);
  reply.body_ = std::make_shared<std::string>(std::move(parser_->get().body()));
  parser_.reset();
  keepAliveTime_ = ParseKeepAlive(reply.Field("Keep-Alive"));
  std::string rest = std::move(pending_);
  pending_.clear();
  if (belongs_ && !belongs_(reply)) {
    if (!reusable_) {
      Fail("the only reply belongs to another request");
      return;
    }
    NewParser();
    if (!rest.empty()) {
      Consume(rest);
    }
    return;
  }
  // Bytes after a complete reply belong to no request. A server that has replied before it read the whole request would
  // take the next request for the rest of it.
  const bool keep = reusable_ && rest.empty() && !writing_;
  auto self = shared_from_this();
  OnReply onReply = std::move(onReply_);
  onReply_ = nullptr;
  sent_ = false;
  if (!keep) {
    Close();
  }
  onReply(std::move(reply), {});
}

void
LoopHttpConnection::RejectReply(const std::string& aWhy)
{
  isReplyBroken_ = true;
  Fail(aWhy);
}

void
LoopHttpConnection::Fail(const std::string& aWhy)
{
  auto self = shared_from_this();
  OnReply onReply = std::move(onReply_);
  OnClosed onClosed = std::move(onClosed_);
  Close();
  if (onReply) {
    LastReason reason;
    reason.Set(aWhy);
    onReply(std::nullopt, reason);
  } else if (onClosed) {
    onClosed();
  }
}

void
LoopHttpConnection::Close()
{
  open_ = false;
  reusable_ = false;
  onReply_ = nullptr;
  onClosed_ = nullptr;
  belongs_ = nullptr;
  boost::system::error_code ignored;
  socket_.close(ignored);
}

} // namespace ibisrock::adapters
