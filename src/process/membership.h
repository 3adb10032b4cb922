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

/// Immutable list of the members that may own replicas, sorted by id, the instance itself included while it stays.
struct MemberView
{
  /// Increases with each change of the list.
  uint64_t epoch_ = 0;
  std::vector<Member> members_;
};

/// Keeps the state of every known instance; what it learns comes from probes and gossip. Thread-safe.
class Membership
{
public:
  /// Told of each change that this instance found out itself, without any lock held.
  using Announce = std::function<void(const wire::MemberUpdate&)>;

  Membership(InstanceIdentity aSelf, Environment aEnvironment);

  /// Not thread-safe: to be called before the instance starts.
  void SetAnnounce(Announce aAnnounce);
  /// Marks this instance as leaving, so that it owns nothing from now on, and announces it.
  void Leave();
  /// Whether this instance may own replicas; false while it does not know what happened during a pause.
  void SetMayOwn(bool aMayOwn);

  /// Takes a state from a peer. Returns true when it was news. An accusation against this instance is refuted.
  bool Merge(const wire::MemberUpdate& aUpdate);
  /// Records that a probe of this incarnation failed.
  void Suspect(const InstanceId& aId, Incarnation aIncarnation);
  /// Declares the members dead that did not refute a suspicion in time, and forgets those gone for long.
  void Expire();
  /// Gives every suspect its full time again, because this instance could not hear refutations during a pause.
  void RestartSuspicions();

  std::shared_ptr<const MemberView> View() const;
  /// Number of known instances, the dead ones included.
  size_t KnownCount() const;
  /// This instance as peers should see it.
  wire::MemberUpdate Self() const;
  std::optional<Member> Find(const InstanceId& aId) const;
  /// Every other instance that is known, sorted by id, also those that left or are dead.
  std::vector<Member> KnownMembers() const;
  /// Members that are known to be dead and may be back.
  std::vector<Member> DeadMembers() const;

private:
  struct Record
  {
    Member member_;
    TimePoint since_;
  };

  /// One change of a member's state; the state before is missing for a new member.
  struct Change
  {
    Member member_;
    std::optional<MemberState> before_;
  };

  bool MergeLocked(const wire::MemberUpdate& aUpdate, std::vector<Change>& aChanges);
  std::optional<wire::MemberUpdate> RefuteLocked(const wire::MemberUpdate& aUpdate);
  void RebuildLocked() const;
  wire::MemberUpdate SelfLocked() const;
  void Tell(const wire::MemberUpdate& aUpdate) const;
  void Log(const std::vector<Change>& aChanges);

  const InstanceIdentity self_;
  Environment environment_;
  Announce announce_;
  ComponentLog log_;

  mutable std::mutex mutex_;
  std::map<InstanceId, Record> records_;
  /// Made anew when it is asked for after a change, because changes come in bursts.
  mutable std::shared_ptr<const MemberView> view_;
  mutable bool viewIsOld_ = true;
  Incarnation incarnation_;
  bool leaving_ = false;
  bool mayOwn_ = true;
  /// True when a later process with this id runs at another address.
  bool replaced_ = false;
};

} // namespace ibisrock

#endif
