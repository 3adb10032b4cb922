#include "base/store_position.h"

namespace ibisrock {

std::string
ToString(const StorePosition& aPosition)
{
  return std::to_string(aPosition.era_.Value()) + '/' + std::to_string(aPosition.revision_.Value());
}

} // namespace ibisrock
