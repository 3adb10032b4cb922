#ifndef IBISROCK_PROCESS_RUN_COUNTERS_H
#define IBISROCK_PROCESS_RUN_COUNTERS_H

#include <atomic>
#include <cstdint>

namespace ibisrock {

/// Totals over all runs of one service since the start of the process.
struct RunCounters
{
  /// All attempts, including hedges, retries and the attempts of restarted runs.
  std::atomic<uint64_t> attempts_{ 0 };
  std::atomic<uint64_t> hedges_{ 0 };
  std::atomic<uint64_t> retries_{ 0 };
  std::atomic<uint64_t> cancelled_{ 0 };
  std::atomic<uint64_t> restarts_{ 0 };
};

/// Name and member of each counter, for code that exports all of them.
struct RunCounterField
{
  const char* name_;
  std::atomic<uint64_t> RunCounters::*value_;
};

inline constexpr RunCounterField kRunCounterFields[] = { { "attempts", &RunCounters::attempts_ },
                                                         { "hedges", &RunCounters::hedges_ },
                                                         { "retries", &RunCounters::retries_ },
                                                         { "cancelled", &RunCounters::cancelled_ },
                                                         { "restarts", &RunCounters::restarts_ } };

} // namespace ibisrock

#endif
