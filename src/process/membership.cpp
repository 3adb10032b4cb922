#include "process/membership.h"

#include <algorithm>
#include <utility>

namespace ibisrock {

namespace {

constexpr Micros kSuspicionTimeout = Seconds(3);
/// Time for which a dead or leaving member is kept. Partitions between regions last minutes, so a dead member must be
/// probed for longer than that.
constexpr Micros kInactiveRetention = Seconds(3600);
/// Log lines per period: enough for one per instance when a rack is lost, truncated when a whole data centre is lost.
constexpr unsigned kMaxLogLines = 40;
constexpr size_t kStateCount = static_cast<size_t>(MemberState::Dead) + 1;

wire::MemberUpdate
ToUpdate(const Member& aMember)
{
  return { aMember.id_, aMember.address_, aMember.dataCentre_, aMember.incarnation_, aMember.state_ };
}

bool
IsActive(MemberState aState)
{
  return aState == MemberState::Alive || aState == MemberState::Suspect;
}

} // namespace

Membership::Membership(InstanceIdentity aSelf, Environment aEnvironment)
  : self_(std::move(aSelf))
  , environment_(aEnvironment)
  , log_(aEnvironment.timers_, aEnvironment.logs_, "membership", kStateCount, kMaxLogLines)
  , incarnation_(self_.incarnation_)
{
}

void
Membership::SetAnnounceCallback(AnnounceCallback aCallback)
{
  announceCallback_ = std::move(aCallback);
}

void
Membership::Announce(const wire::MemberUpdate& aUpdate) const
{
  if (announceCallback_) {
    announceCallback_(aUpdate);
  }
}

/// Logs members that died, are leaving or came back. New members and suspicions are not logged.
void
Membership::LogChanges(const std::vector<Change>& aChanges)
{
  for (const Change& change : aChanges) {
    const Member& member = change.member_;
    const std::optional<MemberState>& before = change.before_;
    const bool isBack = before && !IsActive(*before) && IsActive(member.state_);
    if (!before || (!isBack && IsActive(member.state_))) {
      continue;
    }
    const bool isDead = member.state_ == MemberState::Dead;
    const char* state = isBack ? " is back" : isDead ? " is dead" : " is leaving";
    log_.Write(isDead ? LogLevel::Warning : LogLevel::Info, static_cast<size_t>(member.state_), [&member, state] {
      return "instance " + member.id_.Value() + " at " + member.address_.Value() + state;
    });
  }
}

void
Membership::Leave()
{
  {
    std::lock_guard lock(mutex_);
    leaving_ = true;
    viewIsStale_ = true;
  }
  Announce(Self());
}

void
Membership::SetEligibleOwner(bool aIsEligible)
{
  std::lock_guard lock(mutex_);
  isEligibleOwner_ = aIsEligible;
  viewIsStale_ = true;
}

bool
Membership::Merge(const wire::MemberUpdate& aUpdate)
{
  std::optional<wire::MemberUpdate> refutation;
  std::vector<Change> changes;
  bool isNewState = false;
  {
    std::lock_guard lock(mutex_);
    if (aUpdate.id_ != self_.id_) {
      isNewState = MergeLocked(aUpdate, changes);
    } else {
      refutation = RefuteLocked(aUpdate);
    }
  }
  if (refutation) {
    Announce(*refutation);
  }
  LogChanges(changes);
  return isNewState;
}

/// A higher incarnation takes precedence; within one incarnation, the later state in the order of MemberState does.
bool
Membership::MergeLocked(const wire::MemberUpdate& aUpdate, std::vector<Change>& aChanges)
{
  auto [found, isNew] = records_.try_emplace(aUpdate.id_);
  Member& known = found->second.member_;
  if (!isNew && std::pair(aUpdate.incarnation_, aUpdate.state_) <= std::pair(known.incarnation_, known.state_)) {
    return false;
  }
  const auto before = isNew ? std::nullopt : std::optional(known.state_);
  known = { aUpdate.id_, aUpdate.address_, aUpdate.dataCentre_, aUpdate.incarnation_, aUpdate.state_ };
  found->second.stateSince_ = environment_.timers_.Now();
  viewIsStale_ = true;
  aChanges.push_back({ known, before });
  return true;
}

/// Raises the incarnation above the one known to peers. A higher incarnation at another address belongs to a later
/// process with the same id and must not be refuted.
std::optional<wire::MemberUpdate>
Membership::RefuteLocked(const wire::MemberUpdate& aUpdate)
{
  const wire::MemberUpdate self = SelfLocked();
  if (aUpdate.incarnation_ < incarnation_ || (aUpdate.incarnation_ == incarnation_ && aUpdate.state_ <= self.state_)) {
    return std::nullopt;
  }
  if (aUpdate.address_ != self_.address_) {
    replaced_ = true;
    viewIsStale_ = true;
    return std::nullopt;
  }
  incarnation_ = aUpdate.incarnation_.Next();
  viewIsStale_ = true;
  return SelfLocked();
}

void
Membership::Suspect(const InstanceId& aId, Incarnation aIncarnation)
{
  wire::MemberUpdate update;
  std::vector<Change> changes;
  {
    std::lock_guard lock(mutex_);
    auto found = records_.find(aId);
    if (found == records_.end() || found->second.member_.incarnation_ != aIncarnation) {
      return;
    }
    update = ToUpdate(found->second.member_);
    update.state_ = MemberState::Suspect;
    if (!MergeLocked(update, changes)) {
      return;
    }
  }
  Announce(update);
  LogChanges(changes);
}

void
Membership::ExpireMembers()
{
  std::vector<wire::MemberUpdate> dead;
  std::vector<Change> changes;
  {
    std::lock_guard lock(mutex_);
    const TimePoint now = environment_.timers_.Now();
    std::erase_if(records_, [now](const auto& aEntry) {
      return !IsActive(aEntry.second.member_.state_) && now - aEntry.second.stateSince_ >= kInactiveRetention;
    });
    for (const auto& [id, record] : records_) {
      if (record.member_.state_ == MemberState::Suspect && now - record.stateSince_ >= kSuspicionTimeout) {
        dead.push_back(ToUpdate(record.member_));
        dead.back().state_ = MemberState::Dead;
      }
    }
    for (const wire::MemberUpdate& update : dead) {
      MergeLocked(update, changes);
    }
  }
  for (const wire::MemberUpdate& update : dead) {
    Announce(update);
  }
  LogChanges(changes);
}

void
Membership::RestartSuspicionTimers()
{
  std::lock_guard lock(mutex_);
  for (auto& [id, record] : records_) {
    if (record.member_.state_ == MemberState::Suspect) {
      record.stateSince_ = environment_.timers_.Now();
    }
  }
}

std::shared_ptr<const MemberView>
Membership::View() const
{
  std::lock_guard lock(mutex_);
  if (viewIsStale_) {
    RebuildViewLocked();
    viewIsStale_ = false;
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
Membership::KnownMembers() const
{
  std::lock_guard lock(mutex_);
  std::vector<Member> known;
  known.reserve(records_.size());
  for (const auto& [id, record] : records_) {
    known.push_back(record.member_);
  }
  return known;
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
Membership::RebuildViewLocked() const
{
  auto view = std::make_shared<MemberView>();
  view->members_.reserve(records_.size() + 1);
  for (const auto& [id, record] : records_) {
    if (IsActive(record.member_.state_)) {
      view->members_.push_back(record.member_);
    }
  }
  if (!leaving_ && isEligibleOwner_ && !replaced_) {
    const Member self{ self_.id_, self_.address_, self_.dataCentre_, incarnation_, MemberState::Alive };
    auto position = std::lower_bound(view->members_.begin(),
                                     view->members_.end(),
                                     self,
                                     [](const Member& aLeft, const Member& aRight) { return aLeft.id_ < aRight.id_; });
    view->members_.insert(position, self);
  }
  if (view_ && view_->members_ == view->members_) {
    return;
  }
  view->epoch_ = view_ ? view_->epoch_ + 1 : 1;
  view_ = std::move(view);
}

} // namespace ibisrock
