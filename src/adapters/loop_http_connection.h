#ifndef IBISROCK_ADAPTERS_LOOP_HTTP_CONNECTION_H
#define IBISROCK_ADAPTERS_LOOP_HTTP_CONNECTION_H

#include "adapters/reply_head.h"
#include "adapters/socket_address.h"
#include "base/http_message.h"
#include "base/last_reason.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace ibisrock::adapters {

/// A complete reply of a server.
struct ServerReply
{
  unsigned status_ = 0;
  /// All fields as they came.
  std::vector<HeaderField> fields_;
  std::shared_ptr<const std::string> body_;

  /// Value of a field, or an empty text.
  std::string_view Field(std::string_view aName) const;
  /// How often a field occurs.
  size_t Count(std::string_view aName) const;
};

/// Text of a request. The head ends with an empty line.
struct RequestText
{
  std::string head_;
  std::shared_ptr<const std::string> body_;
  bool expectsNoBody_ = false;
};

/// One HTTP connection to a server on an event loop. Sends each request at most once, and reads all the time, so that a
/// close by the server is noticed at once. No time-outs of its own: its owner calls Close. Used on one thread.
class LoopHttpConnection : public std::enable_shared_from_this<LoopHttpConnection>
{
public:
  enum class ConnectResult : uint8_t
  {
    Connected,
    /// The server is there and closed the connection at once, because it has as many as it takes.
    OverLimit,
    /// The host is there, and nothing listens on the port.
    NoListener,
    /// This process has no means for a further connection, so the server was not asked.
    NotTried,
    Failed,
  };

  using OnConnected = std::function<void(ConnectResult aResult)>;
  /// Receives the reply, or no value and why the connection was lost.
  using OnReply = std::function<void(std::optional<ServerReply>, const LastReason&)>;
  /// Tells whether a reply belongs to the request. One that does not is dropped, and the next one is read.
  using BelongsToRequest = std::function<bool(const ServerReply&)>;
  using OnClosed = std::function<void()>;

  /// Bytes that may arrive for one request, with interim replies and replies to other requests. A list of the platform
  /// has up to a megabyte a page, and a list of a relay has all objects.
  static constexpr size_t kMaxReply = 16 << 20;

  /// The connection is closed when more than aMaxReply bytes arrive for one request.
  static std::shared_ptr<LoopHttpConnection> Create(boost::asio::io_context& aLoop, size_t aMaxReply = kMaxReply);
  LoopHttpConnection(boost::asio::io_context& aLoop, size_t aMaxReply);

  void Connect(const SocketAddress& aAddress, OnConnected aOnConnected);
  /// Sends a request. The connection must be connected and idle.
  void Exchange(RequestText aRequest, BelongsToRequest aBelongs, OnReply aOnReply);
  /// Called when an idle connection was closed by the server or got bytes that nothing asked for.
  void SetOnClosed(OnClosed aOnClosed) { onClosed_ = std::move(aOnClosed); }
  /// Closes without any further callback.
  void Close();

  bool IsOpen() const { return open_; }
  /// Whether another request may be sent: the last reply was complete and kept the connection.
  bool CanBeReused() const { return open_ && !onReply_ && reusable_; }
  /// Whether a request was written, at least in part, on the open connection since the last reply.
  bool HasSent() const { return sent_; }
  /// Whether the last exchange ended because of what the server sent, and not because the connection was lost.
  bool IsReplyBroken() const { return isReplyBroken_; }
  /// Time that the server keeps the idle connection, if it said so.
  std::optional<Micros> KeepAliveTime() const { return keepAliveTime_; }

private:
  void ReadSome();
  void OnRead(const boost::system::error_code& aError, size_t aCount);
  void OnBytesOrEnd(const boost::system::error_code& aError, size_t aCount);
  void ReadRest();
  void Take(std::string_view aBytes);
  void Consume(std::string_view aBytes);
  /// Checks lines that the parser has taken of a head. Returns false after it has ended the exchange.
  bool CheckHead(std::string_view aLines);
  void TakeHead();
  void OnEndOfStream(const boost::system::error_code& aError);
  void JudgeEndOfStream(const boost::system::error_code& aError);
  void OnParsed();
  void TakeReply();
  void NewParser();
  /// Fails because of what the server has sent.
  void RejectReply(const std::string& aWhy);
  void Fail(const std::string& aWhy);

  boost::asio::io_context& loop_;
  const size_t maxReply_;
  /// Bytes that have arrived since the request.
  size_t received_ = 0;
  boost::asio::ip::tcp::socket socket_;
  bool open_ = false;
  bool reusable_ = false;
  bool sent_ = false;
  bool writing_ = false;
  /// A write has failed, so that the end of the stream may be a reset that was reported to the write.
  bool hasWriteFailed_ = false;
  /// The stream has ended, so that nothing more is read.
  bool hasEnded_ = false;
  bool expectsNoBody_ = false;
  bool isReplyBroken_ = false;
  unsigned interimReplies_ = 0;
  RequestText request_;
  /// Number of the exchange, by which an exception is told from one of a later exchange.
  uint64_t exchange_ = 0;
  std::optional<ReplyParser> parser_;
  /// The reply that is being read. Its fields are those of the head; trailers are dropped.
  ServerReply reply_;
  /// Holds a part of a gathered answer with its header, which is the usual reply.
  std::array<char, 2048> readBuffer_{};
  /// Bytes that the parser has not taken yet, because a header is incomplete.
  std::string pending_;
  std::optional<Micros> keepAliveTime_;
  BelongsToRequest belongs_;
  OnReply onReply_;
  OnClosed onClosed_;
};

} // namespace ibisrock::adapters

#endif
