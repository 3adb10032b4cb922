#include "adapters/header_names.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace ibisrock::adapters {

namespace {

/// Fields of RFC 9110 section 7.6.1, and those that describe the framing, which each connection has of its own.
constexpr std::array<std::string_view, 11> kHopByHop{
  "Connection", "Keep-Alive", "Proxy-Connection",  "Proxy-Authenticate", "TE",    "Proxy-Authorization",
  "Trailer",    "Upgrade",    "Transfer-Encoding", "Content-Length",     "Expect"
};

boost::beast::string_view
ToBeast(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

} // namespace

bool
IsSameName(std::string_view aFirst, std::string_view aSecond)
{
  return boost::beast::iequals(ToBeast(aFirst), ToBeast(aSecond));
}

bool
IsHopByHop(std::string_view aName, std::string_view aConnection)
{
  const bool known = std::any_of(
    kHopByHop.begin(), kHopByHop.end(), [aName](std::string_view aOther) { return IsSameName(aName, aOther); });
  return known || (!aConnection.empty() && boost::beast::http::token_list(ToBeast(aConnection)).exists(ToBeast(aName)));
}

void
AppendField(std::string& aText, std::string_view aName, std::string_view aValue)
{
  aText.append(aName).append(": ").append(aValue).append("\r\n");
}

} // namespace ibisrock::adapters
