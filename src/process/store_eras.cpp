#include "process/store_eras.h"

#include <utility>

namespace ibisrock {

EraVerdict
StoreEras::Judge(StoreEra aStated)
{
  if (aStated == newest_) {
    candidate_ = {};
    return EraVerdict::Current;
  }
  if (!IsBelievable(aStated)) {
    candidate_ = aStated > newest_ ? aStated : StoreEra();
    disregarded_++;
    return EraVerdict::Disregarded;
  }
  candidate_ = {};
  const StoreEra previous = std::exchange(newest_, aStated);
  if (onNew_) {
    onNew_(previous);
  }
  return EraVerdict::New;
}

bool
StoreEras::IsBelievable(StoreEra aStated) const
{
  return aStated > newest_ && (newest_.IsNone() || aStated == newest_.Next() || aStated == candidate_);
}

} // namespace ibisrock
