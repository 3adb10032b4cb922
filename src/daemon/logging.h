#ifndef IBISROCK_DAEMON_LOGGING_H
#define IBISROCK_DAEMON_LOGGING_H

#include "base/log_sink.h"

namespace ibisrock::daemon {

/// Sends the log to the standard output only, and drops lines below aLevel: debug, info, warning or error.
void
ConfigureLogs(const std::string& aLevel);

/// Writes the library's log lines with easylogging++.
class EasyloggingSink : public LogSink
{
public:
  void Write(LogLevel aLevel, const char* aComponent, const std::string& aText) override;
};

} // namespace ibisrock::daemon

#endif
