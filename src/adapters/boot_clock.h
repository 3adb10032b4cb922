#ifndef IBISROCK_ADAPTERS_BOOT_CLOCK_H
#define IBISROCK_ADAPTERS_BOOT_CLOCK_H

#include "base/units.h"

namespace ibisrock::adapters {

/// Time since the start of the machine, with the time in which it was suspended.
Micros
TimeSinceBoot();

} // namespace ibisrock::adapters

#endif
