#include "version/sheet_checks.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <string_view>

namespace ibisrock {

namespace {

constexpr uint64_t kMaxPort = 65535;

/// True for the unreserved characters of RFC 3986, which need no escaping in a URL path.
bool
IsUnreserved(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') || (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9') ||
         std::string_view("-._~").find(aCharacter) != std::string_view::npos;
}

} // namespace

std::optional<std::string>
FindNameFault(const std::string& aName)
{
  if (aName.empty()) {
    return "is empty";
  }
  if (aName.size() > kMaxNameLength) {
    return "is longer than " + std::to_string(kMaxNameLength) + " characters";
  }
  if (!std::all_of(aName.begin(), aName.end(), IsUnreserved)) {
    return "contains characters other than letters, digits and -._~";
  }
  if (aName == "." || aName == "..") {
    return "is a relative path";
  }
  return std::nullopt;
}

bool
IsIpAndPort(const std::string& aText)
{
  const size_t colon = aText.find(':');
  if (colon == std::string::npos || !ParseNumber(aText.substr(colon + 1), 1, kMaxPort)) {
    return false;
  }
  in_addr parsed{};
  return inet_pton(AF_INET, aText.substr(0, colon).c_str(), &parsed) == 1;
}

std::optional<uint64_t>
ParseNumber(const std::string& aText, uint64_t aMinimum, uint64_t aMaximum)
{
  uint64_t value = 0;
  const char* last = aText.data() + aText.size();
  const auto [end, error] = std::from_chars(aText.data(), last, value);
  if (error != std::errc() || end != last || value < aMinimum || value > aMaximum) {
    return std::nullopt;
  }
  return value;
}

bool
EqualsExceptShard(const TargetConfig& aLeft, const TargetConfig& aRight)
{
  TargetConfig right = aRight;
  right.shard_ = aLeft.shard_;
  return aLeft == right;
}

} // namespace ibisrock
