#ifndef IBISROCK_BASE_RANDOM_H
#define IBISROCK_BASE_RANDOM_H

#include <cstdint>
#include <mutex>
#include <pcg_random.hpp>

namespace ibisrock {

/// Seeded random numbers with the same stream on every machine. Thread-safe.
class Random
{
public:
  explicit Random(uint64_t aSeed)
    : engine_(aSeed)
  {
  }

  /// Uniform in [0, aBound). aBound must not be zero.
  uint32_t Below(uint32_t aBound)
  {
    std::lock_guard lock(mutex_);
    return engine_(aBound);
  }

  /// Uniform in [0, 1).
  double Unit() { return static_cast<double>(Below(1U << 30U)) / static_cast<double>(1U << 30U); }

private:
  std::mutex mutex_;
  pcg32 engine_;
};

} // namespace ibisrock

#endif
