#include "fakes/fake_store.h"

#include <utility>
#include <vector>

namespace ibisrock::fakes {

void
FakeStore::SetFaults(const StoreFaults& aFaults)
{
  std::lock_guard lock(mutex_);
  faults_ = aFaults;
}

StoreCalls
FakeStore::Calls() const
{
  std::lock_guard lock(mutex_);
  return calls_;
}

std::vector<std::string>
FakeStore::Keys(const std::string& aPrefix) const
{
  std::lock_guard lock(mutex_);
  std::vector<std::string> keys;
  for (const auto& [key, versions] : objects_) {
    if (key.starts_with(aPrefix)) {
      keys.push_back(key);
    }
  }
  return keys;
}

/// Newest version that is at least aLag old. Needs the lock.
StoreResult
FakeStore::Read(const std::string& aKey, Micros aLag) const
{
  auto found = objects_.find(aKey);
  if (found == objects_.end()) {
    return { StoreOutcome::NotFound, {}, {} };
  }
  const TimePoint limit = timers_.Now() - aLag;
  for (auto version = found->second.rbegin(); version != found->second.rend(); ++version) {
    if (version->writtenAt_ <= limit) {
      return { StoreOutcome::Ok, version->revision_, version->value_ };
    }
  }
  return { StoreOutcome::NotFound, {}, {} };
}

/// Needs the lock.
StoreResult
FakeStore::Write(const std::string& aKey, const std::string& aValue, StoreRevision aExpected)
{
  const StoreResult current = Read(aKey, Micros::zero());
  if (current.revision_ != aExpected) {
    return { StoreOutcome::Conflict, current.revision_, {} };
  }
  const StoreRevision revision(++lastRevision_);
  objects_[aKey].push_back({ revision, aValue, timers_.Now() });
  return { StoreOutcome::Ok, revision, {} };
}

void
FakeStore::Answer(Callback aCallback, StoreResult aResult)
{
  Micros latency;
  {
    std::lock_guard lock(mutex_);
    latency = faults_.latency_;
  }
  timers_.After(latency, [callback = std::move(aCallback), result = std::move(aResult)] { callback(result); });
}

void
FakeStore::Get(const std::string& aKey, Callback aCallback)
{
  StoreResult result;
  {
    std::lock_guard lock(mutex_);
    calls_.gets_++;
    if (!faults_.outage_) {
      result = Read(aKey, faults_.readLag_);
    }
  }
  Answer(std::move(aCallback), std::move(result));
}

void
FakeStore::Put(const std::string& aKey, const std::string& aValue, StoreRevision aExpected, Callback aCallback)
{
  StoreResult result;
  {
    std::lock_guard lock(mutex_);
    calls_.puts_++;
    if (!faults_.outage_) {
      const bool canLose = aKey.starts_with(faults_.lostPrefix_);
      if (canLose && faults_.lostRequests_ > 0) {
        faults_.lostRequests_--;
        result = { StoreOutcome::Unknown, {}, {} };
      } else {
        result = Write(aKey, aValue, aExpected);
        if (canLose && faults_.lostAnswers_ > 0) {
          faults_.lostAnswers_--;
          result = { StoreOutcome::Unknown, {}, {} };
        }
      }
    }
  }
  Answer(std::move(aCallback), std::move(result));
  AnswerWatchers(aKey);
}

void
FakeStore::Watch(const std::string& aKey, StoreRevision aAfter, Micros aTimeout, Callback aCallback)
{
  uint64_t id = 0;
  {
    std::lock_guard lock(mutex_);
    calls_.watches_++;
    if (!faults_.outage_) {
      id = ++lastWatch_;
      watchers_.push_back({ id, aKey, aAfter, aCallback });
    }
  }
  if (id == 0) {
    Answer(std::move(aCallback), {});
    return;
  }
  timers_.After(aTimeout, [this, id] { ExpireWatch(id); });
  AnswerWatchers(aKey);
}

void
FakeStore::AnswerWatchers(const std::string& aKey)
{
  std::vector<std::pair<Callback, StoreResult>> answers;
  {
    std::lock_guard lock(mutex_);
    const StoreResult current = Read(aKey, Micros::zero());
    for (auto watcher = watchers_.begin(); watcher != watchers_.end();) {
      if (watcher->key_ == aKey && current.outcome_ == StoreOutcome::Ok && current.revision_ > watcher->after_) {
        answers.emplace_back(std::move(watcher->callback_), current);
        watcher = watchers_.erase(watcher);
      } else {
        ++watcher;
      }
    }
  }
  for (auto& [callback, result] : answers) {
    Answer(std::move(callback), std::move(result));
  }
}

void
FakeStore::ExpireWatch(uint64_t aId)
{
  Callback callback;
  {
    std::lock_guard lock(mutex_);
    for (auto watcher = watchers_.begin(); watcher != watchers_.end(); ++watcher) {
      if (watcher->id_ == aId) {
        callback = std::move(watcher->callback_);
        watchers_.erase(watcher);
        break;
      }
    }
  }
  if (callback) {
    callback({ StoreOutcome::NotFound, {}, {} });
  }
}

} // namespace ibisrock::fakes
