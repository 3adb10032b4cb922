#include "process/object_sync.h"

#include "process/watchers.h"

#include <algorithm>
#include <utility>

namespace ibisrock {

namespace {

constexpr Micros kWatchTimeout = Seconds(30);
constexpr Micros kTickPeriod = Seconds(1);
/// Time for which a starting instance asks its peers for a higher version, and the pause between two rounds.
constexpr Micros kAskTime = Seconds(1);
constexpr Micros kAskPeriod = Millis(200);
/// Peers asked at start. Enough to meet one with the newest version, also while a change is spreading.
constexpr size_t kAskedPeers = 16;
/// A starting instance that cannot complete a higher version becomes ready with the one it has after this time.
constexpr Micros kLongestStart = Seconds(5);
/// Without a word from peers for this long, an instance reads the store itself.
constexpr Micros kSilence = Seconds(5);
constexpr uint32_t kSilenceSpreadMicros = 2'000'000;
/// Bytes of values in one answer; a single larger value is sent alone.
constexpr size_t kMaxAnswerBytes = 256 * 1024;

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

/// Runs a step under the lock and then the calls that it collected.
void
ObjectSync::Run(const Step& aStep)
{
  Actions actions;
  {
    std::lock_guard lock(mutex_);
    aStep(actions);
  }
  for (const auto& action : actions) {
    action();
  }
}

void
ObjectSync::Add(const std::string& aKey, ObjectHandler aHandler)
{
  Run([&](Actions& aActions) {
    const auto [added, isNew] = objects_.try_emplace(aKey);
    if (!isNew) {
      return;
    }
    added->second.handler_ = std::move(aHandler);
    if (started_ && environment_.timers_.Now() < startedAt_ + kLongestStart) {
      ReadStore(aKey, aActions);
    }
  });
}

void
ObjectSync::Start()
{
  Run([this](Actions& aActions) {
    started_ = true;
    startedAt_ = lastHeard_ = environment_.timers_.Now();
    for (const auto& [key, object] : objects_) {
      ReadStore(key, aActions);
    }
  });
  Ask();
  Tick();
}

bool
ObjectSync::IsReady(const std::string& aKey, LastReason& aReason) const
{
  std::lock_guard lock(mutex_);
  if (ready_) {
    return true;
  }
  auto found = objects_.find(aKey);
  if (found == objects_.end() || found->second.version_ == 0) {
    aReason.Set("no version of " + aKey + " has been read from the object API or a peer");
    return false;
  }
  if (!askDone_) {
    aReason.Set("peers are being asked for a higher version of " + aKey);
    return false;
  }
  if (found->second.load_ && environment_.timers_.Now() < startedAt_ + kLongestStart) {
    aReason.Set("version " + std::to_string(found->second.load_->version_) + " of " + aKey + " is being fetched");
    return false;
  }
  ready_ = true;
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

/// The periodic work: keeps the watches up, compares versions with one random peer, and reads the store when no peer
/// is heard or no version is known.
void
ObjectSync::Tick()
{
  Run([this](Actions& aActions) {
    BeginWatches(aActions);
    for (const PeerAddress& peer : RandomPeers(1)) {
      Send(peer, MakeDigest(true), aActions);
    }
    CheckSilence(aActions);
  });
  environment_.timers_.After(kTickPeriod, [this] { Tick(); });
}

/// Asks known peers for higher versions until all have answered or the time for it has passed.
void
ObjectSync::Ask()
{
  bool again = false;
  Run([&](Actions& aActions) {
    if (environment_.timers_.Now() >= startedAt_ + kAskTime) {
      askDone_ = true;
    }
    if (askDone_) {
      return;
    }
    again = true;
    if (answered_.empty() && unanswered_.empty()) {
      const auto peers = RandomPeers(kAskedPeers);
      unanswered_.insert(peers.begin(), peers.end());
    }
    for (const PeerAddress& peer : unanswered_) {
      Send(peer, MakeDigest(true), aActions);
    }
  });
  if (again) {
    environment_.timers_.After(kAskPeriod, [this] { Ask(); });
  }
}

void
ObjectSync::CheckSilence(Actions& aActions)
{
  const TimePoint now = environment_.timers_.Now();
  const bool isSilent = now - lastHeard_ >= kSilence;
  if (isSilent) {
    lastHeard_ = now;
  }
  const bool hasNothing =
    std::all_of(objects_.begin(), objects_.end(), [](const auto& aObject) { return aObject.second.version_ == 0; });
  for (const auto& [key, object] : objects_) {
    if (hasNothing && !object.watching_) {
      ReadStore(key, aActions);
    } else if (isSilent && !object.watching_) {
      const Micros delay(environment_.random_.Below(kSilenceSpreadMicros));
      aActions.emplace_back([this, key = key, delay] {
        environment_.timers_.After(delay, [this, key] { Run([&](Actions& aLater) { ReadStore(key, aLater); }); });
      });
    }
  }
}

void
ObjectSync::BeginWatches(Actions& aActions)
{
  const auto view = membership_.View();
  for (auto& [key, object] : objects_) {
    if (!object.watching_ && IsWatcher(*view, self_.id_, key)) {
      Watch(key, object, aActions);
    }
  }
}

void
ObjectSync::Watch(const std::string& aKey, Object& aObject, Actions& aActions)
{
  aObject.watching_ = true;
  aActions.emplace_back([this, aKey, after = aObject.watched_] {
    environment_.store_.Watch(
      aKey, after, kWatchTimeout, [this, aKey](const StoreResult& aResult) { OnWatched(aKey, aResult); });
  });
}

/// Takes what a watch found and renews the watch; after a failure, the next tick does so.
void
ObjectSync::OnWatched(const std::string& aKey, const StoreResult& aResult)
{
  Run([&](Actions& aActions) {
    Object& object = objects_.at(aKey);
    object.watching_ = false;
    if (aResult.outcome_ == StoreOutcome::Ok) {
      object.watched_ = std::max(object.watched_, aResult.revision_);
      TakeText(aKey, aResult.value_, PeerAddress(), aActions);
    }
    const bool failed = aResult.outcome_ != StoreOutcome::Ok && aResult.outcome_ != StoreOutcome::NotFound;
    if (!failed && IsWatcher(*membership_.View(), self_.id_, aKey)) {
      Watch(aKey, object, aActions);
    }
  });
}

void
ObjectSync::ReadStore(const std::string& aKey, Actions& aActions)
{
  aActions.emplace_back([this, aKey] {
    environment_.store_.Get(aKey, [this, aKey](const StoreResult& aResult) {
      if (aResult.outcome_ == StoreOutcome::Ok) {
        Run([&](Actions& aLater) { TakeText(aKey, aResult.value_, PeerAddress(), aLater); });
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
ObjectSync::Send(const PeerAddress& aPeer, wire::Body aBody, Actions& aActions) const
{
  aActions.emplace_back([this, aPeer, body = std::move(aBody)] { send_(aPeer, body); });
}

void
ObjectSync::OnUpdate(const wire::VersionUpdate& aUpdate)
{
  Run([&](Actions& aActions) {
    lastHeard_ = environment_.timers_.Now();
    Want(aUpdate.object_, aUpdate.version_, aUpdate.holder_, aActions);
  });
}

/// Fetches what the sender has newer and, when asked, names what this instance has newer.
void
ObjectSync::OnDigest(const PeerAddress& aFrom, const wire::ConfigDigest& aDigest)
{
  Run([&](Actions& aActions) {
    lastHeard_ = environment_.timers_.Now();
    wire::ConfigDigest answer = MakeDigest(false);
    for (const wire::ObjectVersion& theirs : aDigest.objects_) {
      auto found = objects_.find(theirs.object_);
      if (found == objects_.end()) {
        continue;
      }
      const Object& ours = found->second;
      if (ours.version_ == theirs.version_ && ours.hash_ != theirs.hash_) {
        RefuseOther(theirs.object_, theirs.version_, theirs.hash_, aActions);
      }
      Want(theirs.object_, theirs.version_, aFrom, aActions);
      std::erase_if(answer.objects_, [&theirs](const wire::ObjectVersion& aOurs) {
        return aOurs.object_ == theirs.object_ && aOurs.version_ <= theirs.version_;
      });
    }
    if (aDigest.isQuestion_) {
      Send(aFrom, std::move(answer), aActions);
    } else if (unanswered_.erase(aFrom) > 0) {
      answered_.insert(aFrom);
      askDone_ = askDone_ || unanswered_.empty();
    }
  });
}

void
ObjectSync::OnFetch(const PeerAddress& aFrom, const wire::ConfigFetch& aFetch)
{
  Run([&](Actions& aActions) {
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
      if (bytes > 0 && bytes + text.size() > kMaxAnswerBytes) {
        break;
      }
      bytes += text.size();
      answer.values_.push_back({ key, text });
    }
    Send(aFrom, std::move(answer), aActions);
  });
}

void
ObjectSync::OnParts(const PeerAddress& aFrom, const wire::ConfigParts& aParts)
{
  Run([&](Actions& aActions) {
    lastHeard_ = environment_.timers_.Now();
    std::set<std::string> advanced;
    for (const wire::StoredValue& value : aParts.values_) {
      if (objects_.contains(value.key_)) {
        TakeText(value.key_, value.value_, aFrom, aActions);
      } else {
        advanced.merge(std::set<std::string>(TakePart(value.key_, value.value_, aActions)));
      }
    }
    // The peer that sent some of the parts is asked for the rest at once.
    for (const std::string& key : advanced) {
      Object& object = objects_.at(key);
      object.load_->holder_ = aFrom;
      object.load_->tries_ = 0;
      Continue(key, object, aActions);
    }
  });
}

} // namespace ibisrock
