#include "base/verdict.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace ibisrock {

namespace {

constexpr std::array<std::string_view, 3> kVerdictTexts = { "ran", "not-run", "may-have-run" };

constexpr std::array<std::string_view, 22> kReasonTexts = {
  "none",          "over-limit",        "overloaded",      "draining",        "warming",         "version-not-held",
  "expired",       "connect-failed",    "connection-lost", "target-error",    "timed-out",       "cancelled",
  "crash-suspect", "store-unavailable", "key-conflict",    "key-in-progress", "unknown-service", "not-ready",
  "no-replica",    "owner-unreachable", "not-owner",       "malformed",
};

static_assert(kReasonTexts.size() == static_cast<size_t>(Reason::Malformed) + 1);

} // namespace

Verdict
Combine(Verdict aFirst, Verdict aSecond)
{
  if (aFirst == Verdict::MayHaveRun || aSecond == Verdict::MayHaveRun) {
    return Verdict::MayHaveRun;
  }
  return aFirst == Verdict::Ran || aSecond == Verdict::Ran ? Verdict::Ran : Verdict::NotRun;
}

std::string_view
ToString(Verdict aVerdict)
{
  return kVerdictTexts.at(static_cast<size_t>(aVerdict));
}

std::string_view
ToString(Reason aReason)
{
  return kReasonTexts.at(static_cast<size_t>(aReason));
}

Reason
ReasonFromString(std::string_view aText)
{
  const auto* found = std::find(kReasonTexts.begin(), kReasonTexts.end(), aText);
  return found == kReasonTexts.end() ? Reason::None : static_cast<Reason>(std::distance(kReasonTexts.begin(), found));
}

} // namespace ibisrock
