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

/// Texts of immutable parts by store key.
using PartTexts = std::map<std::string, std::shared_ptr<const std::string>>;

/// What ObjectSync must know of the text of a stored object.
struct ObjectContent
{
  uint64_t version_ = 0;
  std::string hash_;
  /// Store keys of the parts that belong to the version.
  std::vector<std::string> parts_;
};

/// The user of one stored object.
struct ObjectHandler
{
  /// Reads a text from the store or a peer. Returns no value for a malformed one.
  std::function<std::optional<ObjectContent>(const std::string&, LastReason&)> inspect_;
  /// Takes a complete new version. Calls may come from several threads out of order, so it ignores lower versions.
  std::function<void(const std::string&, const PartTexts&)> accept_;
};

/// How often content was refused.
struct SyncCounters
{
  uint64_t staleVersions_ = 0;
  /// The version that this instance holds, with another hash.
  uint64_t conflictingContents_ = 0;
  uint64_t malformed_ = 0;
};

/// Keeps stored objects at their newest version: watchers learn it from the store, all others from peers. A version
/// never goes back. Thread-safe.
class ObjectSync
{
public:
  ObjectSync(InstanceIdentity aSelf,
             Environment aEnvironment,
             const Membership& aMembership,
             Gossip& aGossip,
             SendToPeer aSend);

  /// Adds an object; does nothing when it is known.
  void Add(const std::string& aKey, ObjectHandler aHandler);
  /// Reads the objects from the store, asks peers for higher versions, and begins the periodic work.
  void Start();
  /// True once the object has a version and the known peers have been asked for a higher one. Stays true.
  bool IsReady(const std::string& aKey, LastReason& aReason) const;
  SyncCounters Counters() const;
  size_t PartCount() const;

  void OnUpdate(const wire::VersionUpdate& aUpdate);
  void OnDigest(const PeerAddress& aFrom, const wire::ConfigDigest& aDigest);
  void OnFetch(const PeerAddress& aFrom, const wire::ConfigFetch& aFetch);
  void OnParts(const PeerAddress& aFrom, const wire::ConfigParts& aParts);

private:
  /// A version that is being fetched. It is never given up: only a higher version replaces it.
  struct Load
  {
    uint64_t id_ = 0;
    uint64_t version_ = 0;
    std::string hash_;
    /// Empty until the object itself has been fetched.
    std::string text_;
    std::vector<std::string> parts_;
    PartTexts fetched_;
    /// Peer that holds the version; empty when it was learned from the store.
    PeerAddress holder_;
    unsigned tries_ = 0;
  };
  struct Object
  {
    ObjectHandler handler_;
    uint64_t version_ = 0;
    std::string hash_;
    std::string text_;
    std::vector<std::string> parts_;
    StoreRevision watched_;
    bool watching_ = false;
    std::optional<Load> load_;
  };
  /// Calls to others, collected under the lock and made after it is released.
  using Actions = std::vector<std::function<void()>>;
  using Step = std::function<void(Actions&)>;

  void Run(const Step& aStep);
  void Tick();
  void Ask();
  void CheckSilence(Actions& aActions);
  void BeginWatches(Actions& aActions);
  void Watch(const std::string& aKey, Object& aObject, Actions& aActions);
  void OnWatched(const std::string& aKey, const StoreResult& aResult);
  void ReadStore(const std::string& aKey, Actions& aActions);

  void Want(const std::string& aKey, uint64_t aVersion, const PeerAddress& aHolder, Actions& aActions);
  void TakeText(const std::string& aKey, const std::string& aText, const PeerAddress& aHolder, Actions& aActions);
  std::set<std::string> TakePart(const std::string& aKey, const std::string& aText, Actions& aActions);
  bool IsNewer(const std::string& aKey, const Object& aObject, const ObjectContent& aContent, Actions& aActions);
  void RefuseOther(const std::string& aKey, uint64_t aVersion, const std::string& aHash, Actions& aActions);
  void RefuseMalformed(const std::string& aKey, const std::string& aReason, Actions& aActions);
  void Continue(const std::string& aKey, Object& aObject, Actions& aActions);
  void OnFetchTimeout(const std::string& aKey, uint64_t aLoadId);
  void FetchFromStore(const std::string& aObject, const std::vector<std::string>& aMissing, Actions& aActions);
  void OnStoredPart(const std::string& aKey, const std::string& aText, Actions& aActions);
  std::vector<std::string> MissingKeys(const std::string& aKey, const Load& aLoad) const;
  void TakeInForce(const std::string& aKey, Object& aObject, Actions& aActions);
  void DropUnusedParts();
  wire::ConfigDigest MakeDigest(bool aIsQuestion) const;
  std::vector<PeerAddress> RandomPeers(size_t aCount) const;
  void Send(const PeerAddress& aPeer, wire::Body aBody, Actions& aActions) const;

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
  uint64_t lastLoad_ = 0;
  TimePoint startedAt_;
  TimePoint lastHeard_;
  bool started_ = false;
  bool askDone_ = false;
  std::set<PeerAddress> unanswered_;
  std::set<PeerAddress> answered_;
  mutable bool ready_ = false;
};

} // namespace ibisrock

#endif
