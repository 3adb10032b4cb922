#ifndef IBISROCK_PROCESS_MEMBERSHIP_H
#define IBISROCK_PROCESS_MEMBERSHIP_H

#include "process/component_log.h"
#include "process/environment.h"
#include "wire/messages.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace ibisrock {

using wire::MemberState;

struct Member
{
  InstanceId id_;
  PeerAddress address_;
  DataCentre dataCentre_;
  Incarnation incarnation_;
  MemberState state_ = MemberState::Alive;

  bool operator==(const Member&) const = default;
};

/// Immutable list of the members that may own replicas, sorted by id. Includes this instance unless it is leaving,
/// not eligible as an owner, or replaced by a later process with its id.
struct MemberView
{
  /// Incremented with each change of the list.
  uint64_t epoch_ = 0;
  std::vector<Member> members_;
};

/// Membership table: the state of every known instance, updated by probes and gossip. Thread-safe.
class Membership
{
public:
  /// Called without a lock held for each state change that this instance originates.
  using AnnounceCallback = std::function<void(const wire::MemberUpdate&)>;

  Membership(InstanceIdentity aSelf, Environment aEnvironment);

  /// Not thread-safe; must be called before the instance starts.
  void SetAnnounceCallback(AnnounceCallback aCallback);
  /// Marks this instance as leaving, which ends its ownership of replicas, and announces the change.
  void Leave();
  /// Sets whether this instance may own replicas. It may not while it does not know what happened during a pause.
  void SetEligibleOwner(bool aIsEligible);

  /// Merges a state received from a peer. Returns true if it replaced the known state. A suspicion or death of this
  /// instance itself is refuted.
  bool Merge(const wire::MemberUpdate& aUpdate);
  /// Marks a member as suspect after a failed probe, unless its incarnation has changed since.
  void Suspect(const InstanceId& aId, Incarnation aIncarnation);
  /// Declares suspects dead whose suspicion was not refuted in time. Removes members that have been dead or leaving for
  /// longer than the retention time.
  void ExpireMembers();
  /// Restarts the timeout of every suspicion, because refutations could not be received during a pause.
  void RestartSuspicionTimers();

  std::shared_ptr<const MemberView> View() const;
  /// Number of other instances that are known, including dead ones.
  size_t KnownCount() const;
  /// This instance's own state as announced to peers.
  wire::MemberUpdate Self() const;
  std::optional<Member> Find(const InstanceId& aId) const;
  /// All other known instances, sorted by id, including those that left or are dead.
  std::vector<Member> KnownMembers() const;
  /// Members declared dead. They are still probed, because they may have come back.
  std::vector<Member> DeadMembers() const;

private:
  struct Record
  {
    Member member_;
    TimePoint stateSince_;
  };

  /// A change of a member's state. before_ is empty for a new member.
  struct Change
  {
    Member member_;
    std::optional<MemberState> before_;
  };

  bool MergeLocked(const wire::MemberUpdate& aUpdate, std::vector<Change>& aChanges);
  std::optional<wire::MemberUpdate> RefuteLocked(const wire::MemberUpdate& aUpdate);
  void RebuildViewLocked() const;
  wire::MemberUpdate SelfLocked() const;
  void Announce(const wire::MemberUpdate& aUpdate) const;
  void LogChanges(const std::vector<Change>& aChanges);

  const InstanceIdentity self_;
  Environment environment_;
  AnnounceCallback announceCallback_;
  ComponentLog log_;

  mutable std::mutex mutex_;
  std::map<InstanceId, Record> records_;
  /// Rebuilt on the first read after a change, because changes come in bursts.
  mutable std::shared_ptr<const MemberView> view_;
  mutable bool viewIsStale_ = true;
  Incarnation incarnation_;
  bool leaving_ = false;
  bool isEligibleOwner_ = true;
  /// Set when a later process with the same id is known at another address.
  bool replaced_ = false;
};

} // namespace ibisrock

#endif
