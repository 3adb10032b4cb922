#include "base/unit_text.h"

#include <charconv>
#include <limits>
#include <span>

namespace ibisrock {

namespace {

struct Unit
{
  const char* name_;
  uint64_t factor_;
};

constexpr Unit kNoUnit[] = { { "", 1 } };
constexpr Unit kTimeUnits[] = { { "us", 1 }, { "ms", 1000 }, { "s", 1000000 }, { "min", 60000000 } };
constexpr Unit kSizeUnits[] = { { "B", 1 }, { "KiB", 1024 }, { "MiB", 1024 * 1024 } };

/// Largest result, so that it also fits the signed count of Micros.
constexpr uint64_t kLargest = std::numeric_limits<int64_t>::max();

/// Reads a number and one of the units, and returns their product. aExpected describes the accepted form.
std::optional<uint64_t>
ParseWithUnit(const std::string& aText, std::span<const Unit> aUnits, const char* aExpected, LastReason& aReason)
{
  if (aText.starts_with('-')) {
    aReason.Set("is below zero");
    return std::nullopt;
  }
  uint64_t number = 0;
  const char* last = aText.data() + aText.size();
  auto [end, error] = std::from_chars(aText.data(), last, number);
  if (error == std::errc::result_out_of_range) {
    aReason.Set("is too large");
    return std::nullopt;
  }
  const std::string suffix(end, last);
  for (const Unit& unit : aUnits) {
    if (error != std::errc() || suffix != unit.name_) {
      continue;
    }
    if (number > kLargest / unit.factor_) {
      aReason.Set("is too large");
      return std::nullopt;
    }
    return number * unit.factor_;
  }
  aReason.Set(std::string("is not ") + aExpected);
  return std::nullopt;
}

} // namespace

std::optional<uint64_t>
ParseCount(const std::string& aText, LastReason& aReason)
{
  return ParseWithUnit(aText, kNoUnit, "a whole number", aReason);
}

std::optional<Micros>
ParseTime(const std::string& aText, LastReason& aReason)
{
  auto time = ParseWithUnit(aText, kTimeUnits, "a whole number with the unit us, ms, s or min", aReason);
  return time ? std::optional(Micros(*time)) : std::nullopt;
}

std::optional<uint64_t>
ParseSize(const std::string& aText, LastReason& aReason)
{
  return ParseWithUnit(aText, kSizeUnits, "a whole number with the unit B, KiB or MiB", aReason);
}

} // namespace ibisrock
