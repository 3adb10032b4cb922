#ifndef IBISROCK_PROCESS_UPDATE_QUEUE_H
#define IBISROCK_PROCESS_UPDATE_QUEUE_H

#include "wire/messages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace ibisrock {

/// Gossip updates still to be sent. Holds only the newest update of each subject. Thread-safe.
class UpdateQueue
{
public:
  /// Adds an update in place of a queued one of the same subject. A member or version update older than the queued one
  /// is dropped.
  void Add(const wire::Update& aUpdate);
  /// Returns the updates that were sent least often, at most aMaxBytes in total. Each update is returned aSendLimit
  /// times before it is removed.
  std::vector<wire::Update> Take(size_t aMaxBytes, uint32_t aSendLimit);

private:
  /// Kind of update, and key of the object that it describes.
  using Subject = std::pair<size_t, std::string>;
  struct Entry
  {
    wire::Update update_;
    size_t bytes_ = 0;
    uint32_t sendCount_ = 0;
  };

  static Subject MakeSubject(const wire::Update& aUpdate);

  std::mutex mutex_;
  std::map<Subject, Entry> entries_;
};

} // namespace ibisrock

#endif
