#include "process/router.h"

#include "request/error_reply.h"

#include <algorithm>

namespace ibisrock {

namespace {

/// Time constants of the latest and the usual rate of requests.
constexpr Micros kLatestRateTime = Seconds(5);
constexpr Micros kUsualRateTime = Seconds(30);
/// The reported rate of the fleet falls by at most this factor with each report, because relays that have just started
/// report too little.
constexpr double kFleetRateDecay = 0.97;
/// After the start neither the reported nor the own rate is known well.
constexpr Micros kRateSettleTime = Seconds(20);
/// Time over which instances return to a target that has turned them away.
constexpr Micros kPauseSpread = Millis(200);
/// Concurrency limit of a target whose pool does not set a maximum number of connections.
constexpr unsigned kDefaultConnectionLimit = 8;

RoutingContext
MakeRoutingContext(const RouterSettings& aSettings,
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
           ComputeExtraAttemptShare(aSettings.limits_.extraShare_,
                                    aSettings.limits_.extraSlack_,
                                    { .instances_ = 1, .hasJustStarted_ = true }),
           aLog,
           {},
           CrashWatch::Create(aTimers, aLink) };
}

} // namespace

Router::Router(RouterSettings aSettings, TimerService& aTimers, Random& aRandom, TargetLink& aLink, RouterLog* aLog)
  : settings_(std::move(aSettings))
  , timers_(aTimers)
  , log_(aLog)
  , link_(aLink)
  , targets_(aTimers, settings_.leavingUse_, [&aLink](const TargetName& aName) { aLink.Forget(aName); })
  , startedAt_(aTimers.Now())
  , latestRate_(kLatestRateTime)
  , usualRate_(kUsualRateTime)
  , context_(MakeRoutingContext(settings_, aTimers, aRandom, aLink, targets_, pools_, aLog))
  , warmer_(aTimers, aRandom, aLink, targets_, settings_.dataCentre_)
{
  link_.SetOnNotice([this](const TargetCall& aCall, const TargetNotice& aNotice) { OnNotice(aCall, aNotice); });
  firstBudgetWindow_ = timers_.After(kExtraAttemptWindow, [this] { OnFirstBudgetWindowPassed(); });
}

Router::~Router()
{
  timers_.Cancel(firstBudgetWindow_);
  link_.SetOnNotice(nullptr);
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
  warmer_.SetRoutes(*table_);
  ApplyConnectionLimits();
}

void
Router::ReplaceTargets(const std::vector<TargetRecord>& aRecords, bool aAfterOutage)
{
  targets_.Replace(aRecords, aAfterOutage);
  hasTargets_ = true;
  ApplyConnectionLimits();
}

std::vector<TargetRecord>
Router::KnownTargets() const
{
  std::vector<TargetRecord> records;
  records.reserve(targets_.Size());
  targets_.ForEach([&records](const TargetPtr& aTarget) { records.push_back(aTarget->Record()); });
  return records;
}

void
Router::UpsertTarget(const TargetRecord& aRecord)
{
  targets_.Upsert(aRecord);
  for (const TargetPtr& target : targets_.TargetsOf(aRecord.pool_)) {
    ApplyConnectionLimit(target);
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
  warmer_.SetInstanceCount(count);
  ApplyBudgets();
  ApplyConnectionLimits();
}

void
Router::SetFleetRate(PerSecond aRate)
{
  if (timers_.Now() - startedAt_ < kRateSettleTime) {
    return;
  }
  fleetRate_.value_ = std::max(aRate.value_, kFleetRateDecay * fleetRate_.value_);
  ApplyBudgets();
}

void
Router::SetLimits(const RouterLimits& aLimits)
{
  settings_.limits_ = aLimits;
  ApplyBudgets();
}

/// Sets the budgets of all pools to this instance's share of the bounds on extra arrivals.
void
Router::ApplyBudgets()
{
  const TimePoint now = timers_.Now();
  const ExtraAttemptShare share =
    ComputeExtraAttemptShare(settings_.limits_.extraShare_,
                             settings_.limits_.extraSlack_,
                             { instances_, fleetRate_, latestRate_.At(now), usualRate_.At(now), hasJustStarted_ });
  if (share == context_.extraShare_) {
    return;
  }
  context_.extraShare_ = share;
  for (auto& [name, pool] : pools_) {
    pool.extraBudget_.SetBounds(share.perAttempt_, share.maxTokens_);
  }
}

/// Acts at once on what a target says of itself; discovery tells it later, or not at all.
void
Router::OnNotice(const TargetCall& aCall, const TargetNotice& aNotice)
{
  TargetNotice notice = aNotice;
  if (notice.pause_) {
    // Instances that were turned away together do not return together.
    *notice.pause_ += Scale(kPauseSpread, context_.random_.Unit());
  }
  const std::optional<TimePoint> pauseEnd = targets_.TakeNotice(aCall, notice);
  if (!pauseEnd) {
    return;
  }
  if (log_ != nullptr) {
    log_->OnNotice(aCall, aNotice);
  }
  if (notice.pause_) {
    // The entry of the target may be missing now and be back then.
    timers_.After(*pauseEnd - timers_.Now(), [this, name = aCall.target_] {
      if (const TargetPtr target = targets_.Find(name)) {
        context_.Pool(target->Record().pool_).pendingCalls_.OnCapacityAvailable(timers_.Now());
      }
    });
  }
}

/// What an earlier process of this instance used of the fixed part of the bounds counts no more.
void
Router::OnFirstBudgetWindowPassed()
{
  hasJustStarted_ = false;
  ApplyBudgets();
  for (auto& [name, pool] : pools_) {
    pool.extraBudget_.Fill();
  }
}

/// Limits the calls in flight to the target to this instance's share of the connections of its pool.
void
Router::ApplyConnectionLimit(const TargetPtr& aTarget) const
{
  const PoolRule* rule = table_ ? table_->FindPool(aTarget->Record().pool_) : nullptr;
  const unsigned share = rule != nullptr && rule->maxConnections_ > 0
                           ? rule->maxConnections_ / static_cast<unsigned>(instances_)
                           : kDefaultConnectionLimit;
  aTarget->SetMaxInFlight(std::max(share, 1U));
}

void
Router::ApplyConnectionLimits()
{
  targets_.ForEach([this](const TargetPtr& aTarget) { ApplyConnectionLimit(aTarget); });
  for (auto& [name, pool] : pools_) {
    pool.pendingCalls_.OnCapacityAvailable(timers_.Now());
  }
}

RunId
Router::Submit(std::shared_ptr<const CallerRequest> aRequest, OnReply aOnReply)
{
  latestRate_.Count(timers_.Now());
  usualRate_.Count(timers_.Now());
  if (isRefusing_) {
    // The caller's next connection goes to another instance, which can serve it at once.
    Refuse(*aRequest, 503, Reason::Draining, aOnReply, Micros::zero());
    return RunId();
  }
  if (!IsReady()) {
    Refuse(*aRequest, 503, Reason::NotReady, aOnReply);
    return RunId();
  }
  const Route* route = table_->Find(aRequest->host_, aRequest->target_);
  if (route == nullptr) {
    Refuse(*aRequest, discoveryCurrent_ ? 404 : 503, Reason::UnknownService, aOnReply);
    return RunId();
  }
  const CrashPrecaution precaution = context_.crashes_->History().Check(*aRequest);
  if (precaution == CrashPrecaution::Refuse) {
    Refuse(*aRequest, 503, Reason::CrashSuspect, aOnReply, context_.crashes_->History().RefusedFor(*aRequest));
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
  auto run = RoutedRun::Create({ context_, table_, *route, state, aRequest, timing, precaution },
                               [this, id](RunResult aEnd) { OnRunEnd(id, std::move(aEnd)); });
  RoutedRun& started = *run;
  runs_.emplace(id, ActiveRun{ std::move(run), std::move(aRequest), std::move(aOnReply) });
  started.Start();
  return id;
}

void
Router::Refuse(const CallerRequest& aRequest,
               unsigned aStatus,
               Reason aReason,
               const OnReply& aOnReply,
               Micros aRetryAfter)
{
  if (log_ != nullptr) {
    log_->OnRefused(aRequest, aStatus, aReason, table_ ? table_->Version() : ConfigVersion());
  }
  CallerReply reply = MakeErrorReply(aStatus, aReason);
  if (aStatus == 503) {
    reply.retryAfter_ = aRetryAfter;
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
  DestroyLater(std::move(active.run_));
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
  DestroyLater(std::move(active.run_));
}

void
Router::DestroyLater(std::unique_ptr<RoutedRun> aRun)
{
  if (endedRuns_.empty()) {
    timers_.After(Micros::zero(), [this] { endedRuns_.clear(); });
  }
  endedRuns_.push_back(std::move(aRun));
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
