#include "process/membership.h"

#include <algorithm>

namespace ibisrock {

namespace {

constexpr Micros kRefreshPeriod = Seconds(1);

} // namespace

Membership::Membership(InstanceIdentity aSelf, Environment aEnvironment)
  : self_(std::move(aSelf))
  , environment_(aEnvironment)
{
  Apply({});
}

void
Membership::Start()
{
  Refresh();
}

void
Membership::Leave()
{
  {
    std::lock_guard lock(mutex_);
    leaving_ = true;
  }
  Refresh();
}

std::shared_ptr<const MemberView>
Membership::View() const
{
  std::lock_guard lock(mutex_);
  return view_;
}

void
Membership::Refresh()
{
  environment_.instances_.Fetch([this](const std::optional<std::vector<ListedInstance>>& aListed) {
    if (aListed) {
      Apply(*aListed);
    }
  });
  environment_.timers_.After(kRefreshPeriod, [this] { Refresh(); });
}

void
Membership::Apply(const std::vector<ListedInstance>& aListed)
{
  std::lock_guard lock(mutex_);
  auto view = std::make_shared<MemberView>();
  for (const ListedInstance& listed : aListed) {
    if (!listed.leaving_ && listed.id_ != self_.id_) {
      view->members_.push_back({ listed.id_, listed.address_, listed.dataCentre_, Incarnation(), MemberState::Alive });
    }
  }
  if (!leaving_) {
    view->members_.push_back({ self_.id_, self_.address_, self_.dataCentre_, self_.incarnation_, MemberState::Alive });
  }
  std::sort(view->members_.begin(), view->members_.end(), [](const Member& aLeft, const Member& aRight) {
    return aLeft.id_ < aRight.id_;
  });
  if (view_ && view_->members_ == view->members_) {
    return;
  }
  view->epoch_ = view_ ? view_->epoch_ + 1 : 1;
  view_ = std::move(view);
}

} // namespace ibisrock
