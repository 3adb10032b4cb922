#include "adapters/reply_head.h"

namespace ibisrock::adapters {

namespace {

constexpr unsigned kLowestStatus = 100;
constexpr unsigned kLowestFinalStatus = 200;
constexpr unsigned kHighestStatus = 599;
constexpr unsigned kSwitchingProtocols = 101;

/// Whether a line begins with a blank. The parser joins it to the line before: the name in it is lost, and the value
/// before it changed.
bool
HasFoldedLine(std::string_view aLines)
{
  bool isLineStart = true;
  for (const char next : aLines) {
    if (isLineStart && (next == ' ' || next == '\t')) {
      return true;
    }
    isLineStart = next == '\n';
  }
  return false;
}

} // namespace

std::string_view
FaultOfHead(const ReplyParser& aParser, std::string_view aLines)
{
  if (HasFoldedLine(aLines)) {
    return "a line of the head begins with a blank";
  }
  if (!aParser.is_header_done()) {
    return {};
  }
  const unsigned status = aParser.get().result_int();
  if (status < kLowestStatus || status > kHighestStatus) {
    return "the status is none of HTTP";
  }
  if (status == kSwitchingProtocols) {
    return "nothing asked for another protocol";
  }
  return {};
}

bool
IsInterim(unsigned aStatus)
{
  return aStatus >= kLowestStatus && aStatus < kLowestFinalStatus;
}

} // namespace ibisrock::adapters
