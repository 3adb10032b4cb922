#include "cli/log_line.h"

#include <algorithm>
#include <charconv>

namespace ibisrock::cli {

namespace {

/// Takes the next field off the text: a word without spaces, whose value may be quoted.
std::string_view
TakeField(std::string_view& aText)
{
  aText.remove_prefix(std::min(aText.find_first_not_of(' '), aText.size()));
  bool isQuoted = false;
  size_t end = 0;
  while (end < aText.size() && (isQuoted || aText[end] != ' ')) {
    isQuoted = isQuoted != (aText[end] == '"');
    end++;
  }
  const std::string_view field = aText.substr(0, end);
  aText.remove_prefix(end);
  return field;
}

std::string_view
Unquote(std::string_view aText)
{
  const bool isQuoted = aText.size() >= 2 && aText.front() == '"' && aText.back() == '"';
  return isQuoted ? aText.substr(1, aText.size() - 2) : aText;
}

/// The number in "(12 more since the last such line)" at the end of a line, or 0.
uint64_t
ParseLeftOut(std::string_view aText)
{
  constexpr std::string_view kEnd = " more since the last such line)";
  const size_t open = aText.rfind('(');
  uint64_t number = 0;
  if (aText.ends_with(kEnd) && open != std::string_view::npos) {
    std::from_chars(aText.data() + open + 1, aText.data() + aText.size(), number);
  }
  return number;
}

} // namespace

std::string
LogLine::Field(std::string_view aName) const
{
  auto found = fields_.find(aName);
  return found == fields_.end() ? "" : found->second;
}

std::optional<LogLine>
ParseLogLine(std::string_view aText)
{
  const size_t begin = aText.starts_with("t=") ? 0 : aText.find(" t=");
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  aText.remove_prefix(begin);
  if (!aText.empty() && aText.back() == '\r') {
    aText.remove_suffix(1);
  }
  LogLine line;
  line.leftOut_ = ParseLeftOut(aText);
  while (!aText.empty()) {
    const std::string_view field = TakeField(aText);
    const size_t equals = field.find('=');
    if (equals != std::string_view::npos) {
      line.fields_.emplace(field.substr(0, equals), Unquote(field.substr(equals + 1)));
    }
  }
  const std::string time = line.Field("t");
  const auto [end, error] = std::from_chars(time.data(), time.data() + time.size(), line.time_);
  line.instance_ = line.Field("instance");
  line.event_ = line.Field("event");
  if (error != std::errc() || line.instance_.empty() || line.event_.empty()) {
    return std::nullopt;
  }
  return line;
}

} // namespace ibisrock::cli
