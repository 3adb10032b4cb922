#ifndef IBISROCK_TESTS_RAW_TARGET_H
#define IBISROCK_TESTS_RAW_TARGET_H

#include <functional>
#include <memory>
#include <string>

namespace ibisrock {

/// The target's side of one connection.
class ServedConnection
{
public:
  virtual ~ServedConnection() = default;

  /// Throws when the client has closed the connection.
  virtual void Write(const std::string& aText) = 0;
  /// Reads and counts one whole request. Returns false when the client closed the connection before its end.
  virtual bool ReadRequest() = 0;
};

/// A target on a plain TCP socket that counts the whole requests it reads and answers as the test says.
class RawTarget
{
public:
  /// Acts on one whole request; the connection is closed afterwards.
  using Script = std::function<void(ServedConnection&)>;

  /// Every request must end with this text.
  static constexpr const char* kEndOfBody = "<end>";

  RawTarget(unsigned short aPort, Script aScript);
  ~RawTarget();

  unsigned Seen() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// A listening socket that accepts no connection. With aFull its backlog has no room left for a further one.
class SilentTarget
{
public:
  SilentTarget(unsigned short aPort, bool aFull);
  ~SilentTarget();

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace ibisrock

#endif
