#ifndef IBISROCK_PROCESS_STORE_ERAS_H
#define IBISROCK_PROCESS_STORE_ERAS_H

#include "base/store_position.h"

#include <functional>

namespace ibisrock {

/// What an answer is worth by the era that it states.
enum class EraVerdict : uint8_t
{
  Current,
  /// The first answer of a new era.
  New,
  /// The answer belongs to an older era, or states none that can be believed, and tells nothing.
  Disregarded,
};

/// Who states an era.
enum class EraSource : uint8_t
{
  Store,
  /// Another instance, which may know less.
  Relay,
};

/// The newest era of the store that this instance knows, from all answers of the store and of other instances. Not
/// thread-safe.
class StoreEras
{
public:
  using OnNew = std::function<void(StoreEra aPrevious)>;

  /// aOnNew is called within Judge() when a new era is known.
  void SetOnNew(OnNew aOnNew) { onNew_ = std::move(aOnNew); }
  /// Takes the era that an answer states, or none if it states none that can be read. One garbled answer must not
  /// outdate all that follow: an era that is not the next one is believed when a second answer states it before the
  /// store itself has confirmed the known one, and the very first one gives way to any other until a second answer
  /// confirms it.
  EraVerdict Judge(StoreEra aStated, EraSource aSource = EraSource::Store);
  StoreEra Newest() const { return newest_; }
  /// An era that was stated and is not believed yet, or none.
  StoreEra Candidate() const { return candidate_; }
  /// Whether the newest era follows from more than the first answer of all.
  bool IsConfirmed() const { return isConfirmed_; }
  /// Number of answers that were disregarded.
  uint64_t Disregarded() const { return disregarded_; }

private:
  bool IsBelievable(StoreEra aStated) const;

  OnNew onNew_;
  StoreEra newest_;
  bool isConfirmed_ = false;
  StoreEra candidate_;
  uint64_t disregarded_ = 0;
};

} // namespace ibisrock

#endif
