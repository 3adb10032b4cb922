#ifndef IBISROCK_PROCESS_OBJECT_SYNC_H
#define IBISROCK_PROCESS_OBJECT_SYNC_H

#include "base/last_reason.h"
#include "process/component_log.h"
#include "process/environment.h"
#include "process/gossip.h"
#include "process/membership.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ibisrock {

/// Contents of immutable parts by store key.
using PartTexts = std::map<std::string, std::shared_ptr<const std::string>>;

/// The fields of a stored object that ObjectSync needs.
struct ObjectContent
{
  uint64_t version_ = 0;
  std::string hash_;
  /// Store keys of the parts that the version refers to.
  std::vector<std::string> parts_;
};

/// Callbacks that interpret and apply one stored object.
struct ObjectHandler
{
  /// Parses a text received from the store or a peer. Returns no value if it is malformed.
  std::function<std::optional<ObjectContent>(const std::string&, LastReason&)> parse_;
  /// Applies a complete new version. Calls may come from several threads and out of order, so it must ignore versions
  /// that are not higher than the last one applied.
  std::function<void(const std::string&, const PartTexts&)> apply_;
};

/// Counts of rejected content.
struct SyncCounters
{
  /// Versions lower than the current one.
  uint64_t staleVersions_ = 0;
  /// Versions already known to this instance with a different hash.
  uint64_t conflictingContents_ = 0;
  uint64_t malformed_ = 0;
};

/// Replicates versioned objects of the store to this instance. Watchers are notified by the store; all other instances
/// learn of new versions from peers by gossip and periodic anti-entropy. Versions are monotonic. Thread-safe.
class ObjectSync
{
public:
  ObjectSync(InstanceIdentity aSelf,
             Environment aEnvironment,
             const Membership& aMembership,
             Gossip& aGossip,
             SendToPeer aSend);

  /// Registers an object. Has no effect if the object is already registered.
  void Add(const std::string& aKey, ObjectHandler aHandler);
  /// Reads the registered objects from the store, queries peers for higher versions and starts the periodic tasks.
  void Start();
  /// True once the object has a version and the startup query of the known peers is complete. The first success holds
  /// for the rest of the process's life.
  bool IsReady(const std::string& aKey, LastReason& aReason) const;
  SyncCounters Counters() const;
  size_t PartCount() const;

  void OnUpdate(const wire::VersionUpdate& aUpdate);
  void OnDigest(const PeerAddress& aFrom, const wire::ConfigDigest& aDigest);
  void OnFetch(const PeerAddress& aFrom, const wire::ConfigFetch& aFetch);
  void OnParts(const PeerAddress& aFrom, const wire::ConfigParts& aParts);

private:
  /// A version that is being fetched. It is retried without limit until it completes or a higher version replaces it.
  struct Fetch
  {
    uint64_t id_ = 0;
    uint64_t version_ = 0;
    std::string hash_;
    /// Empty until the text of the object has been received.
    std::string text_;
    std::vector<std::string> parts_;
    PartTexts receivedParts_;
    /// Peer known to hold the version; empty if the version was read from the store.
    PeerAddress holder_;
    unsigned attempts_ = 0;
  };
  struct Object
  {
    ObjectHandler handler_;
    uint64_t version_ = 0;
    std::string hash_;
    std::string text_;
    std::vector<std::string> parts_;
    StoreRevision watchedRevision_;
    bool isWatching_ = false;
    std::optional<Fetch> fetch_;
  };
  /// Calls out of this class, collected under the lock and executed after it is released.
  using DeferredCalls = std::vector<std::function<void()>>;
  using LockedStep = std::function<void(DeferredCalls&)>;

  void RunLocked(const LockedStep& aStep);
  void Tick();
  void QueryPeers();
  void ReadStoreIfIsolated(DeferredCalls& aCalls);
  void StartWatches(DeferredCalls& aCalls);
  void Watch(const std::string& aKey, Object& aObject, DeferredCalls& aCalls);
  void OnWatched(const std::string& aKey, const StoreResult& aResult);
  void ReadStore(const std::string& aKey, DeferredCalls& aCalls);

  void FetchIfNewer(const std::string& aKey, uint64_t aVersion, const PeerAddress& aHolder, DeferredCalls& aCalls);
  void OnObjectText(const std::string& aKey,
                    const std::string& aText,
                    const PeerAddress& aHolder,
                    DeferredCalls& aCalls);
  std::set<std::string> AcceptPart(const std::string& aKey, const std::string& aText, DeferredCalls& aCalls);
  bool CheckVersion(const std::string& aKey,
                    const Object& aObject,
                    const ObjectContent& aContent,
                    DeferredCalls& aCalls);
  void RejectConflicting(const std::string& aKey, uint64_t aVersion, const std::string& aHash, DeferredCalls& aCalls);
  void RejectMalformed(const std::string& aKey, const std::string& aReason, DeferredCalls& aCalls);
  void ContinueFetch(const std::string& aKey, Object& aObject, DeferredCalls& aCalls);
  void OnFetchTimeout(const std::string& aKey, uint64_t aFetchId);
  void FetchFromStore(const std::string& aObject, const std::vector<std::string>& aMissing, DeferredCalls& aCalls);
  void OnStoredPart(const std::string& aKey, const std::string& aText, DeferredCalls& aCalls);
  std::vector<std::string> MissingKeys(const std::string& aKey, const Fetch& aFetch) const;
  void Activate(const std::string& aKey, Object& aObject, DeferredCalls& aCalls);
  void RemoveUnreferencedParts();
  wire::ConfigDigest MakeDigest(bool aIsQuestion) const;
  std::vector<PeerAddress> RandomPeers(size_t aCount) const;
  void Send(const PeerAddress& aPeer, wire::Body aBody, DeferredCalls& aCalls) const;

  const InstanceIdentity self_;
  Environment environment_;
  const Membership& membership_;
  Gossip& gossip_;
  SendToPeer send_;
  ComponentLog log_;

  mutable std::mutex mutex_;
  std::map<std::string, Object> objects_;
  PartTexts parts_;
  SyncCounters counters_;
  uint64_t lastFetchId_ = 0;
  TimePoint startedAt_;
  TimePoint lastPeerMessageAt_;
  bool isStarted_ = false;
  bool peerQueryDone_ = false;
  std::set<PeerAddress> pendingPeers_;
  std::set<PeerAddress> answeredPeers_;
  mutable bool isReady_ = false;
};

} // namespace ibisrock

#endif
