#include "adapters/reply_head.h"

namespace ibisrock::adapters {

namespace {

namespace http = boost::beast::http;

constexpr unsigned kLowestStatus = 100;
constexpr unsigned kLowestFinalStatus = 200;
constexpr unsigned kHighestStatus = 599;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kHttp10 = 10;

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

/// Whether the body comes in another coding than chunks. The parser leaves all others to its user, and takes the body
/// up to the close.
bool
HasUnknownCoding(const ReplyParser& aParser)
{
  const auto& head = aParser.get();
  const size_t count = head.count(http::field::transfer_encoding);
  if (count == 0) {
    return false;
  }
  return count > 1 || head.version() <= kHttp10 ||
         !boost::beast::iequals(head[http::field::transfer_encoding], "chunked");
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
  if (HasUnknownCoding(aParser)) {
    return "the transfer coding is unknown";
  }
  return {};
}

bool
IsInterim(unsigned aStatus)
{
  return aStatus >= kLowestStatus && aStatus < kLowestFinalStatus;
}

} // namespace ibisrock::adapters
