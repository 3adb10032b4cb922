#ifndef IBISROCK_TESTS_LINE_SINK_H
#define IBISROCK_TESTS_LINE_SINK_H

#include "base/log_sink.h"

#include <algorithm>
#include <string>
#include <vector>

namespace ibisrock {

/// Keeps the log lines with their prefixes.
class LineSink : public LogSink
{
public:
  void Write(LogLevel /*aLevel*/, const char* aComponent, const std::string& aText) override
  {
    lines_.push_back(std::string(aComponent) + ": " + aText);
  }
  /// Lines that contain the text.
  auto Count(const std::string& aText) const
  {
    return std::count_if(lines_.begin(), lines_.end(), [&aText](const std::string& aLine) {
      return aLine.find(aText) != std::string::npos;
    });
  }

  std::vector<std::string> lines_;
};

} // namespace ibisrock

#endif
