#ifndef IBISROCK_BASE_LOG_SINK_H
#define IBISROCK_BASE_LOG_SINK_H

#include <string>

namespace ibisrock {

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error,
};

/// Receives the log lines of the library. Calls may come from any thread.
class LogSink
{
public:
  virtual ~LogSink() = default;

  /// Writes one line. aComponent is the fixed prefix of the part that writes it. No lock of the library is held.
  virtual void Write(LogLevel aLevel, const char* aComponent, const std::string& aText) = 0;
};

} // namespace ibisrock

#endif
