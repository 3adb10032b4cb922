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

/// Explores a model, records the number of runs and states, and prints the choices that lead to a failure.
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

// ---- A request with an idempotency key, sent to two instances ----

/// The operations of IdempotencyManager that a model drives, so that faulty variants can replace it.
class KeyClaimer
{
public:
  using ClaimCallback = std::function<void(KeyClaimResult)>;

  virtual ~KeyClaimer() = default;
  virtual void Claim(const Query& aQuery, const RequestId& aRequest, ClaimCallback aCallback) = 0;
  virtual void Finish(const KeyClaim& aClaim, const Answer& aAnswer) = 0;
};

class RealKeyClaimer final : public KeyClaimer
{
public:
  RealKeyClaimer(TimerService& aTimers, ObjectStore& aStore)
    : manager_(aTimers, aStore)
  {
  }

  void Claim(const Query& aQuery, const RequestId& aRequest, ClaimCallback aCallback) override
  {
    manager_.Claim(aQuery, aRequest, std::move(aCallback));
  }
  void Finish(const KeyClaim& aClaim, const Answer& aAnswer) override { manager_.Finish(aClaim, aAnswer); }

private:
  IdempotencyManager manager_;
};

/// Faulty variant: claims with a single write and treats every outcome in aClaimingOutcomes as success.
class WrongKeyClaimer : public KeyClaimer
{
public:
  WrongKeyClaimer(ObjectStore& aStore, std::set<StoreOutcome> aClaimingOutcomes, Verdict aRefusal = Verdict::MayHaveRun)
    : store_(aStore)
    , claimingOutcomes_(std::move(aClaimingOutcomes))
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
               [this, claim, aCallback](const StoreResult& aResult) {
                 if (claimingOutcomes_.contains(aResult.outcome_)) {
                   aCallback({ claim, std::nullopt });
                 } else {
                   aCallback({ std::nullopt, refusal_ });
                 }
               });
  }
  void Finish(const KeyClaim&, const Answer&) override {}

private:
  ObjectStore& store_;
  const std::set<StoreOutcome> claimingOutcomes_;
  Answer refusal_;
};

/// Faulty variant: releases the key of a request that did not run with a write conditional on the revision just read,
/// which also overwrites the claim of another instance.
class UnconditionalReleaseKeyClaimer final : public KeyClaimer
{
public:
  UnconditionalReleaseKeyClaimer(TimerService& aTimers, ObjectStore& aStore)
    : claimer_(aTimers, aStore)
    , store_(aStore)
  {
  }

  void Claim(const Query& aQuery, const RequestId& aRequest, ClaimCallback aCallback) override
  {
    claimer_.Claim(aQuery, aRequest, std::move(aCallback));
  }
  void Finish(const KeyClaim& aClaim, const Answer& aAnswer) override
  {
    if (aAnswer.verdict_ != Verdict::NotRun) {
      claimer_.Finish(aClaim, aAnswer);
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

  RealKeyClaimer claimer_;
  ObjectStore& store_;
};

using KeyClaimerFactory = std::function<std::unique_ptr<KeyClaimer>(TimerService&, ObjectStore&)>;

/// Two instances receive the same keyed request. The first receives it again after its answer, as when the caller lost
/// that answer and retries.
class KeyedRequestModel
{
public:
  KeyedRequestModel(Choices& aChoices, const StepBounds& aBounds, const KeyClaimerFactory& aMake);

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
  std::vector<std::unique_ptr<KeyClaimer>> claimers_;
  std::vector<unsigned> submissions_;
  std::vector<unsigned> answers_;
  std::set<RequestId> ran_;
  std::set<RequestId> reportedNotRun_;
  std::string failure_;
};

KeyedRequestModel::KeyedRequestModel(Choices& aChoices, const StepBounds& aBounds, const KeyClaimerFactory& aMake)
  : platform_(aChoices, kInstances, aBounds)
  , submissions_(kInstances)
  , answers_(kInstances)
{
  platform_.SetObservation([this] { return Observation(); });
  for (size_t instance = 0; instance < kInstances; instance++) {
    claimers_.push_back(aMake(platform_.TimersOf(instance), platform_.StoreOf(instance)));
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
  for (const RequestId& request : reportedNotRun_) {
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
  claimers_[aInstance]->Claim(
    MakeQuery(), id, [this, aInstance, id](const KeyClaimResult& aDecision) { OnDecision(aInstance, id, aDecision); });
}

/// Runs the request if its key was claimed. The target either refuses or executes it; both complete at once, because
/// the steps in between are visible to the target only.
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
  claimers_[aInstance]->Finish(*aDecision.claim_, answer);
  OnAnswer(aInstance, aRequest, answer);
}

void
KeyedRequestModel::OnAnswer(size_t aInstance, const RequestId& aRequest, const Answer& aAnswer)
{
  answers_[aInstance]++;
  if (aAnswer.verdict_ == Verdict::NotRun) {
    reportedNotRun_.insert(aRequest);
    if (!ran_.empty()) {
      Fail("a submission is reported as not run, but an earlier one with its key has run");
    }
  }
  if (aAnswer.verdict_ == Verdict::Ran && ran_.empty()) {
    Fail("an answer reports that the request ran, but it did not");
  }
  if (ran_.size() > 1) {
    Fail("the request ran twice");
  }
  for (const RequestId& request : reportedNotRun_) {
    if (ran_.contains(request)) {
      Fail("a request that was reported as not run has run");
    }
  }
  if (aInstance == 0 && submissions_[0] == 1) {
    Submit(0);
  }
}

/// Each submission to an instance that has not stopped is answered exactly once.
void
KeyedRequestModel::CheckEnd()
{
  for (size_t instance = 0; instance < kInstances; instance++) {
    if (!platform_.HasStopped(instance) && answers_[instance] != submissions_[instance]) {
      Fail("a submission was not answered exactly once");
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
MakeKeyedRequestRun(const StepBounds& aBounds, const KeyClaimerFactory& aMake)
{
  return [aBounds, aMake](Choices& aChoices) { return KeyedRequestModel(aChoices, aBounds, aMake).Run(); };
}

std::unique_ptr<KeyClaimer>
MakeRealKeyClaimer(TimerService& aTimers, ObjectStore& aStore)
{
  return std::make_unique<RealKeyClaimer>(aTimers, aStore);
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

// Guards against a request that runs twice, or that is reported as not run although it runs, in any order of store
// operations, faults and instance stops within the bounds.
TEST_P(ExploreKeyedRequest, RunsAtMostOnce)
{
  const Exploration exploration = ExploreAndRecord(MakeKeyedRequestRun(GetParam().bounds_, MakeRealKeyClaimer));
  EXPECT_EQ(exploration.failure_, "");
}

INSTANTIATE_TEST_SUITE_P(Bounds,
                         ExploreKeyedRequest,
                         testing::Values(KeyedCase{ "TwoFaults", kTwoFaults },
                                         KeyedCase{ "FaultAndStop", kFaultAndStop }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

struct WrongKeyClaimerCase
{
  const char* name_;
  /// Substring of the failure that the explorer must find.
  const char* failure_;
  KeyClaimerFactory make_;
};

class ExploreWrongKeyClaimer : public testing::TestWithParam<WrongKeyClaimerCase>
{};

// Guards against an explorer that misses faults: each faulty variant must be rejected, also when only the printed
// choices are replayed.
TEST_P(ExploreWrongKeyClaimer, IsRejected)
{
  const ModelRun model = MakeKeyedRequestRun(kTwoFaults, GetParam().make_);
  const Exploration exploration = ExploreAndRecord(model);
  EXPECT_NE(exploration.failure_.find(GetParam().failure_), std::string::npos);
  EXPECT_EQ(fakes::Replay(model, exploration.choices_), exploration.failure_);
}

INSTANTIATE_TEST_SUITE_P(
  Variants,
  ExploreWrongKeyClaimer,
  testing::Values(
    WrongKeyClaimerCase{
      "RunsAfterUnknownClaim",
      "ran twice",
      [](TimerService&, ObjectStore& aStore) {
        return std::make_unique<WrongKeyClaimer>(aStore, std::set{ StoreOutcome::Ok, StoreOutcome::Unknown });
      } },
    WrongKeyClaimerCase{
      "RunsWithoutStore",
      "ran twice",
      [](TimerService&, ObjectStore& aStore) {
        return std::make_unique<WrongKeyClaimer>(aStore, std::set{ StoreOutcome::Ok, StoreOutcome::Unavailable });
      } },
    WrongKeyClaimerCase{ "ReportsNotRunWithoutRecord",
                         "reported as not run",
                         [](TimerService&, ObjectStore& aStore) {
                           return std::make_unique<WrongKeyClaimer>(
                             aStore, std::set{ StoreOutcome::Ok }, Verdict::NotRun);
                         } },
    WrongKeyClaimerCase{ "ReleasesWithoutCondition",
                         "ran twice",
                         [](TimerService& aTimers, ObjectStore& aStore) {
                           return std::make_unique<UnconditionalReleaseKeyClaimer>(aTimers, aStore);
                         } }),
  [](const auto& aInfo) { return aInfo.param.name_; });

// ---- Three operators that apply sheets concurrently ----

/// A sheet with one service; sheets differ in the limit only.
Sheet
MakeSheet(int aLimit)
{
  std::ostringstream out;
  out << "service,a,latency,1000,300," << aLimit << ",64,1\nshard,a,s0\ntarget,a,s0,a0,10.0.0.1:81,dc,2,25,6\n";
  std::vector<SheetFault> faults;
  return ParseSheet(out.str(), faults).value();
}

using ApplyFunction =
  std::function<void(ObjectStore&, TimerService&, const Sheet&, const ApplyOptions&, std::function<void(ApplyResult)>)>;

/// One sheet per operator: two different sheets and a copy of the first. base_ is the version on which all of them are
/// based; without it, each apply is based on the version that it reads first.
struct ApplyPlan
{
  std::vector<Sheet> sheets_;
  std::optional<ConfigVersion> base_;
};

class ApplyModel
{
public:
  ApplyModel(Choices& aChoices, const StepBounds& aBounds, const ApplyPlan& aPlan, const ApplyFunction& aApply);

  std::string Run();

private:
  std::string IdOf(size_t aOperator) const { return "operator-" + std::to_string(aOperator); }
  std::string Observation() const;
  void StartApply(size_t aOperator);
  void Fail(const std::string& aText);
  Manifest ReadHead();
  void CheckHead(const Manifest& aHead);
  void CheckResults(const Manifest& aHead);
  void CheckAccepted(const Manifest& aHead, size_t aOperator);
  void CheckEnd();

  const ApplyPlan& plan_;
  const ApplyFunction& apply_;
  StepPlatform platform_;
  std::vector<std::optional<ApplyResult>> results_;
  /// The head when each result was reported.
  std::vector<Manifest> headsAtResult_;
  std::string headText_;
  Manifest lastHead_;
  std::string failure_;
};

ApplyModel::ApplyModel(Choices& aChoices,
                       const StepBounds& aBounds,
                       const ApplyPlan& aPlan,
                       const ApplyFunction& aApply)
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
ApplyModel::StartApply(size_t aOperator)
{
  apply_(platform_.StoreOf(aOperator),
         platform_.TimersOf(aOperator),
         plan_.sheets_[aOperator],
         { IdOf(aOperator), plan_.base_ },
         [this, aOperator](ApplyResult aResult) {
           if (results_[aOperator]) {
             Fail("an apply reported two results");
           }
           results_[aOperator] = std::move(aResult);
           headsAtResult_[aOperator] = ReadHead();
         });
}

/// Decodes the head in the store; an empty store gives a default-constructed manifest.
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
    Fail("the head cannot be decoded: " + reason.Text());
    return lastHead_;
  }
  CheckHead(*head);
  headText_ = text;
  lastHead_ = *head;
  return lastHead_;
}

/// A changed head must be the next version, add one history entry and refer to stored parts only.
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
    Fail("the head does not continue the previous version");
  }
  if (entry.version_ != aHead.version_ || entry.sheetHash_ != aHead.sheetHash_) {
    Fail("the last history entry of the head does not describe the head");
  }
  for (const auto& [service, hash] : aHead.partHashes_) {
    if (platform_.ValueOf(PartKey(hash)).empty()) {
      Fail("a part of the head is not stored");
    }
  }
}

/// No apply creates two versions, and every reported result stays true afterwards.
void
ApplyModel::CheckResults(const Manifest& aHead)
{
  for (size_t index = 0; index < results_.size(); index++) {
    const auto accepted =
      std::count_if(aHead.history_.begin(), aHead.history_.end(), [this, index](const ManifestEntry& aEntry) {
        return aEntry.applyId_ == IdOf(index);
      });
    if (accepted > 1) {
      Fail("one apply created two versions");
    }
    if (!results_[index]) {
      continue;
    }
    const ApplyOutcome outcome = results_[index]->outcome_;
    if (outcome == ApplyOutcome::Accepted || outcome == ApplyOutcome::Unchanged) {
      CheckAccepted(aHead, index);
    } else if (outcome != ApplyOutcome::Unknown && accepted > 0) {
      Fail("an apply reported that nothing was changed, but its sheet was accepted");
    }
  }
}

void
ApplyModel::CheckAccepted(const Manifest& aHead, size_t aOperator)
{
  const ApplyResult& result = *results_[aOperator];
  const bool isAccepted = result.outcome_ == ApplyOutcome::Accepted;
  const bool found = std::any_of(aHead.history_.begin(), aHead.history_.end(), [&](const ManifestEntry& aEntry) {
    return aEntry.version_ == result.version_ && (!isAccepted || aEntry.applyId_ == IdOf(aOperator));
  });
  if (!found) {
    Fail("an apply reported a version that is not in the chain");
  }
  std::map<ServiceName, std::string> hashes;
  for (const auto& [name, service] : plan_.sheets_[aOperator].services_) {
    hashes[name] = ContentHash(EncodeService(service));
  }
  const Manifest& headAtResult = headsAtResult_[aOperator];
  if (!isAccepted && (headAtResult.version_ != result.version_ || headAtResult.partHashes_ != hashes)) {
    Fail("an apply reported its sheet as in force, but it is not");
  }
}

void
ApplyModel::CheckEnd()
{
  for (size_t index = 0; index < results_.size(); index++) {
    if (!platform_.HasStopped(index) && !results_[index]) {
      Fail("an apply reported no result");
    }
  }
}

std::string
ApplyModel::Run()
{
  for (size_t index = 0; index < plan_.sheets_.size(); index++) {
    StartApply(index);
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
ConcurrentApplies(const StepBounds& aBounds, const ApplyPlan& aPlan, const ApplyFunction& aApply)
{
  return [aBounds, aPlan, aApply](Choices& aChoices) { return ApplyModel(aChoices, aBounds, aPlan, aApply).Run(); };
}

struct ApplyCase
{
  const char* name_;
  std::optional<ConfigVersion> base_;
  StepBounds bounds_;
};

class ExploreApply : public testing::TestWithParam<ApplyCase>
{};

// Guards against a version chain that forks or goes back, and against results (accepted, unchanged, nothing changed)
// that are false, in any order of store operations, faults and process kills within the bounds.
TEST_P(ExploreApply, VersionsFormOneChain)
{
  const ApplyPlan plan{ { MakeSheet(1), MakeSheet(2), MakeSheet(1) }, GetParam().base_ };
  const Exploration exploration = ExploreAndRecord(ConcurrentApplies(GetParam().bounds_, plan, ApplySheet));
  EXPECT_EQ(exploration.failure_, "");
}

INSTANTIATE_TEST_SUITE_P(Bases,
                         ExploreApply,
                         testing::Values(ApplyCase{ "None", std::nullopt, kOneFault },
                                         ApplyCase{ "Named", ConfigVersion(0), kFaultAndStop }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

/// Faulty variant without retries: writes the head once and treats every outcome in aAcceptedOutcomes as success.
/// aUseLaterRevision makes the condition of the write ineffective.
void
ApplyWithoutRetry(bool aUseLaterRevision,
                  const std::set<StoreOutcome>& aAcceptedOutcomes,
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
      const bool accepted = aAcceptedOutcomes.contains(aResult.outcome_);
      aCallback({ accepted ? ApplyOutcome::Accepted : ApplyOutcome::Failed, next.version_, {}, {} });
    });
  };
  aStore.Put(PartKey(hash), text, StoreRevision(), [=, &aStore](const StoreResult&) {
    aStore.Get(kConfigHeadKey, [=, &aStore](const StoreResult& aRead) {
      if (!aUseLaterRevision) {
        write(aRead, aRead.revision_);
        return;
      }
      // The revision comes from a later read than the content, so the condition does not protect against lost updates.
      aStore.Get(kConfigHeadKey, [=](const StoreResult& aSecondRead) { write(aRead, aSecondRead.revision_); });
    });
  });
}

struct WrongApplyCase
{
  const char* name_;
  bool useLaterRevision_;
  std::set<StoreOutcome> acceptedOutcomes_;
  StepBounds bounds_;
  const char* failure_;
};

class ExploreWrongApply : public testing::TestWithParam<WrongApplyCase>
{};

// Guards against an explorer that misses faults: each faulty variant must be rejected, also when only the printed
// choices are replayed.
TEST_P(ExploreWrongApply, IsRejected)
{
  const WrongApplyCase& param = GetParam();
  const ApplyFunction apply = [&param](ObjectStore& aStore,
                                       TimerService&,
                                       const Sheet& aSheet,
                                       const ApplyOptions& aOptions,
                                       const std::function<void(ApplyResult)>& aCallback) {
    ApplyWithoutRetry(param.useLaterRevision_, param.acceptedOutcomes_, aStore, aSheet, aOptions, aCallback);
  };
  const ApplyPlan plan{ { MakeSheet(1), MakeSheet(2), MakeSheet(1) }, std::nullopt };
  const ModelRun model = ConcurrentApplies(param.bounds_, plan, apply);
  const Exploration exploration = ExploreAndRecord(model);
  EXPECT_NE(exploration.failure_.find(param.failure_), std::string::npos);
  EXPECT_EQ(fakes::Replay(model, exploration.choices_), exploration.failure_);
}

INSTANTIATE_TEST_SUITE_P(
  Variants,
  ExploreWrongApply,
  testing::Values(WrongApplyCase{ "AcceptsUnknown",
                                  false,
                                  { StoreOutcome::Ok, StoreOutcome::Unknown },
                                  kOneFault,
                                  "a version that is not in the chain" },
                  WrongApplyCase{ "RefusesUnknown", false, { StoreOutcome::Ok }, kOneFault, "nothing was changed" },
                  WrongApplyCase{ "OverwritesConcurrentChange",
                                  true,
                                  { StoreOutcome::Ok },
                                  StepBounds{ 0, 0 },
                                  "does not continue" }),
  [](const auto& aInfo) { return aInfo.param.name_; });

} // namespace
} // namespace ibisrock
