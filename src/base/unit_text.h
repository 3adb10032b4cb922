#ifndef IBISROCK_BASE_UNIT_TEXT_H
#define IBISROCK_BASE_UNIT_TEXT_H

#include "base/last_reason.h"
#include "base/units.h"

#include <cstdint>
#include <optional>
#include <string>

namespace ibisrock {

/// Reads a whole number without a unit. Returns no value for a sign, a unit or an overflow.
std::optional<uint64_t>
ParseCount(const std::string& aText, LastReason& aReason);

/// Reads a time with the unit us, ms, s or min, for example "3s". Zero needs a unit too.
std::optional<Micros>
ParseTime(const std::string& aText, LastReason& aReason);

/// Reads a size with the unit B, KiB or MiB, for example "64KiB". Returns bytes.
std::optional<uint64_t>
ParseSize(const std::string& aText, LastReason& aReason);

} // namespace ibisrock

#endif
