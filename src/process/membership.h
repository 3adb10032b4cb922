#ifndef IBISROCK_PROCESS_MEMBERSHIP_H
#define IBISROCK_PROCESS_MEMBERSHIP_H

#include "process/environment.h"
#include "wire/messages.h"

#include <map>
#include <memory>
#include <mutex>
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

/// Keeps the list of instances. Thread-safe.
class Membership
{
public:
  Membership(InstanceIdentity aSelf, Environment aEnvironment);

  /// Fetches the instance list now and then periodically.
  void Start();
  /// Marks this instance as leaving, so that it owns nothing from now on.
  void Leave();
  std::shared_ptr<const MemberView> View() const;

private:
  void Refresh();
  void Apply(const std::vector<ListedInstance>& aListed);

  const InstanceIdentity self_;
  Environment environment_;

  mutable std::mutex mutex_;
  std::shared_ptr<const MemberView> view_;
  bool leaving_ = false;
};

} // namespace ibisrock

#endif
