#ifndef IBISROCK_CLI_LOG_LINE_H
#define IBISROCK_CLI_LOG_LINE_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace ibisrock::cli {

/// A line that a process logged, taken apart.
struct LogLine
{
  /// Seconds of the steady clock of the machine that wrote the line; of no meaning on another one.
  double time_ = 0;
  std::string instance_;
  std::string event_;
  /// Lines of the same kind that were left out before this one.
  uint64_t leftOut_ = 0;
  /// All fields, also those above.
  std::map<std::string, std::string, std::less<>> fields_;

  /// Value of a field, or an empty text.
  std::string Field(std::string_view aName) const;
};

/// Reads "name=value" fields; a value with spaces stands in double quotes. Text before the field "t" is passed over, so
/// that lines may have a prefix of the system that collected them. No value for a line without time, instance and
/// event.
std::optional<LogLine>
ParseLogLine(std::string_view aText);

} // namespace ibisrock::cli

#endif
