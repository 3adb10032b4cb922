#ifndef IBISROCK_TESTS_RAW_TARGET_H
#define IBISROCK_TESTS_RAW_TARGET_H

#include <functional>
#include <memory>
#include <string>

namespace ibisrock {

/// The target's side of one connection.
class TargetConnection
{
public:
  virtual ~TargetConnection() = default;

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
  using Script = std::function<void(TargetConnection&)>;

  /// Every request must end with this text.
  static constexpr const char* kEndOfBody = "<end>";

  RawTarget(unsigned short aPort, Script aScript);
  ~RawTarget();

  unsigned RequestCount() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// A listening socket that accepts no connection. With aHasFullBacklog its backlog has no room left for a further one.
class NonAcceptingTarget
{
public:
  NonAcceptingTarget(unsigned short aPort, bool aHasFullBacklog);
  ~NonAcceptingTarget();

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace ibisrock

#endif
