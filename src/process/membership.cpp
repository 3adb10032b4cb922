#include "process/membership.h"

#include <algorithm>
#include <utility>

namespace ibisrock {

namespace {

constexpr Micros kSuspectTime = Seconds(3);
/// Partitions between regions last minutes; a dead member is probed for longer than that.
constexpr Micros kForgetTime = Seconds(3600);

wire::MemberUpdate
ToUpdate(const Member& aMember)
{
  return { aMember.id_, aMember.address_, aMember.dataCentre_, aMember.incarnation_, aMember.state_ };
}

bool
IsUsable(MemberState aState)
{
  return aState == MemberState::Alive || aState == MemberState::Suspect;
}

} // namespace

Membership::Membership(InstanceIdentity aSelf, Environment aEnvironment)
  : self_(std::move(aSelf))
  , environment_(aEnvironment)
  , incarnation_(self_.incarnation_)
{
}

void
Membership::SetAnnounce(Announce aAnnounce)
{
  announce_ = std::move(aAnnounce);
}

void
Membership::Tell(const wire::MemberUpdate& aUpdate) const
{
  if (announce_) {
    announce_(aUpdate);
  }
}

void
Membership::Leave()
{
  {
    std::lock_guard lock(mutex_);
    leaving_ = true;
    viewIsOld_ = true;
  }
  Tell(Self());
}

void
Membership::SetMayOwn(bool aMayOwn)
{
  std::lock_guard lock(mutex_);
  mayOwn_ = aMayOwn;
  viewIsOld_ = true;
}

bool
Membership::Merge(const wire::MemberUpdate& aUpdate)
{
  std::optional<wire::MemberUpdate> refutation;
  {
    std::lock_guard lock(mutex_);
    if (aUpdate.id_ != self_.id_) {
      return MergeLocked(aUpdate);
    }
    refutation = RefuteLocked(aUpdate);
  }
  if (refutation) {
    Tell(*refutation);
  }
  return false;
}

/// A state overrides another by a higher incarnation, or within one by a later state.
bool
Membership::MergeLocked(const wire::MemberUpdate& aUpdate)
{
  auto [found, isNew] = records_.try_emplace(aUpdate.id_);
  Member& known = found->second.member_;
  if (!isNew && std::pair(aUpdate.incarnation_, aUpdate.state_) <= std::pair(known.incarnation_, known.state_)) {
    return false;
  }
  known = { aUpdate.id_, aUpdate.address_, aUpdate.dataCentre_, aUpdate.incarnation_, aUpdate.state_ };
  found->second.since_ = environment_.timers_.Now();
  viewIsOld_ = true;
  return true;
}

/// Raises the incarnation above the one that peers hold. A higher one at another address belongs to a later process
/// with the same id, which must not be fought.
std::optional<wire::MemberUpdate>
Membership::RefuteLocked(const wire::MemberUpdate& aUpdate)
{
  const wire::MemberUpdate self = SelfLocked();
  if (aUpdate.incarnation_ < incarnation_ || (aUpdate.incarnation_ == incarnation_ && aUpdate.state_ <= self.state_)) {
    return std::nullopt;
  }
  if (aUpdate.address_ != self_.address_) {
    replaced_ = true;
    viewIsOld_ = true;
    return std::nullopt;
  }
  incarnation_ = aUpdate.incarnation_.Next();
  viewIsOld_ = true;
  return SelfLocked();
}

void
Membership::Suspect(const InstanceId& aId, Incarnation aIncarnation)
{
  wire::MemberUpdate update;
  {
    std::lock_guard lock(mutex_);
    auto found = records_.find(aId);
    if (found == records_.end() || found->second.member_.incarnation_ != aIncarnation) {
      return;
    }
    update = ToUpdate(found->second.member_);
    update.state_ = MemberState::Suspect;
    if (!MergeLocked(update)) {
      return;
    }
  }
  Tell(update);
}

void
Membership::Expire()
{
  std::vector<wire::MemberUpdate> dead;
  {
    std::lock_guard lock(mutex_);
    const TimePoint now = environment_.timers_.Now();
    std::erase_if(records_, [now](const auto& aEntry) {
      return !IsUsable(aEntry.second.member_.state_) && now - aEntry.second.since_ >= kForgetTime;
    });
    for (const auto& [id, record] : records_) {
      if (record.member_.state_ == MemberState::Suspect && now - record.since_ >= kSuspectTime) {
        dead.push_back(ToUpdate(record.member_));
        dead.back().state_ = MemberState::Dead;
      }
    }
    for (const wire::MemberUpdate& update : dead) {
      MergeLocked(update);
    }
  }
  for (const wire::MemberUpdate& update : dead) {
    Tell(update);
  }
}

void
Membership::RestartSuspicions()
{
  std::lock_guard lock(mutex_);
  for (auto& [id, record] : records_) {
    if (record.member_.state_ == MemberState::Suspect) {
      record.since_ = environment_.timers_.Now();
    }
  }
}

std::shared_ptr<const MemberView>
Membership::View() const
{
  std::lock_guard lock(mutex_);
  if (viewIsOld_) {
    RebuildLocked();
    viewIsOld_ = false;
  }
  return view_;
}

size_t
Membership::KnownCount() const
{
  std::lock_guard lock(mutex_);
  return records_.size();
}

wire::MemberUpdate
Membership::Self() const
{
  std::lock_guard lock(mutex_);
  return SelfLocked();
}

wire::MemberUpdate
Membership::SelfLocked() const
{
  return {
    self_.id_, self_.address_, self_.dataCentre_, incarnation_, leaving_ ? MemberState::Leaving : MemberState::Alive
  };
}

std::optional<Member>
Membership::Find(const InstanceId& aId) const
{
  std::lock_guard lock(mutex_);
  auto found = records_.find(aId);
  return found == records_.end() ? std::nullopt : std::optional(found->second.member_);
}

std::vector<Member>
Membership::DeadMembers() const
{
  std::lock_guard lock(mutex_);
  std::vector<Member> dead;
  for (const auto& [id, record] : records_) {
    if (record.member_.state_ == MemberState::Dead) {
      dead.push_back(record.member_);
    }
  }
  return dead;
}

void
Membership::RebuildLocked() const
{
  auto view = std::make_shared<MemberView>();
  view->members_.reserve(records_.size() + 1);
  for (const auto& [id, record] : records_) {
    if (IsUsable(record.member_.state_)) {
      view->members_.push_back(record.member_);
    }
  }
  if (!leaving_ && mayOwn_ && !replaced_) {
    const Member self{ self_.id_, self_.address_, self_.dataCentre_, incarnation_, MemberState::Alive };
    auto place = std::lower_bound(view->members_.begin(),
                                  view->members_.end(),
                                  self,
                                  [](const Member& aLeft, const Member& aRight) { return aLeft.id_ < aRight.id_; });
    view->members_.insert(place, self);
  }
  if (view_ && view_->members_ == view->members_) {
    return;
  }
  view->epoch_ = view_ ? view_->epoch_ + 1 : 1;
  view_ = std::move(view);
}

} // namespace ibisrock
