#ifndef IBISROCK_ADAPTERS_CALLER_CONNECTION_H
#define IBISROCK_ADAPTERS_CALLER_CONNECTION_H

#include "adapters/caller_server.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace ibisrock::adapters {

/// One connection of a caller: one request at a time. Reads also while a request is served, to notice that the caller
/// has left.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
  CallerConnection(CallerServer& aServer, boost::asio::ip::tcp::socket aSocket);

  void Start();
  void CheckTimeouts();
  /// No request has begun.
  bool IsIdle() const { return state_ == State::Reading && pending_.empty() && !parserHasBytes_; }
  /// No request has begun, and none has arrived that was not read yet.
  bool CanBeClosed() const;
  /// Closes at once and lets the handler know if it still works on a request.
  void Close();
  /// Closes without telling the server, which is being destroyed.
  void Detach();

private:
  enum class State : uint8_t
  {
    Reading,
    Serving,
    Writing,
    /// The last reply is written; the caller's close is awaited, because a reset could destroy the reply on its way.
    Lingering,
    Closed,
  };
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  void WaitReadable();
  void OnReadable();
  void NewParser();
  void Consume(std::string_view aBytes);
  void OnParseError(const boost::system::error_code& aError, std::string_view aHeader);
  void OnRequest();
  std::shared_ptr<CallerRequest> TakeRequest();
  bool IsAmbiguous() const;
  void ReplyToFault(RequestFault aFault);
  void Reply(const CallerReply& aReply);
  std::string FormatHead(const CallerReply& aReply) const;
  void Write(std::string aHead, std::shared_ptr<const std::string> aBody);
  void OnWritten(bool aIsComplete);
  void ContinueExpected();

  CallerServer& server_;
  boost::asio::ip::tcp::socket socket_;
  State state_ = State::Reading;
  std::optional<Parser> parser_;
  bool parserHasBytes_ = false;
  bool continued_ = false;
  /// Bytes read beyond the present request, or of an incomplete header.
  std::string pending_;
  TimePoint stateSince_;
  bool isFirst_ = true;
  bool closeAfterReply_ = false;
  bool isHead_ = false;
  std::string requestId_;
  std::string peer_;
  uint64_t requestNumber_ = 0;
  CallerServer::OnLeft onLeft_;
  std::string head_;
  std::shared_ptr<const std::string> body_;
};

} // namespace ibisrock::adapters

#endif
