#ifndef IBISROCK_BENCH_CONTROL_REPORT_H
#define IBISROCK_BENCH_CONTROL_REPORT_H

#include "base/units.h"
#include "fakes/control_counter.h"

#include <cstdio>

namespace ibisrock {

inline void
PrintKind(const char* aName, const fakes::KindCount& aKind, double aShare)
{
  if (aKind.count_ > 0) {
    std::printf("  %-14s %9.3f /s %9.1f bytes/s\n",
                aName,
                static_cast<double>(aKind.count_) * aShare,
                static_cast<double>(aKind.bytes_) * aShare);
  }
}

/// Prints the counts for each instance and second, and the suspicions of the fleet for each second.
inline void
PrintControlReport(const fakes::ControlCounter& aCounter, size_t aInstances, Seconds aTime)
{
  using fakes::ControlCounter;
  const auto seconds = static_cast<double>(aTime.count());
  const double share = 1 / (seconds * static_cast<double>(aInstances));
  fakes::KindCount all;
  for (size_t kind = 0; kind < ControlCounter::kMessageKinds; kind++) {
    all.count_ += aCounter.Message(kind).count_;
    all.bytes_ += aCounter.Message(kind).bytes_;
  }
  PrintKind("all messages", all, share);
  for (size_t kind = 0; kind < ControlCounter::kMessageKinds; kind++) {
    PrintKind(ControlCounter::MessageName(kind), aCounter.Message(kind), share);
  }
  std::printf(" updates in them\n");
  for (size_t kind = 0; kind < ControlCounter::kUpdateKinds; kind++) {
    PrintKind(ControlCounter::UpdateName(kind), aCounter.Update(kind), share);
  }
  std::printf(" fleet: suspicions %.3f /s, refutations %.3f /s, deaths %.3f /s\n",
              static_cast<double>(aCounter.Suspicions()) / seconds,
              static_cast<double>(aCounter.Refutations()) / seconds,
              static_cast<double>(aCounter.Deaths()) / seconds);
  std::fflush(stdout);
}

} // namespace ibisrock

#endif
