#ifndef IBISROCK_BASE_VERDICT_H
#define IBISROCK_BASE_VERDICT_H

#include <cstdint>
#include <string_view>

namespace ibisrock {

/// What is known of whether a request or an attempt was run by a target.
enum class Verdict : uint8_t
{
  /// A complete reply was received.
  Ran,
  /// Positive knowledge that no target ran it: it was never sent, or the target refused it with its not-run mark.
  NotRun,
  /// Anything else. A lost connection, a time-out or a cancelled attempt ends here.
  MayHaveRun,
};

/// Why a request or an attempt did not give a complete answer.
enum class Reason : uint8_t
{
  None,
  OverLimit,
  Overloaded,
  Draining,
  Warming,
  VersionNotHeld,
  Expired,
  ConnectFailed,
  ConnectionLost,
  TargetError,
  TimedOut,
  Cancelled,
  CrashSuspect,
  StoreUnavailable,
  KeyConflict,
  KeyInProgress,
  UnknownService,
  NotReady,
  NoReplica,
  OwnerUnreachable,
  NotOwner,
  Malformed,
};

/// Verdict of a request made of two parts. A part that may have run decides; otherwise a part that ran does.
Verdict
Combine(Verdict aFirst, Verdict aSecond);

/// Stable text, used in HTTP headers and metrics labels: "ran", "not-run", "may-have-run".
std::string_view
ToString(Verdict aVerdict);

/// Stable text with hyphens, for example "version-not-held".
std::string_view
ToString(Reason aReason);

/// Inverse of ToString. Returns Reason::None for an unknown text.
Reason
ReasonFromString(std::string_view aText);

} // namespace ibisrock

#endif
