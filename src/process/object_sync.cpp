#include "process/object_sync.h"

#include "process/watchers.h"

#include <algorithm>
#include <utility>

namespace ibisrock {

namespace {

constexpr Micros kWatchTimeout = Seconds(30);
constexpr Micros kTickPeriod = Seconds(1);
/// Duration of the startup query of peers for higher versions, and the interval at which it is repeated.
constexpr Micros kPeerQueryTime = Seconds(1);
constexpr Micros kPeerQueryPeriod = Millis(200);
/// Peers queried at startup. The sample is large enough to include a peer with the newest version, even while a change
/// is still propagating.
constexpr size_t kQueriedPeers = 16;
/// After this time a starting instance becomes ready with the version it has, even if the fetch of a higher version has
/// not completed.
constexpr Micros kStartupFetchTimeout = Seconds(5);
/// An instance that receives no message from peers for this long reads the store directly.
constexpr Micros kPeerSilenceTimeout = Seconds(5);
/// Maximum random delay of these reads, so that isolated instances do not call the store at the same time.
constexpr uint32_t kStoreReadJitterMicros = 2'000'000;
/// Maximum total size of the values in one reply; a single larger value is sent alone.
constexpr size_t kMaxReplyBytes = 256 * 1024;

} // namespace

ObjectSync::ObjectSync(InstanceIdentity aSelf,
                       Environment aEnvironment,
                       const Membership& aMembership,
                       Gossip& aGossip,
                       SendToPeer aSend)
  : self_(std::move(aSelf))
  , environment_(aEnvironment)
  , membership_(aMembership)
  , gossip_(aGossip)
  , send_(std::move(aSend))
  , log_(aEnvironment.timers_, aEnvironment.logs_, "config", 3, 1)
{
}

/// Runs a step under the lock, then executes the calls that it deferred.
void
ObjectSync::RunLocked(const LockedStep& aStep)
{
  DeferredCalls calls;
  {
    std::lock_guard lock(mutex_);
    aStep(calls);
  }
  for (const auto& call : calls) {
    call();
  }
}

void
ObjectSync::Add(const std::string& aKey, ObjectHandler aHandler)
{
  RunLocked([&](DeferredCalls& aCalls) {
    const auto [added, isNew] = objects_.try_emplace(aKey);
    if (!isNew) {
      return;
    }
    added->second.handler_ = std::move(aHandler);
    if (isStarted_ && environment_.timers_.Now() < startedAt_ + kStartupFetchTimeout) {
      ReadStore(aKey, aCalls);
    }
  });
}

void
ObjectSync::Start()
{
  RunLocked([this](DeferredCalls& aCalls) {
    isStarted_ = true;
    startedAt_ = lastPeerMessageAt_ = environment_.timers_.Now();
    for (const auto& [key, object] : objects_) {
      ReadStore(key, aCalls);
    }
  });
  QueryPeers();
  Tick();
}

bool
ObjectSync::IsReady(const std::string& aKey, LastReason& aReason) const
{
  std::lock_guard lock(mutex_);
  if (isReady_) {
    return true;
  }
  auto found = objects_.find(aKey);
  if (found == objects_.end() || found->second.version_ == 0) {
    aReason.Set("no version of " + aKey + " has been read from the object API or a peer");
    return false;
  }
  if (!peerQueryDone_) {
    aReason.Set("peers are being asked for a higher version of " + aKey);
    return false;
  }
  if (found->second.fetch_ && environment_.timers_.Now() < startedAt_ + kStartupFetchTimeout) {
    aReason.Set("version " + std::to_string(found->second.fetch_->version_) + " of " + aKey + " is being fetched");
    return false;
  }
  isReady_ = true;
  return true;
}

SyncCounters
ObjectSync::Counters() const
{
  std::lock_guard lock(mutex_);
  return counters_;
}

size_t
ObjectSync::PartCount() const
{
  std::lock_guard lock(mutex_);
  return parts_.size();
}

/// Periodic task: renews watches, exchanges version digests with one random peer, and reads the store if no peer has
/// sent a message recently or no version is known.
void
ObjectSync::Tick()
{
  RunLocked([this](DeferredCalls& aCalls) {
    StartWatches(aCalls);
    for (const PeerAddress& peer : RandomPeers(1)) {
      Send(peer, MakeDigest(true), aCalls);
    }
    ReadStoreIfIsolated(aCalls);
  });
  environment_.timers_.After(kTickPeriod, [this] { Tick(); });
}

/// Queries a sample of the known peers for higher versions until all have replied or kPeerQueryTime has elapsed.
void
ObjectSync::QueryPeers()
{
  bool again = false;
  RunLocked([&](DeferredCalls& aCalls) {
    if (environment_.timers_.Now() >= startedAt_ + kPeerQueryTime) {
      peerQueryDone_ = true;
    }
    if (peerQueryDone_) {
      return;
    }
    again = true;
    if (answeredPeers_.empty() && pendingPeers_.empty()) {
      const auto peers = RandomPeers(kQueriedPeers);
      pendingPeers_.insert(peers.begin(), peers.end());
    }
    for (const PeerAddress& peer : pendingPeers_) {
      Send(peer, MakeDigest(true), aCalls);
    }
  });
  if (again) {
    environment_.timers_.After(kPeerQueryPeriod, [this] { QueryPeers(); });
  }
}

void
ObjectSync::ReadStoreIfIsolated(DeferredCalls& aCalls)
{
  const TimePoint now = environment_.timers_.Now();
  const bool isSilent = now - lastPeerMessageAt_ >= kPeerSilenceTimeout;
  if (isSilent) {
    lastPeerMessageAt_ = now;
  }
  const bool hasNoVersion =
    std::all_of(objects_.begin(), objects_.end(), [](const auto& aObject) { return aObject.second.version_ == 0; });
  for (const auto& [key, object] : objects_) {
    if (hasNoVersion && !object.isWatching_) {
      ReadStore(key, aCalls);
    } else if (isSilent && !object.isWatching_) {
      const Micros delay(environment_.random_.Below(kStoreReadJitterMicros));
      aCalls.emplace_back([this, key = key, delay] {
        environment_.timers_.After(
          delay, [this, key] { RunLocked([&](DeferredCalls& aLaterCalls) { ReadStore(key, aLaterCalls); }); });
      });
    }
  }
}

void
ObjectSync::StartWatches(DeferredCalls& aCalls)
{
  const auto view = membership_.View();
  for (auto& [key, object] : objects_) {
    if (!object.isWatching_ && IsWatcher(*view, self_.id_, key)) {
      Watch(key, object, aCalls);
    }
  }
}

void
ObjectSync::Watch(const std::string& aKey, Object& aObject, DeferredCalls& aCalls)
{
  aObject.isWatching_ = true;
  aCalls.emplace_back([this, aKey, after = aObject.watchedRevision_] {
    environment_.store_.Watch(
      aKey, after, kWatchTimeout, [this, aKey](const StoreResult& aResult) { OnWatched(aKey, aResult); });
  });
}

/// Handles the result of a watch and renews the watch. After a failure, the next tick renews it.
void
ObjectSync::OnWatched(const std::string& aKey, const StoreResult& aResult)
{
  RunLocked([&](DeferredCalls& aCalls) {
    Object& object = objects_.at(aKey);
    object.isWatching_ = false;
    if (aResult.outcome_ == StoreOutcome::Ok) {
      object.watchedRevision_ = std::max(object.watchedRevision_, aResult.revision_);
      OnObjectText(aKey, aResult.value_, PeerAddress(), aCalls);
    }
    const bool failed = aResult.outcome_ != StoreOutcome::Ok && aResult.outcome_ != StoreOutcome::NotFound;
    if (!failed && IsWatcher(*membership_.View(), self_.id_, aKey)) {
      Watch(aKey, object, aCalls);
    }
  });
}

void
ObjectSync::ReadStore(const std::string& aKey, DeferredCalls& aCalls)
{
  aCalls.emplace_back([this, aKey] {
    environment_.store_.Get(aKey, [this, aKey](const StoreResult& aResult) {
      if (aResult.outcome_ == StoreOutcome::Ok) {
        RunLocked([&](DeferredCalls& aLaterCalls) { OnObjectText(aKey, aResult.value_, PeerAddress(), aLaterCalls); });
      }
    });
  });
}

wire::ConfigDigest
ObjectSync::MakeDigest(bool aIsQuestion) const
{
  wire::ConfigDigest digest;
  digest.isQuestion_ = aIsQuestion;
  for (const auto& [key, object] : objects_) {
    if (object.version_ > 0) {
      digest.objects_.push_back({ key, object.version_, object.hash_ });
    }
  }
  return digest;
}

std::vector<PeerAddress>
ObjectSync::RandomPeers(size_t aCount) const
{
  std::vector<PeerAddress> peers;
  for (const Member& member : membership_.View()->members_) {
    if (member.id_ != self_.id_) {
      peers.push_back(member.address_);
    }
  }
  const size_t count = std::min(aCount, peers.size());
  for (size_t index = 0; index < count; index++) {
    const size_t other = index + environment_.random_.Below(static_cast<uint32_t>(peers.size() - index));
    std::swap(peers[index], peers[other]);
  }
  peers.resize(count);
  return peers;
}

void
ObjectSync::Send(const PeerAddress& aPeer, wire::Body aBody, DeferredCalls& aCalls) const
{
  aCalls.emplace_back([this, aPeer, body = std::move(aBody)] { send_(aPeer, body); });
}

void
ObjectSync::OnUpdate(const wire::VersionUpdate& aUpdate)
{
  RunLocked([&](DeferredCalls& aCalls) {
    lastPeerMessageAt_ = environment_.timers_.Now();
    FetchIfNewer(aUpdate.object_, aUpdate.version_, aUpdate.holder_, aCalls);
  });
}

/// Fetches the objects of which the sender has a newer version. If the digest is a question, replies with the objects
/// of which this instance has a newer version.
void
ObjectSync::OnDigest(const PeerAddress& aFrom, const wire::ConfigDigest& aDigest)
{
  RunLocked([&](DeferredCalls& aCalls) {
    lastPeerMessageAt_ = environment_.timers_.Now();
    wire::ConfigDigest answer = MakeDigest(false);
    for (const wire::ObjectVersion& theirs : aDigest.objects_) {
      auto found = objects_.find(theirs.object_);
      if (found == objects_.end()) {
        continue;
      }
      const Object& ours = found->second;
      if (ours.version_ == theirs.version_ && ours.hash_ != theirs.hash_) {
        RejectConflicting(theirs.object_, theirs.version_, theirs.hash_, aCalls);
      }
      FetchIfNewer(theirs.object_, theirs.version_, aFrom, aCalls);
      std::erase_if(answer.objects_, [&theirs](const wire::ObjectVersion& aOurs) {
        return aOurs.object_ == theirs.object_ && aOurs.version_ <= theirs.version_;
      });
    }
    if (aDigest.isQuestion_) {
      Send(aFrom, std::move(answer), aCalls);
    } else if (pendingPeers_.erase(aFrom) > 0) {
      answeredPeers_.insert(aFrom);
      peerQueryDone_ = peerQueryDone_ || pendingPeers_.empty();
    }
  });
}

void
ObjectSync::OnFetch(const PeerAddress& aFrom, const wire::ConfigFetch& aFetch)
{
  RunLocked([&](DeferredCalls& aCalls) {
    wire::ConfigParts answer;
    size_t bytes = 0;
    for (const std::string& key : aFetch.keys_) {
      auto object = objects_.find(key);
      auto part = parts_.find(key);
      const bool isHeld = object != objects_.end() && object->second.version_ > 0;
      if (!isHeld && part == parts_.end()) {
        continue;
      }
      const std::string& text = isHeld ? object->second.text_ : *part->second;
      if (bytes > 0 && bytes + text.size() > kMaxReplyBytes) {
        break;
      }
      bytes += text.size();
      answer.values_.push_back({ key, text });
    }
    Send(aFrom, std::move(answer), aCalls);
  });
}

void
ObjectSync::OnParts(const PeerAddress& aFrom, const wire::ConfigParts& aParts)
{
  RunLocked([&](DeferredCalls& aCalls) {
    lastPeerMessageAt_ = environment_.timers_.Now();
    std::set<std::string> progressed;
    for (const wire::StoredValue& value : aParts.values_) {
      if (objects_.contains(value.key_)) {
        OnObjectText(value.key_, value.value_, aFrom, aCalls);
      } else {
        progressed.merge(std::set<std::string>(AcceptPart(value.key_, value.value_, aCalls)));
      }
    }
    // The peer that sent some of the parts is asked for the remaining ones without waiting for the timeout.
    for (const std::string& key : progressed) {
      Object& object = objects_.at(key);
      object.fetch_->holder_ = aFrom;
      object.fetch_->attempts_ = 0;
      ContinueFetch(key, object, aCalls);
    }
  });
}

} // namespace ibisrock
