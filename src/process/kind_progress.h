#ifndef IBISROCK_PROCESS_KIND_PROGRESS_H
#define IBISROCK_PROCESS_KIND_PROGRESS_H

#include "base/store_position.h"

namespace ibisrock {

/// Decides what the answers of a source add to what is known of one kind of the store's objects. The source is the
/// store or a relay of it, and may change. Not thread-safe.
class KindProgress
{
public:
  enum class PageVerdict : uint8_t
  {
    Take,
    /// The page belongs to another list than the pages before it; the list must be read from its first page.
    OtherList,
    /// The source knows less than is known here.
    Behind,
  };

  enum class WatchVerdict : uint8_t
  {
    Take,
    /// The changes follow another history than the known one; all objects must be listed.
    OtherEra,
    Behind,
  };

  /// Judges a page of a list by its position.
  PageVerdict OnPage(const StorePosition& aStated, bool aIsFirst);
  /// All pages were taken. Returns whether the list is the first one of an era that follows a known one.
  bool OnListEnd();
  /// Judges the answer of a watch from Known().
  WatchVerdict OnWatchAnswer(const StorePosition& aStated);

  /// Position up to which all changes are known; the default value before the first list.
  const StorePosition& Known() const { return known_; }

private:
  StorePosition known_;
  /// Position of the first page of the list that is being read. The watch starts there, so that changes made between
  /// the pages are not missed.
  StorePosition list_;
};

} // namespace ibisrock

#endif
