#include "base/hashing.h"
#include "fakes/explorer.h"
#include "fakes/step_platform.h"
#include "process/idempotency.h"
#include "version/apply.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <iostream>
#include <memory>
#include <optional>
#include <set>
#include <sstream>

namespace ibisrock {
namespace {

using fakes::Choices;
using fakes::Exploration;
using fakes::ModelRun;
using fakes::StepBounds;
using fakes::StepPlatform;

/// Explores a model, records the size of the exploration and prints the choices of a failure.
Exploration
ExploreAndRecord(const ModelRun& aRun)
{
  Exploration exploration = fakes::Explore(aRun);
  testing::Test::RecordProperty("runs", std::to_string(exploration.runs_));
  testing::Test::RecordProperty("states", std::to_string(exploration.states_));
  std::cout << "explored " << exploration.runs_ << " runs, " << exploration.states_ << " states\n";
  if (!exploration.failure_.empty()) {
    std::cout << "failing choices " << fakes::ToText(exploration.choices_) << "\n" << exploration.failure_ << "\n";
  }
  return exploration;
}

// ---- A keyed request sent to two instances ----

/// The part of a keeper that a model drives.
class Keeper
{
public:
  using ClaimCallback = std::function<void(KeyClaimResult)>;

  virtual ~Keeper() = default;
  virtual void Claim(const Query& aQuery, const RequestId& aRequest, ClaimCallback aCallback) = 0;
  virtual void Finish(const KeyClaim& aClaim, const Answer& aAnswer) = 0;
};

class RealKeeper final : public Keeper
{
public:
  RealKeeper(TimerService& aTimers, ObjectStore& aStore)
    : keeper_(aTimers, aStore)
  {
  }

  void Claim(const Query& aQuery, const RequestId& aRequest, ClaimCallback aCallback) override
  {
    keeper_.Claim(aQuery, aRequest, std::move(aCallback));
  }
  void Finish(const KeyClaim& aClaim, const Answer& aAnswer) override { keeper_.Finish(aClaim, aAnswer); }

private:
  IdempotencyManager keeper_;
};

/// Claims by one write and takes the outcomes in aClaiming for success.
class WrongKeeper : public Keeper
{
public:
  WrongKeeper(ObjectStore& aStore, std::set<StoreOutcome> aClaiming, Verdict aRefusal = Verdict::MayHaveRun)
    : store_(aStore)
    , claiming_(std::move(aClaiming))
  {
    refusal_.verdict_ = aRefusal;
  }

  void Claim(const Query& aQuery, const RequestId& aRequest, ClaimCallback aCallback) override
  {
    KeyClaim claim;
    claim.object_ = IdempotencyRecordKey(aQuery.service_, aQuery.caller_, aQuery.key_);
    claim.record_.claim_ = ToString(aRequest);
    store_.Put(claim.object_,
               EncodeIdempotencyRecord(claim.record_),
               StoreRevision(),
               [this, claim, aCallback](const StoreResult& aR) {
                 if (claiming_.contains(aR.outcome_)) {
                   aCallback({ claim, std::nullopt });
                 } else {
                   aCallback({ std::nullopt, refusal_ });
                 }
               });
  }
  void Finish(const KeyClaim&, const Answer&) override {}

private:
  ObjectStore& store_;
  const std::set<StoreOutcome> claiming_;
  Answer refusal_;
};

/// Frees the key of a request that did not run by a write that expects whatever revision it has just read.
class ForgetfulKeeper final : public Keeper
{
public:
  ForgetfulKeeper(TimerService& aTimers, ObjectStore& aStore)
    : real_(aTimers, aStore)
    , store_(aStore)
  {
  }

  void Claim(const Query& aQuery, const RequestId& aRequest, ClaimCallback aCallback) override
  {
    real_.Claim(aQuery, aRequest, std::move(aCallback));
  }
  void Finish(const KeyClaim& aClaim, const Answer& aAnswer) override
  {
    if (aAnswer.verdict_ != Verdict::NotRun) {
      real_.Finish(aClaim, aAnswer);
      return;
    }
    IdempotencyRecord record = aClaim.record_;
    record.state_ = IdempotencyState::Released;
    Release(aClaim.object_, EncodeIdempotencyRecord(record), 2);
  }

private:
  void Release(const std::string& aObject, const std::string& aText, unsigned aTries)
  {
    store_.Get(aObject, [this, aObject, aText, aTries](const StoreResult& aRead) {
      store_.Put(aObject, aText, aRead.revision_, [this, aObject, aText, aTries](const StoreResult& aResult) {
        if (aResult.outcome_ != StoreOutcome::Ok && aTries > 1) {
          Release(aObject, aText, aTries - 1);
        }
      });
    });
  }

  RealKeeper real_;
  ObjectStore& store_;
};

using MakeKeeper = std::function<std::unique_ptr<Keeper>(TimerService&, ObjectStore&)>;

/// Two instances that receive one keyed request: the first one a second time after it has answered, as when the caller
/// lost that answer.
class KeyedRequestModel
{
public:
  KeyedRequestModel(Choices& aChoices, const StepBounds& aBounds, const MakeKeeper& aMake);

  std::string Run();

private:
  static constexpr size_t kInstances = 2;

  static Query MakeQuery();
  std::string Observation() const;
  void Submit(size_t aInstance);
  void OnDecision(size_t aInstance, const RequestId& aRequest, const KeyClaimResult& aDecision);
  void OnAnswer(size_t aInstance, const RequestId& aRequest, const Answer& aAnswer);
  void Fail(const std::string& aText);
  void CheckEnd();

  StepPlatform platform_;
  std::vector<std::unique_ptr<Keeper>> keepers_;
  std::vector<unsigned> submissions_;
  std::vector<unsigned> answers_;
  std::set<RequestId> ran_;
  std::set<RequestId> saidNotRun_;
  std::string failure_;
};

KeyedRequestModel::KeyedRequestModel(Choices& aChoices, const StepBounds& aBounds, const MakeKeeper& aMake)
  : platform_(aChoices, kInstances, aBounds)
  , submissions_(kInstances)
  , answers_(kInstances)
{
  platform_.SetObservation([this] { return Observation(); });
  for (size_t instance = 0; instance < kInstances; instance++) {
    keepers_.push_back(aMake(platform_.TimersOf(instance), platform_.StoreOf(instance)));
  }
}

std::string
KeyedRequestModel::Observation() const
{
  std::string text;
  for (size_t instance = 0; instance < kInstances; instance++) {
    text += std::to_string(submissions_[instance]) + "/" + std::to_string(answers_[instance]) + " ";
  }
  for (const RequestId& request : ran_) {
    text += "ran " + ToString(request) + " ";
  }
  for (const RequestId& request : saidNotRun_) {
    text += "not run " + ToString(request) + " ";
  }
  return text;
}

Query
KeyedRequestModel::MakeQuery()
{
  Query query;
  query.service_ = ServiceName("bestelbalie");
  query.caller_ = CallerName("desk/1");
  query.body_ = "book";
  query.idempotent_ = false;
  query.key_ = IdempotencyKey("order 418");
  return query;
}

void
KeyedRequestModel::Fail(const std::string& aText)
{
  if (failure_.empty()) {
    failure_ = aText + "\n" + platform_.Log();
  }
}

void
KeyedRequestModel::Submit(size_t aInstance)
{
  const RequestId id{ InstanceId("entry-" + std::to_string(aInstance)), Incarnation(1), ++submissions_[aInstance] };
  keepers_[aInstance]->Claim(
    MakeQuery(), id, [this, aInstance, id](const KeyClaimResult& aDecision) { OnDecision(aInstance, id, aDecision); });
}

/// Runs the request if it was claimed. The run is refused by the target or takes place; both end it at once, because
/// nobody but the target sees it.
void
KeyedRequestModel::OnDecision(size_t aInstance, const RequestId& aRequest, const KeyClaimResult& aDecision)
{
  if (!aDecision.claim_) {
    OnAnswer(aInstance, aRequest, *aDecision.answer_);
    return;
  }
  Answer answer;
  answer.request_ = aRequest;
  answer.verdict_ = platform_.ChooseFor(aInstance, 2) == 0 ? Verdict::Ran : Verdict::NotRun;
  if (answer.verdict_ == Verdict::Ran) {
    ran_.insert(aRequest);
  }
  keepers_[aInstance]->Finish(*aDecision.claim_, answer);
  OnAnswer(aInstance, aRequest, answer);
}

void
KeyedRequestModel::OnAnswer(size_t aInstance, const RequestId& aRequest, const Answer& aAnswer)
{
  answers_[aInstance]++;
  if (aAnswer.verdict_ == Verdict::NotRun) {
    saidNotRun_.insert(aRequest);
    if (!ran_.empty()) {
      Fail("a submission is said to be not run, but an earlier one under its key has run");
    }
  }
  if (aAnswer.verdict_ == Verdict::Ran && ran_.empty()) {
    Fail("an answer says that the request ran, but it did not");
  }
  if (ran_.size() > 1) {
    Fail("the request ran twice");
  }
  for (const RequestId& request : saidNotRun_) {
    if (ran_.contains(request)) {
      Fail("a request that was said to be not run has run");
    }
  }
  if (aInstance == 0 && submissions_[0] == 1) {
    Submit(0);
  }
}

/// Every submission at an instance that did not stop is answered once.
void
KeyedRequestModel::CheckEnd()
{
  for (size_t instance = 0; instance < kInstances; instance++) {
    if (!platform_.HasStopped(instance) && answers_[instance] != submissions_[instance]) {
      Fail("a submission was not answered once");
    }
  }
}

std::string
KeyedRequestModel::Run()
{
  for (size_t instance = 0; instance < kInstances; instance++) {
    Submit(instance);
  }
  while (failure_.empty() && platform_.Step()) {
  }
  if (platform_.IsAtEnd()) {
    CheckEnd();
  }
  return failure_;
}

ModelRun
KeyedRequest(const StepBounds& aBounds, const MakeKeeper& aMake)
{
  return [aBounds, aMake](Choices& aChoices) { return KeyedRequestModel(aChoices, aBounds, aMake).Run(); };
}

std::unique_ptr<Keeper>
MakeRealKeeper(TimerService& aTimers, ObjectStore& aStore)
{
  return std::make_unique<RealKeeper>(aTimers, aStore);
}

constexpr StepBounds kTwoFaults{ 2, 0 };
constexpr StepBounds kFaultAndStop{ 1, 1 };
constexpr StepBounds kOneFault{ 1, 0 };

struct KeyedCase
{
  const char* name_;
  StepBounds bounds_;
};

class ExploreKeyedRequest : public testing::TestWithParam<KeyedCase>
{};

// Guards against a second run, and against "not run" about a request that runs, in any order of the store's effects,
// faults and stops within the bounds.
TEST_P(ExploreKeyedRequest, RunsAtMostOnce)
{
  const Exploration exploration = ExploreAndRecord(KeyedRequest(GetParam().bounds_, MakeRealKeeper));
  EXPECT_EQ(exploration.failure_, "");
}

INSTANTIATE_TEST_SUITE_P(Bounds,
                         ExploreKeyedRequest,
                         testing::Values(KeyedCase{ "TwoFaults", kTwoFaults },
                                         KeyedCase{ "FaultAndStop", kFaultAndStop }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

struct WrongKeeperCase
{
  const char* name_;
  /// Part of the failure that the explorer must find.
  const char* failure_;
  MakeKeeper make_;
};

class ExploreWrongKeeper : public testing::TestWithParam<WrongKeeperCase>
{};

// Guards against an explorer that passes over faults: each wrong keeper must be rejected, also when the printed choices
// are replayed alone.
TEST_P(ExploreWrongKeeper, IsRejected)
{
  const ModelRun model = KeyedRequest(kTwoFaults, GetParam().make_);
  const Exploration exploration = ExploreAndRecord(model);
  EXPECT_NE(exploration.failure_.find(GetParam().failure_), std::string::npos);
  EXPECT_EQ(fakes::Replay(model, exploration.choices_), exploration.failure_);
}

INSTANTIATE_TEST_SUITE_P(
  Variants,
  ExploreWrongKeeper,
  testing::Values(
    WrongKeeperCase{
      "RunsAfterUnknownClaim",
      "ran twice",
      [](TimerService&, ObjectStore& aStore) {
        return std::make_unique<WrongKeeper>(aStore, std::set{ StoreOutcome::Ok, StoreOutcome::Unknown });
      } },
    WrongKeeperCase{
      "RunsWithoutStore",
      "ran twice",
      [](TimerService&, ObjectStore& aStore) {
        return std::make_unique<WrongKeeper>(aStore, std::set{ StoreOutcome::Ok, StoreOutcome::Unavailable });
      } },
    WrongKeeperCase{ "SaysNotRunWithoutRecord",
                     "said to be not run",
                     [](TimerService&, ObjectStore& aStore) {
                       return std::make_unique<WrongKeeper>(aStore, std::set{ StoreOutcome::Ok }, Verdict::NotRun);
                     } },
    WrongKeeperCase{
      "ReleasesWithoutCondition",
      "ran twice",
      [](TimerService& aTimers, ObjectStore& aStore) { return std::make_unique<ForgetfulKeeper>(aTimers, aStore); } }),
  [](const auto& aInfo) { return aInfo.param.name_; });

// ---- Three operators ----

/// A sheet of one service, whose limit tells sheets apart.
Sheet
MakeSheet(int aLimit)
{
  std::ostringstream out;
  out << "service,a,latency,1000,300," << aLimit << ",64,1\nshard,a,s0\ntarget,a,s0,a0,10.0.0.1:81,dc,2,25,6\n";
  std::vector<SheetFault> faults;
  return ParseSheet(out.str(), faults).value();
}

using Applier =
  std::function<void(ObjectStore&, TimerService&, const Sheet&, const ApplyOptions&, std::function<void(ApplyResult)>)>;

/// The sheets of the operators: two different ones and a copy of the first. aBase is the version on which all are
/// based; without it each is based on what it reads first.
struct ApplyPlan
{
  std::vector<Sheet> sheets_;
  std::optional<ConfigVersion> base_;
};

class ApplyModel
{
public:
  ApplyModel(Choices& aChoices, const StepBounds& aBounds, const ApplyPlan& aPlan, const Applier& aApply);

  std::string Run();

private:
  std::string IdOf(size_t aOperator) const { return "operator-" + std::to_string(aOperator); }
  std::string Observation() const;
  void Begin(size_t aOperator);
  void Fail(const std::string& aText);
  Manifest ReadHead();
  void CheckHead(const Manifest& aHead);
  void CheckResults(const Manifest& aHead);
  void CheckAccepted(const Manifest& aHead, size_t aOperator);
  void CheckEnd();

  const ApplyPlan& plan_;
  const Applier& apply_;
  StepPlatform platform_;
  std::vector<std::optional<ApplyResult>> results_;
  /// The head at the time of each result.
  std::vector<Manifest> headsAtResult_;
  std::string headText_;
  Manifest lastHead_;
  std::string failure_;
};

ApplyModel::ApplyModel(Choices& aChoices, const StepBounds& aBounds, const ApplyPlan& aPlan, const Applier& aApply)
  : plan_(aPlan)
  , apply_(aApply)
  , platform_(aChoices, aPlan.sheets_.size(), aBounds)
  , results_(aPlan.sheets_.size())
  , headsAtResult_(aPlan.sheets_.size())
{
  platform_.SetObservation([this] { return Observation(); });
}

void
ApplyModel::Fail(const std::string& aText)
{
  if (failure_.empty()) {
    failure_ = aText + "\n" + platform_.Log();
  }
}

std::string
ApplyModel::Observation() const
{
  std::string text;
  for (const auto& result : results_) {
    text += result ? std::to_string(static_cast<int>(result->outcome_)) + "/" + std::to_string(result->version_.Value())
                   : "none";
    text += " ";
  }
  return text;
}

void
ApplyModel::Begin(size_t aOperator)
{
  apply_(platform_.StoreOf(aOperator),
         platform_.TimersOf(aOperator),
         plan_.sheets_[aOperator],
         { IdOf(aOperator), plan_.base_ },
         [this, aOperator](ApplyResult aResult) {
           if (results_[aOperator]) {
             Fail("an operator was told two results");
           }
           results_[aOperator] = std::move(aResult);
           headsAtResult_[aOperator] = ReadHead();
         });
}

/// The head in the store; version none when there is none.
Manifest
ApplyModel::ReadHead()
{
  const std::string text = platform_.ValueOf(kConfigHeadKey);
  if (text == headText_) {
    return lastHead_;
  }
  LastReason reason;
  auto head = DecodeManifest(text, reason);
  if (!head) {
    Fail("the head cannot be read: " + reason.Text());
    return lastHead_;
  }
  CheckHead(*head);
  headText_ = text;
  lastHead_ = *head;
  return lastHead_;
}

/// The head is the one before it, or the next version, which adds one entry and whose parts are all stored.
void
ApplyModel::CheckHead(const Manifest& aHead)
{
  std::vector<ManifestEntry> before = aHead.history_;
  if (before.empty()) {
    Fail("the head has no history");
    return;
  }
  const ManifestEntry entry = before.back();
  before.pop_back();
  if (aHead.version_ != lastHead_.version_.Next() || before != lastHead_.history_) {
    Fail("the head does not continue the version before it");
  }
  if (entry.version_ != aHead.version_ || entry.sheetHash_ != aHead.sheetHash_) {
    Fail("the head's last entry is not its own");
  }
  for (const auto& [service, hash] : aHead.partHashes_) {
    if (platform_.ValueOf(PartKey(hash)).empty()) {
      Fail("a part of the head is not stored");
    }
  }
}

/// No operator's sheet becomes two versions, and what operators were told holds from then on.
void
ApplyModel::CheckResults(const Manifest& aHead)
{
  for (size_t index = 0; index < results_.size(); index++) {
    const auto accepted =
      std::count_if(aHead.history_.begin(), aHead.history_.end(), [this, index](const ManifestEntry& aEntry) {
        return aEntry.applyId_ == IdOf(index);
      });
    if (accepted > 1) {
      Fail("one apply made two versions");
    }
    if (!results_[index]) {
      continue;
    }
    const ApplyOutcome outcome = results_[index]->outcome_;
    if (outcome == ApplyOutcome::Accepted || outcome == ApplyOutcome::Unchanged) {
      CheckAccepted(aHead, index);
    } else if (outcome != ApplyOutcome::Unknown && accepted > 0) {
      Fail("an operator was told that nothing was changed, but the sheet was accepted");
    }
  }
}

void
ApplyModel::CheckAccepted(const Manifest& aHead, size_t aOperator)
{
  const ApplyResult& result = *results_[aOperator];
  const bool own = result.outcome_ == ApplyOutcome::Accepted;
  const bool found = std::any_of(aHead.history_.begin(), aHead.history_.end(), [&](const ManifestEntry& aEntry) {
    return aEntry.version_ == result.version_ && (!own || aEntry.applyId_ == IdOf(aOperator));
  });
  if (!found) {
    Fail("an operator was told of a version that is not in the chain");
  }
  std::map<ServiceName, std::string> hashes;
  for (const auto& [name, service] : plan_.sheets_[aOperator].services_) {
    hashes[name] = ContentHash(EncodeService(service));
  }
  const Manifest& then = headsAtResult_[aOperator];
  if (!own && (then.version_ != result.version_ || then.partHashes_ != hashes)) {
    Fail("an operator was told that the sheet is in force, but it is not");
  }
}

void
ApplyModel::CheckEnd()
{
  for (size_t index = 0; index < results_.size(); index++) {
    if (!platform_.HasStopped(index) && !results_[index]) {
      Fail("an operator was told no result");
    }
  }
}

std::string
ApplyModel::Run()
{
  for (size_t index = 0; index < plan_.sheets_.size(); index++) {
    Begin(index);
  }
  while (failure_.empty() && platform_.Step()) {
    CheckResults(ReadHead());
  }
  if (platform_.IsAtEnd()) {
    CheckEnd();
  }
  return failure_;
}

ModelRun
ThreeOperators(const StepBounds& aBounds, const ApplyPlan& aPlan, const Applier& aApply)
{
  return [aBounds, aPlan, aApply](Choices& aChoices) { return ApplyModel(aChoices, aBounds, aPlan, aApply).Run(); };
}

struct BaseCase
{
  const char* name_;
  std::optional<ConfigVersion> base_;
  StepBounds bounds_;
};

class ExploreApply : public testing::TestWithParam<BaseCase>
{};

// Guards against a chain of versions that forks or goes back, and against "accepted", "unchanged" or "nothing was
// changed" that is not true, in any order of the store's effects, faults and kills within the bounds.
TEST_P(ExploreApply, MakesOneChainOfVersions)
{
  const ApplyPlan plan{ { MakeSheet(1), MakeSheet(2), MakeSheet(1) }, GetParam().base_ };
  const Exploration exploration = ExploreAndRecord(ThreeOperators(GetParam().bounds_, plan, ApplySheet));
  EXPECT_EQ(exploration.failure_, "");
}

INSTANTIATE_TEST_SUITE_P(Bases,
                         ExploreApply,
                         testing::Values(BaseCase{ "None", std::nullopt, kOneFault },
                                         BaseCase{ "Named", ConfigVersion(0), kFaultAndStop }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

/// An apply without repeats: it writes the head once, under a condition or none, and takes some outcomes for success.
void
ApplyWrongly(bool aBlindly,
             const std::set<StoreOutcome>& aAccepting,
             ObjectStore& aStore,
             const Sheet& aSheet,
             const ApplyOptions& aOptions,
             const std::function<void(ApplyResult)>& aCallback)
{
  const auto& service = aSheet.services_.begin()->second;
  const std::string text = EncodeService(service);
  const std::string hash = ContentHash(text);
  const auto write = [=, &aStore](const StoreResult& aRead, StoreRevision aExpected) {
    LastReason reason;
    Manifest next = DecodeManifest(aRead.value_, reason).value_or(Manifest());
    next.version_ = next.version_.Next();
    next.partHashes_ = { { service.name_, hash } };
    next.sheetHash_ = SheetHash(next.partHashes_);
    next.history_.push_back({ next.version_, next.sheetHash_, aOptions.applyId_ });
    aStore.Put(kConfigHeadKey, EncodeManifest(next), aExpected, [=](const StoreResult& aResult) {
      const bool accepted = aAccepting.contains(aResult.outcome_);
      aCallback({ accepted ? ApplyOutcome::Accepted : ApplyOutcome::Failed, next.version_, {}, {} });
    });
  };
  aStore.Put(PartKey(hash), text, StoreRevision(), [=, &aStore](const StoreResult&) {
    aStore.Get(kConfigHeadKey, [=, &aStore](const StoreResult& aRead) {
      if (!aBlindly) {
        write(aRead, aRead.revision_);
        return;
      }
      // Takes the revision from a later read than the content, so that the condition does not protect the content.
      aStore.Get(kConfigHeadKey, [=](const StoreResult& aAgain) { write(aRead, aAgain.revision_); });
    });
  });
}

struct WrongApplyCase
{
  const char* name_;
  bool blindly_;
  std::set<StoreOutcome> accepting_;
  StepBounds bounds_;
  const char* failure_;
};

class ExploreWrongApply : public testing::TestWithParam<WrongApplyCase>
{};

// Guards against an explorer that passes over faults: each wrong apply must be rejected, also when the printed choices
// are replayed alone.
TEST_P(ExploreWrongApply, IsRejected)
{
  const WrongApplyCase& param = GetParam();
  const Applier apply = [&param](ObjectStore& aStore,
                                 TimerService&,
                                 const Sheet& aSheet,
                                 const ApplyOptions& aOptions,
                                 const std::function<void(ApplyResult)>& aCallback) {
    ApplyWrongly(param.blindly_, param.accepting_, aStore, aSheet, aOptions, aCallback);
  };
  const ApplyPlan plan{ { MakeSheet(1), MakeSheet(2), MakeSheet(1) }, std::nullopt };
  const ModelRun model = ThreeOperators(param.bounds_, plan, apply);
  const Exploration exploration = ExploreAndRecord(model);
  EXPECT_NE(exploration.failure_.find(param.failure_), std::string::npos);
  EXPECT_EQ(fakes::Replay(model, exploration.choices_), exploration.failure_);
}

INSTANTIATE_TEST_SUITE_P(
  Variants,
  ExploreWrongApply,
  testing::Values(
    WrongApplyCase{ "AcceptsUnknown",
                    false,
                    { StoreOutcome::Ok, StoreOutcome::Unknown },
                    kOneFault,
                    "a version that is not in the chain" },
    WrongApplyCase{ "RefusesUnknown", false, { StoreOutcome::Ok }, kOneFault, "nothing was changed" },
    WrongApplyCase{ "WritesOverOthers", true, { StoreOutcome::Ok }, StepBounds{ 0, 0 }, "does not continue" }),
  [](const auto& aInfo) { return aInfo.param.name_; });

} // namespace
} // namespace ibisrock
