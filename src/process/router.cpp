#include "process/router.h"

#include "request/error_reply.h"

#include <algorithm>

namespace ibisrock {

namespace {

/// Part of the shared bound of extra arrivals that the instances use; the rest allows for requests that one of them
/// counts earlier or later than the targets do.
constexpr double kExtraReserve = 0.85;
/// Part of the slack of that bound that the instances may save up as tokens. In any window an instance sends at most
/// its saved tokens and what it earns in the window. The rest is for instances that restart with all their tokens.
constexpr double kSlackReserve = 0.75;
/// Time in which configuration and targets arrive at an instance that has just started.
constexpr Micros kRetryAfterStart = Millis(250);
/// Calls in flight to a target whose pool names no number of connections.
constexpr unsigned kDefaultLimit = 8;

RoutingContext
MakeContext(const RouterSettings& aSettings,
            TimerService& aTimers,
            Random& aRandom,
            TargetLink& aLink,
            TargetDirectory& aTargets,
            std::unordered_map<PoolName, PoolState>& aPools,
            AttemptLog* aLog)
{
  return { aTimers,
           aRandom,
           aLink,
           aTargets,
           aSettings.dataCentre_,
           aPools,
           kExtraReserve * aSettings.limits_.extraShare_,
           kSlackReserve * aSettings.limits_.extraSlack_,
           aLog,
           {} };
}

} // namespace

Router::Router(RouterSettings aSettings, TimerService& aTimers, Random& aRandom, TargetLink& aLink, RouterLog* aLog)
  : settings_(std::move(aSettings))
  , timers_(aTimers)
  , log_(aLog)
  , link_(aLink)
  , targets_(aTimers, [&aLink](const TargetName& aName) { aLink.Forget(aName); })
  , context_(MakeContext(settings_, aTimers, aRandom, aLink, targets_, pools_, aLog))
{
}

Router::~Router()
{
  for (auto& [id, active] : runs_) {
    active.run_->OnCallerLeft();
  }
}

void
Router::SetRoutes(std::shared_ptr<const RouteTable> aTable)
{
  if (table_ && aTable->Version() <= table_->Version()) {
    return;
  }
  table_ = std::move(aTable);
  ApplyLimits();
}

void
Router::ReplaceTargets(const std::vector<TargetRecord>& aRecords, bool aAfterOutage)
{
  targets_.Replace(aRecords, aAfterOutage);
  hasTargets_ = true;
  ApplyLimits();
}

void
Router::UpsertTarget(const TargetRecord& aRecord)
{
  targets_.Upsert(aRecord);
  for (const TargetPtr& target : targets_.TargetsOf(aRecord.pool_)) {
    ApplyLimit(target);
  }
  context_.Pool(aRecord.pool_).pendingCalls_.OnCapacityAvailable(timers_.Now());
}

void
Router::SetInstanceCount(size_t aCount)
{
  const size_t count = std::max<size_t>(aCount, 1);
  if (count == instances_) {
    return;
  }
  instances_ = count;
  ApplyBudgets();
  ApplyLimits();
}

void
Router::SetLimits(const RouterLimits& aLimits)
{
  settings_.limits_ = aLimits;
  ApplyBudgets();
}

/// Gives this instance its share of the bounds of extra arrivals.
void
Router::ApplyBudgets()
{
  context_.extraShare_ = kExtraReserve * settings_.limits_.extraShare_;
  context_.maxExtraTokens_ = kSlackReserve * settings_.limits_.extraSlack_ / static_cast<double>(instances_);
  for (auto& [name, pool] : pools_) {
    pool.extraBudget_.SetBounds(context_.extraShare_, context_.maxExtraTokens_);
  }
}

/// Gives the target this instance's share of the connections of its pool.
void
Router::ApplyLimit(const TargetPtr& aTarget) const
{
  const PoolRule* rule = table_ ? table_->FindPool(aTarget->Record().pool_) : nullptr;
  const unsigned share = rule != nullptr && rule->maxConnections_ > 0
                           ? rule->maxConnections_ / static_cast<unsigned>(instances_)
                           : kDefaultLimit;
  aTarget->SetMaxInFlight(std::max(share, 1U));
}

void
Router::ApplyLimits()
{
  targets_.ForEach([this](const TargetPtr& aTarget) { ApplyLimit(aTarget); });
  for (auto& [name, pool] : pools_) {
    pool.pendingCalls_.OnCapacityAvailable(timers_.Now());
  }
}

RunId
Router::Submit(std::shared_ptr<const CallerRequest> aRequest, OnReply aOnReply)
{
  if (!IsReady()) {
    Refuse(*aRequest, 503, Reason::NotReady, aOnReply);
    return RunId();
  }
  const Route* route = table_->Find(aRequest->host_, aRequest->target_);
  if (route == nullptr) {
    Refuse(*aRequest, discoveryCurrent_ ? 404 : 503, Reason::UnknownService, aOnReply);
    return RunId();
  }
  const AnswerTiming timing =
    ComputeAnswerTiming(*route, *aRequest, { settings_.limits_.callerDelay_, context_.replyLag_.ReservedTime() });
  if (timing.deadline_ <= timers_.Now()) {
    Refuse(*aRequest, 503, Reason::Expired, aOnReply);
    return RunId();
  }
  lastRun_ = lastRun_.Next();
  const RunId id = lastRun_;
  RouteState& state = routeStates_[route->name_];
  auto run = RoutedRun::Create({ context_, table_, *route, state, aRequest, timing },
                               [this, id](RunResult aEnd) { OnRunEnd(id, std::move(aEnd)); });
  RoutedRun& started = *run;
  runs_.emplace(id, ActiveRun{ std::move(run), std::move(aRequest), std::move(aOnReply) });
  started.Start();
  return id;
}

void
Router::Refuse(const CallerRequest& aRequest, unsigned aStatus, Reason aReason, const OnReply& aOnReply)
{
  if (log_ != nullptr) {
    log_->OnRefused(aRequest, aStatus, aReason, table_ ? table_->Version() : ConfigVersion());
  }
  CallerReply reply = MakeErrorReply(aStatus, aReason);
  if (aStatus == 503) {
    reply.retryAfter_ = kRetryAfterStart;
  }
  aOnReply(std::move(reply));
}

void
Router::OnRunEnd(RunId aRun, RunResult aEnd)
{
  auto found = runs_.find(aRun);
  ActiveRun active = std::move(found->second);
  runs_.erase(found);
  if (log_ != nullptr) {
    log_->OnRunEnded(*active.request_,
                     active.run_->MatchedRoute(),
                     active.run_->RouteTableVersion(),
                     aEnd,
                     timers_.Now() - active.request_->receivedAt_);
  }
  Retire(std::move(active.run_));
  active.onReply_(std::move(aEnd.reply_));
}

void
Router::OnCallerLeft(RunId aRun)
{
  auto found = runs_.find(aRun);
  if (found == runs_.end()) {
    return;
  }
  ActiveRun active = std::move(found->second);
  runs_.erase(found);
  active.run_->OnCallerLeft();
  if (log_ != nullptr) {
    log_->OnCallerLeft(*active.request_, active.run_->MatchedRoute(), timers_.Now() - active.request_->receivedAt_);
  }
  Retire(std::move(active.run_));
}

void
Router::Retire(std::unique_ptr<RoutedRun> aRun)
{
  if (retired_.empty()) {
    timers_.After(Micros::zero(), [this] { retired_.clear(); });
  }
  retired_.push_back(std::move(aRun));
}

void
Router::ExpireAll()
{
  std::vector<RunId> ids;
  for (const auto& [id, active] : runs_) {
    ids.push_back(id);
  }
  for (RunId id : ids) {
    auto found = runs_.find(id);
    if (found != runs_.end()) {
      found->second.run_->EndNow();
    }
  }
}

} // namespace ibisrock
