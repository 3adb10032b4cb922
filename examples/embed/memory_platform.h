#ifndef IBISROCK_EMBED_MEMORY_PLATFORM_H
#define IBISROCK_EMBED_MEMORY_PLATFORM_H

#include "base/instance_list.h"
#include "base/object_store.h"
#include "base/peer_transport.h"
#include "base/target_client.h"
#include "base/timer_service.h"

#include <functional>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace embed {

/// Delivers each message to the instance in this process that has the address, one millisecond later.
class MemoryTransport : public ibisrock::PeerTransport
{
public:
  using Receiver = std::function<void(std::string_view)>;

  explicit MemoryTransport(ibisrock::TimerService& aTimers)
    : timers_(aTimers)
  {
  }

  void Attach(const ibisrock::PeerAddress& aAddress, Receiver aReceiver)
  {
    receivers_[aAddress] = std::move(aReceiver);
  }
  bool Send(const ibisrock::PeerAddress& aPeer, std::string aBytes) override;

private:
  ibisrock::TimerService& timers_;
  std::map<ibisrock::PeerAddress, Receiver> receivers_;
};

/// Holds objects with their revisions. Calls are answered by a timer, so that no callback runs within a call.
class MemoryStore : public ibisrock::ObjectStore
{
public:
  explicit MemoryStore(ibisrock::TimerService& aTimers)
    : timers_(aTimers)
  {
  }

  void Get(const std::string& aKey, Callback aCallback) override;
  void Put(const std::string& aKey,
           const std::string& aValue,
           ibisrock::StoreRevision aExpected,
           Callback aCallback) override;
  void Watch(const std::string& aKey,
             ibisrock::StoreRevision aAfter,
             ibisrock::Micros aTimeout,
             Callback aCallback) override;

private:
  struct Object
  {
    ibisrock::StoreRevision revision_;
    std::string value_;
  };
  struct Watcher
  {
    uint64_t id_ = 0;
    std::string key_;
    ibisrock::StoreRevision after_;
    Callback callback_;
  };

  ibisrock::StoreResult Read(const std::string& aKey) const;
  void Answer(Callback aCallback, ibisrock::StoreResult aResult);
  void AnswerWatchers();
  void ExpireWatch(uint64_t aId);

  ibisrock::TimerService& timers_;
  std::map<std::string, Object> objects_;
  std::list<Watcher> watchers_;
  ibisrock::StoreRevision lastRevision_;
  uint64_t lastWatch_ = 0;
};

/// A fixed list of instances.
class MemoryInstanceList : public ibisrock::InstanceList
{
public:
  void Add(ibisrock::ListedInstance aInstance) { instances_.push_back(std::move(aInstance)); }
  void Fetch(Callback aCallback) override { aCallback(instances_); }

private:
  std::vector<ibisrock::ListedInstance> instances_;
};

/// Answers every attempt after two milliseconds with one match that names the shard and the target.
class MemoryTargets : public ibisrock::TargetClient
{
public:
  explicit MemoryTargets(ibisrock::TimerService& aTimers)
    : timers_(aTimers)
  {
  }

  void Start(const ibisrock::TargetAttempt& aAttempt, Callback aCallback) override;
  /// Does nothing: every attempt ends by itself.
  void Cancel(const ibisrock::AttemptId& /*aId*/) override {}
  void Probe(const ibisrock::TargetName& aTarget, const ibisrock::TargetAddress& aAddress, Callback aCallback) override;

private:
  ibisrock::TimerService& timers_;
};

} // namespace embed

#endif
