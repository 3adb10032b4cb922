#include "daemon/logging.h"

#include <easylogging++.h>
#include <utility>

INITIALIZE_EASYLOGGINGPP

namespace ibisrock::daemon {

void
ConfigureLogs(const std::string& aLevel)
{
  constexpr std::pair<const char*, el::Level> kLevels[] = { { "debug", el::Level::Debug },
                                                            { "info", el::Level::Info },
                                                            { "warning", el::Level::Warning },
                                                            { "error", el::Level::Error } };
  el::Configurations configurations;
  configurations.setGlobally(el::ConfigurationType::ToFile, "false");
  // Each level is set in both directions, because a configuration is merged into the one before.
  bool enabled = false;
  for (const auto& [name, level] : kLevels) {
    enabled = enabled || name == aLevel;
    configurations.set(level, el::ConfigurationType::Enabled, enabled ? "true" : "false");
  }
  el::Loggers::reconfigureAllLoggers(configurations);
}

void
EasyloggingSink::Write(LogLevel aLevel, const char* aComponent, const std::string& aText)
{
  switch (aLevel) {
    case LogLevel::Debug:
      LOG(DEBUG) << aComponent << ": " << aText;
      break;
    case LogLevel::Info:
      LOG(INFO) << aComponent << ": " << aText;
      break;
    case LogLevel::Warning:
      LOG(WARNING) << aComponent << ": " << aText;
      break;
    case LogLevel::Error:
      LOG(ERROR) << aComponent << ": " << aText;
      break;
  }
}

} // namespace ibisrock::daemon
