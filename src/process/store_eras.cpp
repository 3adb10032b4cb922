#include "process/store_eras.h"

#include <utility>

namespace ibisrock {

EraVerdict
StoreEras::Judge(StoreEra aStated, EraSource aSource)
{
  if (aStated == newest_) {
    // A relay that has not heard of a newer era contradicts nothing.
    if (aSource == EraSource::Store) {
      candidate_ = {};
    }
    isConfirmed_ = true;
    return EraVerdict::Current;
  }
  if (!IsBelievable(aStated)) {
    if (aStated > newest_ || aSource == EraSource::Store) {
      candidate_ = aStated > newest_ ? aStated : StoreEra();
    }
    disregarded_++;
    return EraVerdict::Disregarded;
  }
  candidate_ = {};
  const StoreEra previous = std::exchange(newest_, aStated);
  isConfirmed_ = !previous.IsNone() && newest_ > previous;
  if (onNew_) {
    onNew_(previous);
  }
  return EraVerdict::New;
}

bool
StoreEras::IsBelievable(StoreEra aStated) const
{
  if (aStated.IsNone()) {
    return false;
  }
  const bool isExpected = newest_.IsNone() || aStated == newest_.Next() || aStated == candidate_;
  return !isConfirmed_ || (aStated > newest_ && isExpected);
}

} // namespace ibisrock
