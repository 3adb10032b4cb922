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

/// Gossip updates that still have to be sent, the newest one for each subject. Thread-safe.
class UpdateQueue
{
public:
  /// Replaces an earlier update of the same subject. A member or version update that is older than the queued one is
  /// dropped.
  void Add(const wire::Update& aUpdate);
  /// The updates that were sent least often, at most aMaxBytes together. Each is returned aSendLimit times in all.
  std::vector<wire::Update> Take(size_t aMaxBytes, uint32_t aSendLimit);

private:
  /// Kind of update and what it is about.
  using Subject = std::pair<size_t, std::string>;
  struct Entry
  {
    wire::Update update_;
    size_t bytes_ = 0;
    uint32_t sends_ = 0;
  };

  static Subject SubjectOf(const wire::Update& aUpdate);

  std::mutex mutex_;
  std::map<Subject, Entry> entries_;
};

} // namespace ibisrock

#endif
