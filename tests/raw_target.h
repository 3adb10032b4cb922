#ifndef IBISROCK_TESTS_RAW_TARGET_H
#define IBISROCK_TESTS_RAW_TARGET_H

#include <functional>
#include <memory>
#include <string>

namespace ibisrock {

/// Server side of one accepted connection.
class TargetConnection
{
public:
  virtual ~TargetConnection() = default;

  /// Writes the whole text. Throws when the client has closed the connection.
  virtual void Write(const std::string& aText) = 0;
  /// Reads and counts one complete request. Returns false when the client closed the connection before its end.
  virtual bool ReadRequest() = 0;
};

/// A target on a plain TCP socket. It counts the complete requests that it reads and runs the test's script for each.
class RawTarget
{
public:
  /// Handles one complete request; the connection is closed afterwards.
  using Script = std::function<void(TargetConnection&)>;

  /// Terminator of every request; the socket reads up to it and does not parse HTTP.
  static constexpr const char* kEndOfBody = "<end>";

  RawTarget(unsigned short aPort, Script aScript);
  ~RawTarget();

  /// Number of complete requests read so far.
  unsigned RequestCount() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// A listening socket that never calls accept(). With aHasFullBacklog, its backlog is full and further connects wait.
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
