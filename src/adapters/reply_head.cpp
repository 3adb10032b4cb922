#include "adapters/reply_head.h"

namespace ibisrock::adapters {

namespace {

constexpr unsigned kLowestStatus = 100;
constexpr unsigned kLowestFinalStatus = 200;
constexpr unsigned kHighestStatus = 599;
constexpr unsigned kSwitchingProtocols = 101;

} // namespace

std::string_view
FaultOfHead(const ReplyParser& aParser)
{
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
