#include "process/object_sync.h"

#include "base/hashing.h"
#include "version/manifest.h"

#include <algorithm>
#include <utility>

namespace ibisrock {

namespace {

constexpr Micros kPeerTimeout = Millis(250);
constexpr Micros kStoreTimeout = Seconds(1);
/// Tries of one round: four peers and the store.
constexpr unsigned kTriesPerRound = 5;
/// Longest pause after a round that did not complete a version, in seconds; one second longer with each round.
constexpr unsigned kMaxPause = 2;
/// Times at which an instance spreads a new version, after it has taken it in force. One push to 3 peers leaves out
/// about 1 instance in 20 (e^-3), and more when messages are lost.
constexpr Micros kSpreadDelays[] = { Micros(0), Millis(100), Millis(300) };
constexpr uint32_t kPauseSpreadMicros = 500'000;
/// Kinds of log lines.
constexpr size_t kLowerLines = 0;
constexpr size_t kOtherLines = 1;
constexpr size_t kMalformedLines = 2;

} // namespace

/// Begins to fetch a version that a peer says it holds.
void
ObjectSync::Want(const std::string& aKey, uint64_t aVersion, const PeerAddress& aHolder, Actions& aActions)
{
  auto found = objects_.find(aKey);
  if (found == objects_.end()) {
    return;
  }
  Object& object = found->second;
  if (aVersion <= object.version_ || (object.load_ && aVersion <= object.load_->version_)) {
    return;
  }
  Load load;
  load.version_ = aVersion;
  load.holder_ = aHolder;
  if (object.load_) {
    load.fetched_ = std::move(object.load_->fetched_);
  }
  object.load_ = std::move(load);
  Continue(aKey, object, aActions);
}

/// Takes the text of an object from the store or a peer, if it is newer than what is held or being fetched.
void
ObjectSync::TakeText(const std::string& aKey, const std::string& aText, const PeerAddress& aHolder, Actions& aActions)
{
  Object& object = objects_.at(aKey);
  LastReason reason;
  const auto content = object.handler_.inspect_(aText, reason);
  if (!content || content->version_ == 0) {
    RefuseMalformed(aKey, content ? "it has no version" : reason.Text(), aActions);
    return;
  }
  if (!IsNewer(aKey, object, *content, aActions)) {
    return;
  }
  Load load{ 0, content->version_, content->hash_, aText, content->parts_, {}, aHolder, 0 };
  if (object.load_) {
    if (object.load_->version_ > load.version_) {
      return;
    }
    if (object.load_->version_ == load.version_ && !object.load_->text_.empty()) {
      if (object.load_->hash_ != load.hash_) {
        RefuseOther(aKey, load.version_, load.hash_, aActions);
      }
      return;
    }
    load.fetched_ = std::move(object.load_->fetched_);
  }
  object.load_ = std::move(load);
  Continue(aKey, object, aActions);
}

/// Refuses and counts lower versions, and another content of the version that is held.
bool
ObjectSync::IsNewer(const std::string& aKey, const Object& aObject, const ObjectContent& aContent, Actions& aActions)
{
  if (aContent.version_ > aObject.version_) {
    return true;
  }
  if (aContent.version_ < aObject.version_) {
    counters_.staleVersions_++;
    aActions.emplace_back([this, aKey, held = aObject.version_, seen = aContent.version_] {
      log_.Write(LogLevel::Info, kLowerLines, [&] {
        return aKey + " version " + std::to_string(seen) + " ignored: version " + std::to_string(held) + " is held";
      });
    });
  } else if (aContent.hash_ != aObject.hash_) {
    RefuseOther(aKey, aContent.version_, aContent.hash_, aActions);
  }
  return false;
}

/// Counts and logs a version that is known here with another hash.
void
ObjectSync::RefuseOther(const std::string& aKey, uint64_t aVersion, const std::string& aHash, Actions& aActions)
{
  counters_.conflictingContents_++;
  aActions.emplace_back([this, aKey, aVersion, aHash] {
    log_.Write(LogLevel::Error, kOtherLines, [&] {
      return aKey + " version " + std::to_string(aVersion) + " refused: its hash " + aHash + " is not the one held";
    });
  });
}

void
ObjectSync::RefuseMalformed(const std::string& aKey, const std::string& aReason, Actions& aActions)
{
  counters_.malformed_++;
  aActions.emplace_back([this, aKey, aReason] {
    log_.Write(LogLevel::Error, kMalformedLines, [&] { return aKey + " refused: " + aReason; });
  });
}

/// Takes a part that a load waits for and returns the loads that it brings forward. The hash in the key proves the
/// content, whoever sent it.
std::set<std::string>
ObjectSync::TakePart(const std::string& aKey, const std::string& aText, Actions& aActions)
{
  std::set<std::string> advanced;
  if (aKey != PartKey(ContentHash(aText))) {
    RefuseMalformed(aKey, "its content has another hash", aActions);
    return advanced;
  }
  for (auto& [key, object] : objects_) {
    if (!object.load_ || object.load_->fetched_.contains(aKey)) {
      continue;
    }
    const auto& parts = object.load_->parts_;
    if (std::find(parts.begin(), parts.end(), aKey) != parts.end()) {
      object.load_->fetched_[aKey] = std::make_shared<const std::string>(aText);
      advanced.insert(key);
    }
  }
  return advanced;
}

std::vector<std::string>
ObjectSync::MissingKeys(const std::string& aKey, const Load& aLoad) const
{
  if (aLoad.text_.empty()) {
    return { aKey };
  }
  std::vector<std::string> missing;
  for (const std::string& part : aLoad.parts_) {
    if (!parts_.contains(part) && !aLoad.fetched_.contains(part)) {
      missing.push_back(part);
    }
  }
  return missing;
}

/// Takes a complete load in force, or makes the next try to fetch what it lacks.
void
ObjectSync::Continue(const std::string& aKey, Object& aObject, Actions& aActions)
{
  const auto missing = MissingKeys(aKey, *aObject.load_);
  if (missing.empty()) {
    TakeInForce(aKey, aObject, aActions);
    return;
  }
  Load& load = *aObject.load_;
  load.id_ = ++lastLoad_;
  const unsigned turn = load.tries_ % kTriesPerRound;
  const unsigned round = load.tries_ / kTriesPerRound;
  const bool fromStore = turn == (load.holder_.IsEmpty() ? 0 : kTriesPerRound - 1);
  const bool endsRound = turn == kTriesPerRound - 1;
  Micros timeout = fromStore ? kStoreTimeout : kPeerTimeout;
  if (endsRound) {
    timeout += Seconds(std::min(round, kMaxPause)) + Micros(environment_.random_.Below(kPauseSpreadMicros));
  }
  if (fromStore) {
    FetchFromStore(aKey, missing, aActions);
  } else if (load.tries_ == 0) {
    Send(load.holder_, wire::ConfigFetch{ missing }, aActions);
  } else {
    for (const PeerAddress& peer : RandomPeers(1)) {
      Send(peer, wire::ConfigFetch{ missing }, aActions);
    }
  }
  load.tries_++;
  aActions.emplace_back([this, aKey, id = load.id_, timeout] {
    environment_.timers_.After(timeout, [this, aKey, id] { OnFetchTimeout(aKey, id); });
  });
}

void
ObjectSync::OnFetchTimeout(const std::string& aKey, uint64_t aLoadId)
{
  Run([&](Actions& aActions) {
    Object& object = objects_.at(aKey);
    if (object.load_ && object.load_->id_ == aLoadId) {
      Continue(aKey, object, aActions);
    }
  });
}

void
ObjectSync::FetchFromStore(const std::string& aObject, const std::vector<std::string>& aMissing, Actions& aActions)
{
  for (const std::string& key : aMissing) {
    if (key == aObject) {
      ReadStore(key, aActions);
      continue;
    }
    aActions.emplace_back([this, key] {
      environment_.store_.Get(key, [this, key](const StoreResult& aResult) {
        if (aResult.outcome_ == StoreOutcome::Ok) {
          Run([&](Actions& aLater) { OnStoredPart(key, aResult.value_, aLater); });
        }
      });
    });
  }
}

/// Takes a part from the store. All parts were asked for together, so only the last one moves the load on.
void
ObjectSync::OnStoredPart(const std::string& aKey, const std::string& aText, Actions& aActions)
{
  for (const std::string& key : TakePart(aKey, aText, aActions)) {
    Object& object = objects_.at(key);
    if (MissingKeys(key, *object.load_).empty()) {
      TakeInForce(key, object, aActions);
    }
  }
}

/// Replaces the version that is held by the loaded one, gives it to the object's user and tells the peers.
void
ObjectSync::TakeInForce(const std::string& aKey, Object& aObject, Actions& aActions)
{
  Load load = std::move(*aObject.load_);
  aObject.load_.reset();
  aObject.version_ = load.version_;
  aObject.hash_ = std::move(load.hash_);
  aObject.text_ = std::move(load.text_);
  aObject.parts_ = std::move(load.parts_);
  parts_.merge(load.fetched_);
  PartTexts texts;
  for (const std::string& part : aObject.parts_) {
    texts[part] = parts_.at(part);
  }
  DropUnusedParts();
  const wire::VersionUpdate update{ aKey, aObject.version_, self_.address_ };
  aActions.emplace_back(
    [accept = aObject.handler_.accept_, text = aObject.text_, texts = std::move(texts)] { accept(text, texts); });
  for (const Micros delay : kSpreadDelays) {
    aActions.emplace_back(
      [this, update, delay] { environment_.timers_.After(delay, [this, update] { gossip_.Disseminate(update); }); });
  }
}

void
ObjectSync::DropUnusedParts()
{
  std::set<std::string> used;
  for (const auto& [key, object] : objects_) {
    used.insert(object.parts_.begin(), object.parts_.end());
  }
  std::erase_if(parts_, [&used](const auto& aPart) { return !used.contains(aPart.first); });
}

} // namespace ibisrock
