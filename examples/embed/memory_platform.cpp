#include "memory_platform.h"

namespace embed {

using namespace ibisrock;

namespace {

constexpr Micros kDelay = Millis(1);
constexpr Micros kTargetTime = Millis(2);

} // namespace

bool
MemoryTransport::Send(const PeerAddress& aPeer, std::string aBytes)
{
  auto found = receivers_.find(aPeer);
  if (found == receivers_.end()) {
    return false;
  }
  timers_.After(kDelay, [&receiver = found->second, bytes = std::move(aBytes)] { receiver(bytes); });
  return true;
}

StoreResult
MemoryStore::Read(const std::string& aKey) const
{
  auto found = objects_.find(aKey);
  if (found == objects_.end()) {
    return { StoreOutcome::NotFound, {}, {} };
  }
  return { StoreOutcome::Ok, found->second.revision_, found->second.value_ };
}

void
MemoryStore::Answer(Callback aCallback, StoreResult aResult)
{
  timers_.After(kDelay, [callback = std::move(aCallback), result = std::move(aResult)] { callback(result); });
}

void
MemoryStore::Get(const std::string& aKey, Callback aCallback)
{
  Answer(std::move(aCallback), Read(aKey));
}

void
MemoryStore::Put(const std::string& aKey, const std::string& aValue, StoreRevision aExpected, Callback aCallback)
{
  const StoreResult current = Read(aKey);
  if (current.revision_ != aExpected) {
    Answer(std::move(aCallback), { StoreOutcome::Conflict, current.revision_, {} });
    return;
  }
  lastRevision_ = lastRevision_.Next();
  objects_[aKey] = { lastRevision_, aValue };
  Answer(std::move(aCallback), { StoreOutcome::Ok, lastRevision_, {} });
  AnswerWatchers();
}

void
MemoryStore::Watch(const std::string& aKey, StoreRevision aAfter, Micros aTimeout, Callback aCallback)
{
  const uint64_t id = ++lastWatch_;
  watchers_.push_back({ id, aKey, aAfter, std::move(aCallback) });
  timers_.After(aTimeout, [this, id] { ExpireWatch(id); });
  AnswerWatchers();
}

void
MemoryStore::AnswerWatchers()
{
  watchers_.remove_if([this](const Watcher& aWatcher) {
    const StoreResult current = Read(aWatcher.key_);
    const bool isNewer = current.outcome_ == StoreOutcome::Ok && current.revision_ > aWatcher.after_;
    if (isNewer) {
      Answer(aWatcher.callback_, current);
    }
    return isNewer;
  });
}

void
MemoryStore::ExpireWatch(uint64_t aId)
{
  watchers_.remove_if([this, aId](const Watcher& aWatcher) {
    if (aWatcher.id_ == aId) {
      Answer(aWatcher.callback_, { StoreOutcome::NotFound, {}, {} });
    }
    return aWatcher.id_ == aId;
  });
}

void
MemoryTargets::Start(const TargetAttempt& aAttempt, Callback aCallback)
{
  TargetReply reply;
  reply.verdict_ = Verdict::Ran;
  reply.version_ = aAttempt.version_;
  reply.held_ = { aAttempt.version_ };
  reply.state_ = TargetState::Ready;
  reply.matches_ = { { aAttempt.shard_.Value() + "-1", aAttempt.body_ + " on " + aAttempt.target_.Value() } };
  timers_.After(kTargetTime, [callback = std::move(aCallback), reply = std::move(reply)] { callback(reply); });
}

void
MemoryTargets::Probe(const TargetName& /*aTarget*/, const TargetAddress& /*aAddress*/, Callback aCallback)
{
  TargetReply reply;
  reply.verdict_ = Verdict::Ran;
  reply.state_ = TargetState::Ready;
  timers_.After(kTargetTime, [callback = std::move(aCallback), reply = std::move(reply)] { callback(reply); });
}

} // namespace embed
