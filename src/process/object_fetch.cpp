#include "process/object_sync.h"

#include "base/hashing.h"
#include "version/manifest.h"

#include <algorithm>
#include <utility>

namespace ibisrock {

namespace {

constexpr Micros kPeerTimeout = Millis(250);
constexpr Micros kStoreTimeout = Seconds(1);
/// Fetch attempts in one round: four from peers and one from the store.
constexpr unsigned kAttemptsPerRound = 5;
/// Upper limit of the backoff after a round that did not complete the version. The backoff grows by one second with
/// each round.
constexpr unsigned kMaxBackoffSeconds = 2;
/// Delays, after a version has become active, at which the instance announces it by gossip. A single push to 3 peers
/// misses about 1 instance in 20 (e^-3), and more when messages are lost.
constexpr Micros kAnnounceDelays[] = { Micros(0), Millis(100), Millis(300) };
constexpr uint32_t kBackoffJitterMicros = 500'000;
/// Kinds of log lines, each limited separately.
constexpr size_t kStaleVersionLog = 0;
constexpr size_t kConflictLog = 1;
constexpr size_t kMalformedLog = 2;

} // namespace

/// Starts to fetch a version announced by a peer, unless it is not newer than the current version or the one being
/// fetched.
void
ObjectSync::FetchIfNewer(const std::string& aKey, uint64_t aVersion, const PeerAddress& aHolder, DeferredCalls& aCalls)
{
  auto found = objects_.find(aKey);
  if (found == objects_.end()) {
    return;
  }
  Object& object = found->second;
  if (aVersion <= object.version_ || (object.fetch_ && aVersion <= object.fetch_->version_)) {
    return;
  }
  Fetch fetch;
  fetch.version_ = aVersion;
  fetch.holder_ = aHolder;
  if (object.fetch_) {
    fetch.receivedParts_ = std::move(object.fetch_->receivedParts_);
  }
  object.fetch_ = std::move(fetch);
  ContinueFetch(aKey, object, aCalls);
}

/// Handles the text of an object received from the store or a peer. Starts a fetch of its parts if its version is newer
/// than the current one and no higher version is being fetched.
void
ObjectSync::OnObjectText(const std::string& aKey,
                         const std::string& aText,
                         const PeerAddress& aHolder,
                         DeferredCalls& aCalls)
{
  Object& object = objects_.at(aKey);
  LastReason reason;
  const auto content = object.handler_.parse_(aText, reason);
  if (!content || content->version_ == 0) {
    RejectMalformed(aKey, content ? "the version is missing or 0" : reason.Text(), aCalls);
    return;
  }
  if (!CheckVersion(aKey, object, *content, aCalls)) {
    return;
  }
  Fetch fetch{ 0, content->version_, content->hash_, aText, content->parts_, {}, aHolder, 0 };
  if (object.fetch_) {
    if (object.fetch_->version_ > fetch.version_) {
      return;
    }
    if (object.fetch_->version_ == fetch.version_ && !object.fetch_->text_.empty()) {
      if (object.fetch_->hash_ != fetch.hash_) {
        RejectConflicting(aKey, fetch.version_, fetch.hash_, aCalls);
      }
      return;
    }
    fetch.receivedParts_ = std::move(object.fetch_->receivedParts_);
  }
  object.fetch_ = std::move(fetch);
  ContinueFetch(aKey, object, aCalls);
}

/// Returns true if the content is newer than the current version. Counts and logs a lower version, and different
/// content under the current version.
bool
ObjectSync::CheckVersion(const std::string& aKey,
                         const Object& aObject,
                         const ObjectContent& aContent,
                         DeferredCalls& aCalls)
{
  if (aContent.version_ > aObject.version_) {
    return true;
  }
  if (aContent.version_ < aObject.version_) {
    counters_.staleVersions_++;
    aCalls.emplace_back([this, aKey, held = aObject.version_, seen = aContent.version_] {
      log_.Write(LogLevel::Info, kStaleVersionLog, [&] {
        return aKey + " version " + std::to_string(seen) + " ignored: version " + std::to_string(held) + " is current";
      });
    });
  } else if (aContent.hash_ != aObject.hash_) {
    RejectConflicting(aKey, aContent.version_, aContent.hash_, aCalls);
  }
  return false;
}

/// Counts and logs a version that this instance knows with a different hash.
void
ObjectSync::RejectConflicting(const std::string& aKey,
                              uint64_t aVersion,
                              const std::string& aHash,
                              DeferredCalls& aCalls)
{
  counters_.conflictingContents_++;
  aCalls.emplace_back([this, aKey, aVersion, aHash] {
    log_.Write(LogLevel::Error, kConflictLog, [&] {
      return aKey + " version " + std::to_string(aVersion) + " refused: its hash " + aHash +
             " differs from the hash of the known content";
    });
  });
}

void
ObjectSync::RejectMalformed(const std::string& aKey, const std::string& aReason, DeferredCalls& aCalls)
{
  counters_.malformed_++;
  aCalls.emplace_back([this, aKey, aReason] {
    log_.Write(LogLevel::Error, kMalformedLog, [&] { return aKey + " refused: " + aReason; });
  });
}

/// Stores a part in the fetches that need it and returns the keys of their objects. The key contains the hash of the
/// content, so a part from any sender can be verified.
std::set<std::string>
ObjectSync::AcceptPart(const std::string& aKey, const std::string& aText, DeferredCalls& aCalls)
{
  std::set<std::string> progressed;
  if (aKey != PartKey(ContentHash(aText))) {
    RejectMalformed(aKey, "the content does not match the hash in the key", aCalls);
    return progressed;
  }
  for (auto& [key, object] : objects_) {
    if (!object.fetch_ || object.fetch_->receivedParts_.contains(aKey)) {
      continue;
    }
    const auto& parts = object.fetch_->parts_;
    if (std::find(parts.begin(), parts.end(), aKey) != parts.end()) {
      object.fetch_->receivedParts_[aKey] = std::make_shared<const std::string>(aText);
      progressed.insert(key);
    }
  }
  return progressed;
}

std::vector<std::string>
ObjectSync::MissingKeys(const std::string& aKey, const Fetch& aFetch) const
{
  if (aFetch.text_.empty()) {
    return { aKey };
  }
  std::vector<std::string> missing;
  for (const std::string& part : aFetch.parts_) {
    if (!parts_.contains(part) && !aFetch.receivedParts_.contains(part)) {
      missing.push_back(part);
    }
  }
  return missing;
}

/// Activates the version if its fetch is complete; otherwise starts the next attempt to fetch the missing parts.
void
ObjectSync::ContinueFetch(const std::string& aKey, Object& aObject, DeferredCalls& aCalls)
{
  const auto missing = MissingKeys(aKey, *aObject.fetch_);
  if (missing.empty()) {
    Activate(aKey, aObject, aCalls);
    return;
  }
  Fetch& fetch = *aObject.fetch_;
  fetch.id_ = ++lastFetchId_;
  const unsigned attempt = fetch.attempts_ % kAttemptsPerRound;
  const unsigned round = fetch.attempts_ / kAttemptsPerRound;
  const bool fromStore = attempt == (fetch.holder_.IsEmpty() ? 0 : kAttemptsPerRound - 1);
  const bool endsRound = attempt == kAttemptsPerRound - 1;
  Micros timeout = fromStore ? kStoreTimeout : kPeerTimeout;
  if (endsRound) {
    timeout += Seconds(std::min(round, kMaxBackoffSeconds)) + Micros(environment_.random_.Below(kBackoffJitterMicros));
  }
  if (fromStore) {
    FetchFromStore(aKey, missing, aCalls);
  } else if (fetch.attempts_ == 0) {
    Send(fetch.holder_, wire::ConfigFetch{ missing }, aCalls);
  } else {
    for (const PeerAddress& peer : RandomPeers(1)) {
      Send(peer, wire::ConfigFetch{ missing }, aCalls);
    }
  }
  fetch.attempts_++;
  aCalls.emplace_back([this, aKey, id = fetch.id_, timeout] {
    environment_.timers_.After(timeout, [this, aKey, id] { OnFetchTimeout(aKey, id); });
  });
}

void
ObjectSync::OnFetchTimeout(const std::string& aKey, uint64_t aFetchId)
{
  RunLocked([&](DeferredCalls& aCalls) {
    Object& object = objects_.at(aKey);
    if (object.fetch_ && object.fetch_->id_ == aFetchId) {
      ContinueFetch(aKey, object, aCalls);
    }
  });
}

void
ObjectSync::FetchFromStore(const std::string& aObject, const std::vector<std::string>& aMissing, DeferredCalls& aCalls)
{
  for (const std::string& key : aMissing) {
    if (key == aObject) {
      ReadStore(key, aCalls);
      continue;
    }
    aCalls.emplace_back([this, key] {
      environment_.store_.Get(key, [this, key](const StoreResult& aResult) {
        if (aResult.outcome_ == StoreOutcome::Ok) {
          RunLocked([&](DeferredCalls& aLaterCalls) { OnStoredPart(key, aResult.value_, aLaterCalls); });
        }
      });
    });
  }
}

/// Handles a part read from the store. All missing parts are read at the same time, so only the last one to
/// arrive completes the fetch.
void
ObjectSync::OnStoredPart(const std::string& aKey, const std::string& aText, DeferredCalls& aCalls)
{
  for (const std::string& key : AcceptPart(aKey, aText, aCalls)) {
    Object& object = objects_.at(key);
    if (MissingKeys(key, *object.fetch_).empty()) {
      Activate(key, object, aCalls);
    }
  }
}

/// Replaces the current version by the fetched one, passes it to the object's handler and announces it to peers.
void
ObjectSync::Activate(const std::string& aKey, Object& aObject, DeferredCalls& aCalls)
{
  Fetch fetch = std::move(*aObject.fetch_);
  aObject.fetch_.reset();
  aObject.version_ = fetch.version_;
  aObject.hash_ = std::move(fetch.hash_);
  aObject.text_ = std::move(fetch.text_);
  aObject.parts_ = std::move(fetch.parts_);
  parts_.merge(fetch.receivedParts_);
  PartTexts texts;
  for (const std::string& part : aObject.parts_) {
    texts[part] = parts_.at(part);
  }
  RemoveUnreferencedParts();
  const wire::VersionUpdate update{ aKey, aObject.version_, self_.address_ };
  aCalls.emplace_back(
    [apply = aObject.handler_.apply_, text = aObject.text_, texts = std::move(texts)] { apply(text, texts); });
  for (const Micros delay : kAnnounceDelays) {
    aCalls.emplace_back(
      [this, update, delay] { environment_.timers_.After(delay, [this, update] { gossip_.Disseminate(update); }); });
  }
}

void
ObjectSync::RemoveUnreferencedParts()
{
  std::set<std::string> used;
  for (const auto& [key, object] : objects_) {
    used.insert(object.parts_.begin(), object.parts_.end());
  }
  std::erase_if(parts_, [&used](const auto& aPart) { return !used.contains(aPart.first); });
}

} // namespace ibisrock
