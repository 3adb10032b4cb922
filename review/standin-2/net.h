#ifndef IBISROCK_REVIEW_STANDIN_2_NET_H
#define IBISROCK_REVIEW_STANDIN_2_NET_H

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace standin {

using Field = std::pair<std::string, std::string>;

/// A request or an answer of HTTP/1.1.
struct Message
{
  std::string start_;
  std::vector<Field> fields_;
  std::string body_;

  /// Empty if the field is not there.
  std::string Get(const std::string& aName) const;
  int Status() const;
  std::string Method() const;
  std::string Target() const;
  std::string Text() const;
};

Message
MakeAnswer(int aStatus, std::vector<Field> aFields, std::string aBody);

/// A connection over which whole messages are read and written. It is closed by the destructor.
class Stream
{
public:
  explicit Stream(int aSocket);
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;
  Stream(Stream&&) = delete;
  Stream& operator=(Stream&&) = delete;
  ~Stream();

  /// Returns a connection to a port on loopback, or one that is not open.
  static int Connect(uint16_t aPort);

  bool IsOpen() const;
  bool Send(const std::string& aBytes);

  /// Returns nothing if the other side ends or resets the connection, sends something else, or the time is over.
  std::optional<Message> Read(int aTimeoutMs);

  /// Whether there are bytes to read, or the end of the connection, before the time is over.
  bool WaitForBytes(int aTimeoutMs) const;
  bool HasUnreadBytes() const;
  void Close();

  /// Ends the connection with a reset.
  void Reset();

private:
  bool Fill(int64_t aUntilMs);
  bool ReadBody(Message& aMessage, int64_t aUntilMs);
  bool ReadChunks(Message& aMessage, int64_t aUntilMs);
  std::optional<std::string> TakeLine(int64_t aUntilMs);

  int socket_;
  std::string buffer_;
};

/// Accepts connections on a free port on loopback, each served by a thread of its own until the process ends.
class Listener
{
public:
  using Serve = std::function<void(Stream&)>;

  explicit Listener(Serve aServe);
  uint16_t Port() const;

private:
  uint16_t port_ = 0;
};

/// Returns a port on loopback that nobody listens on.
uint16_t
FreePort();

int64_t
NowMs();
void
SleepMs(int64_t aMs);

} // namespace standin

#endif
