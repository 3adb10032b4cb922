#include "process/update_queue.h"

#include "wire/codec.h"

#include <algorithm>

namespace ibisrock {

namespace {

std::string
SubjectKey(const wire::MemberUpdate& aUpdate)
{
  return aUpdate.id_.Value();
}

std::string
SubjectKey(const wire::TargetUpdate& aUpdate)
{
  return aUpdate.target_.Value();
}

std::string
SubjectKey(const wire::CrashUpdate& aUpdate)
{
  return std::to_string(aUpdate.fingerprint_.Value());
}

std::string
SubjectKey(const wire::VersionUpdate& aUpdate)
{
  return aUpdate.object_;
}

/// Returns true if updates of this kind carry their own order and aNew is older than aQueued.
bool
IsStale(const wire::Update& aNew, const wire::Update& aQueued)
{
  if (const auto* member = std::get_if<wire::MemberUpdate>(&aNew)) {
    const auto& queued = std::get<wire::MemberUpdate>(aQueued);
    return std::pair(member->incarnation_, member->state_) < std::pair(queued.incarnation_, queued.state_);
  }
  if (const auto* version = std::get_if<wire::VersionUpdate>(&aNew)) {
    return version->version_ < std::get<wire::VersionUpdate>(aQueued).version_;
  }
  return false;
}

} // namespace

UpdateQueue::Subject
UpdateQueue::MakeSubject(const wire::Update& aUpdate)
{
  return { aUpdate.index(), std::visit([](const auto& aKind) { return SubjectKey(aKind); }, aUpdate) };
}

void
UpdateQueue::Add(const wire::Update& aUpdate)
{
  Entry entry{ aUpdate, wire::EncodedSize(aUpdate), 0 };
  std::lock_guard lock(mutex_);
  auto [found, isNew] = entries_.try_emplace(MakeSubject(aUpdate));
  if (isNew || !IsStale(aUpdate, found->second.update_)) {
    found->second = std::move(entry);
  }
}

std::vector<wire::Update>
UpdateQueue::Take(size_t aMaxBytes, uint32_t aSendLimit)
{
  std::lock_guard lock(mutex_);
  std::vector<std::map<Subject, Entry>::iterator> order;
  for (auto entry = entries_.begin(); entry != entries_.end(); ++entry) {
    order.push_back(entry);
  }
  std::stable_sort(order.begin(), order.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft->second.sendCount_ < aRight->second.sendCount_;
  });
  std::vector<wire::Update> taken;
  size_t bytes = 0;
  for (const auto& entry : order) {
    if (bytes + entry->second.bytes_ > aMaxBytes) {
      continue;
    }
    bytes += entry->second.bytes_;
    taken.push_back(entry->second.update_);
    if (++entry->second.sendCount_ >= aSendLimit) {
      entries_.erase(entry);
    }
  }
  return taken;
}

} // namespace ibisrock
