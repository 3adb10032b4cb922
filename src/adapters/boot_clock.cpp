#include "adapters/boot_clock.h"

#include <ctime>

namespace ibisrock::adapters {

Micros
TimeSinceBoot()
{
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return std::chrono::duration_cast<Micros>(Seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace ibisrock::adapters
