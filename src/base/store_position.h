#ifndef IBISROCK_BASE_STORE_POSITION_H
#define IBISROCK_BASE_STORE_POSITION_H

#include "base/ids.h"

namespace ibisrock {

/// Counts the returns of the store from an older copy of itself. None if the store does not tell it.
using StoreEra = NumberId<struct StoreEraTag>;

/// A position in the history of the store. A revision has a meaning only within its era, because the store gives
/// revisions out again after each return from an older copy.
struct StorePosition
{
  StoreEra era_;
  StoreRevision revision_;

  auto operator<=>(const StorePosition&) const = default;
};

/// Text form used in logs: "era/revision".
std::string
ToString(const StorePosition& aPosition);

} // namespace ibisrock

#endif
