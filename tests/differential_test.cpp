#include "fakes/fake_cluster.h"
#include "fakes/reference_query.h"
#include "version/index_catalogue.h"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <iostream>
#include <optional>
#include <rapidcheck.h>
#include <sstream>

namespace ibisrock {
namespace {

using fakes::AnswerNaively;
using fakes::ClusterShape;
using fakes::FakeCluster;
using fakes::FakeTarget;

enum class FaultKind : uint8_t
{
  /// Refuses connections.
  Down,
  /// Answers late, but well before the deadline, so the replica can still serve the shard.
  Slow,
  /// Never answers before the deadline.
  Hung,
  Draining,
  /// Rejects every attempt as overloaded.
  Overloaded,
  /// Does not hold one of the index versions.
  LacksVersion,
};

constexpr std::array kFaultNames = { "down", "slow", "hung", "draining", "overloaded", "lacks version" };

/// Generated indices are reduced modulo the number of existing elements, so that each field shrinks independently.
struct ReplicaFault
{
  unsigned shard_ = 0;
  unsigned replica_ = 0;
  FaultKind kind_ = FaultKind::Down;
  /// Delay of the fault after the first query.
  unsigned afterMs_ = 0;
  /// Index of the version that the replica lacks; used by FaultKind::LacksVersion only.
  unsigned version_ = 0;
};

struct GeneratedQuery
{
  unsigned instance_ = 0;
  std::string body_;
  bool idempotent_ = true;
  bool fullCoverage_ = true;
  /// Delay after the previous query.
  unsigned gapMs_ = 0;
};

/// A query matches the documents whose text contains its body.
struct Document
{
  unsigned version_ = 0;
  unsigned shard_ = 0;
  std::string text_;
};

struct GeneratedCase
{
  unsigned instances_ = 1;
  unsigned shards_ = 1;
  unsigned replicas_ = 1;
  /// Determines the shard count of each index version after the first: the value modulo shards_, plus one.
  std::vector<unsigned> laterVersions_;
  std::vector<Document> documents_;
  std::vector<ReplicaFault> faults_;
  std::vector<GeneratedQuery> queries_;
  unsigned seed_ = 1;
};

std::ostream&
operator<<(std::ostream& aOut, const ReplicaFault& aFault)
{
  return aOut << "{" << kFaultNames.at(static_cast<size_t>(aFault.kind_)) << " shard " << aFault.shard_ << " replica "
              << aFault.replica_ << " after " << aFault.afterMs_ << " ms, version " << aFault.version_ << "}";
}

std::ostream&
operator<<(std::ostream& aOut, const GeneratedQuery& aQuery)
{
  return aOut << "{instance " << aQuery.instance_ << " body '" << aQuery.body_ << "'"
              << (aQuery.idempotent_ ? " idempotent" : " not idempotent")
              << (aQuery.fullCoverage_ ? " full" : " partial") << " gap " << aQuery.gapMs_ << " ms}";
}

std::ostream&
operator<<(std::ostream& aOut, const Document& aDocument)
{
  return aOut << "{version " << aDocument.version_ << " shard " << aDocument.shard_ << " '" << aDocument.text_ << "'}";
}

std::ostream&
operator<<(std::ostream& aOut, const GeneratedCase& aCase)
{
  aOut << "instances " << aCase.instances_ << ", shards " << aCase.shards_ << ", replicas " << aCase.replicas_
       << ", seed " << aCase.seed_ << ", later versions ";
  rc::show(aCase.laterVersions_, aOut);
  aOut << "\n  documents ";
  rc::show(aCase.documents_, aOut);
  aOut << "\n  faults ";
  rc::show(aCase.faults_, aOut);
  aOut << "\n  queries ";
  rc::show(aCase.queries_, aOut);
  return aOut;
}

/// Faults times queries stays below the burst of ten extra attempts that the retry budget of an instance allows, so the
/// budget never decides whether a shard is covered.
constexpr size_t kMaxFaults = 3;
constexpr size_t kMaxQueries = 3;
constexpr size_t kMaxLaterVersions = 2;
constexpr size_t kMaxDocuments = 20;

/// With RapidCheck's default of 100 cases, most seeds generate no case with two faults in the same shard.
constexpr int kCaseCount = 1000;

/// RapidCheck generates every case at full size, including the first; small cases result from shrinking.
constexpr int kGenerationSize = 100;

template<typename T>
rc::Gen<std::vector<T>>
VectorOfAtMost(size_t aCount, rc::Gen<T> aElement)
{
  return rc::gen::mapcat(rc::gen::inRange<size_t>(0, aCount + 1),
                         [aElement](size_t aSize) { return rc::gen::container<std::vector<T>>(aSize, aElement); });
}

/// Prefers few shards and several replicas, so that several faults hit the same shard.
rc::Gen<unsigned>
ShardCount()
{
  return rc::gen::weightedElement<unsigned>({ { 3, 1 }, { 2, 2 }, { 1, 3 }, { 1, 5 } });
}

rc::Gen<unsigned>
ReplicaCount()
{
  return rc::gen::weightedElement<unsigned>({ { 1, 1 }, { 2, 2 }, { 4, 3 } });
}

/// Short words over a two-letter alphabet, so that query bodies often match documents.
rc::Gen<std::string>
Word(size_t aMaxLength)
{
  return rc::gen::mapcat(rc::gen::inRange<size_t>(0, aMaxLength + 1), [](size_t aSize) {
    return rc::gen::container<std::string>(aSize, rc::gen::element('a', 'b'));
  });
}

rc::Gen<ReplicaFault>
AnyFault()
{
  namespace gen = rc::gen;
  return gen::build<ReplicaFault>(
    gen::set(&ReplicaFault::shard_, gen::inRange(0U, 5U)),
    gen::set(&ReplicaFault::replica_, gen::inRange(0U, 3U)),
    gen::set(&ReplicaFault::kind_, gen::map(gen::inRange(0, 6), [](int aKind) { return FaultKind(aKind); })),
    gen::set(&ReplicaFault::afterMs_, gen::oneOf(gen::just(0U), gen::inRange(0U, 1500U))),
    gen::set(&ReplicaFault::version_, gen::inRange(0U, 3U)));
}

rc::Gen<GeneratedQuery>
AnyQuery()
{
  namespace gen = rc::gen;
  return gen::build<GeneratedQuery>(
    gen::set(&GeneratedQuery::instance_, gen::inRange(0U, 4U)),
    gen::set(&GeneratedQuery::body_, Word(2)),
    gen::set(&GeneratedQuery::idempotent_, gen::weightedElement<bool>({ { 3, true }, { 1, false } })),
    gen::set(&GeneratedQuery::fullCoverage_, gen::weightedElement<bool>({ { 3, true }, { 1, false } })),
    gen::set(&GeneratedQuery::gapMs_, gen::oneOf(gen::just(0U), gen::inRange(0U, 1500U))));
}

rc::Gen<Document>
AnyDocument()
{
  namespace gen = rc::gen;
  return gen::build<Document>(gen::set(&Document::version_, gen::inRange(0U, 3U)),
                              gen::set(&Document::shard_, gen::inRange(0U, 5U)),
                              gen::set(&Document::text_, Word(3)));
}

rc::Gen<GeneratedCase>
AnyCase()
{
  namespace gen = rc::gen;
  return gen::build<GeneratedCase>(
    gen::set(&GeneratedCase::instances_, gen::inRange(1U, 5U)),
    gen::set(&GeneratedCase::shards_, ShardCount()),
    gen::set(&GeneratedCase::replicas_, ReplicaCount()),
    gen::set(&GeneratedCase::laterVersions_, VectorOfAtMost(kMaxLaterVersions, gen::inRange(0U, 5U))),
    gen::set(&GeneratedCase::documents_, VectorOfAtMost(kMaxDocuments, AnyDocument())),
    gen::set(&GeneratedCase::faults_, VectorOfAtMost(kMaxFaults, AnyFault())),
    gen::set(&GeneratedCase::queries_, VectorOfAtMost(kMaxQueries, AnyQuery())),
    gen::set(&GeneratedCase::seed_, gen::inRange(1U, 1000U)));
}

constexpr Millis kDeadline{ 4000 };
constexpr Micros kSlowServiceTime = Millis(300);
/// Exceeds every deadline.
constexpr Micros kHungServiceTime = Seconds(60);
/// Time within which a published catalogue reaches every instance.
constexpr Micros kCataloguePropagationTime = Seconds(3);

/// Runs a generated case on the library and computes the reference answers for it.
class DifferentialRun
{
public:
  explicit DifferentialRun(const GeneratedCase& aCase);

  /// Sends every query, injects every fault and returns the answers in query order.
  std::vector<Answer> Run();
  Answer Reference(IndexVersion aVersion, const GeneratedQuery& aQuery) const;
  std::vector<Match> Search(IndexVersion aVersion, const ShardName& aShard, const std::string& aBody) const;
  const ShardMap* FindMap(IndexVersion aVersion) const;

private:
  static ClusterShape MakeShape(const GeneratedCase& aCase);
  ShardMap MakeShardMap(unsigned aVersionIndex) const;
  TargetName TargetOf(const ReplicaFault& aFault) const;
  IndexVersion VersionOf(const ReplicaFault& aFault) const;
  void PublishCatalogue();
  void InjectFault(const ReplicaFault& aFault);
  bool CanServe(const TargetName& aTarget, IndexVersion aVersion) const;
  bool HasHungReplica(const std::vector<TargetName>& aTargets) const;

  const GeneratedCase case_;
  FakeCluster cluster_;
  std::vector<ShardMap> maps_;
};

ClusterShape
DifferentialRun::MakeShape(const GeneratedCase& aCase)
{
  ClusterShape shape;
  shape.instances_ = aCase.instances_;
  shape.shards_ = aCase.shards_;
  shape.replicas_ = aCase.replicas_;
  shape.dataCentres_ = 2;
  shape.deadline_ = kDeadline;
  return shape;
}

DifferentialRun::DifferentialRun(const GeneratedCase& aCase)
  : case_(aCase)
  , cluster_(MakeShape(aCase), aCase.seed_)
{
  for (unsigned index = 0; index <= case_.laterVersions_.size(); index++) {
    maps_.push_back(MakeShardMap(index));
  }
  cluster_.targets_.SetSearch([this](IndexVersion aVersion, const ShardName& aShard, const std::string& aBody) {
    return Search(aVersion, aShard, aBody);
  });
}

/// Each index version has its own number of shards and is placed on different targets.
ShardMap
DifferentialRun::MakeShardMap(unsigned aVersionIndex) const
{
  ShardMap map{ IndexVersion(aVersionIndex + 1), {} };
  const unsigned shards =
    aVersionIndex == 0 ? case_.shards_ : case_.laterVersions_[aVersionIndex - 1] % case_.shards_ + 1;
  for (unsigned shard = 0; shard < shards; shard++) {
    std::vector<TargetName>& targets = map.shards_[ShardName("s" + std::to_string(shard))];
    for (unsigned replica = 0; replica < case_.replicas_; replica++) {
      targets.push_back(FakeCluster::TargetOf((shard + aVersionIndex) % case_.shards_, replica));
    }
  }
  return map;
}

const ShardMap*
DifferentialRun::FindMap(IndexVersion aVersion) const
{
  auto found =
    std::find_if(maps_.begin(), maps_.end(), [aVersion](const ShardMap& aMap) { return aMap.version_ == aVersion; });
  return found == maps_.end() ? nullptr : &*found;
}

std::vector<Match>
DifferentialRun::Search(IndexVersion aVersion, const ShardName& aShard, const std::string& aBody) const
{
  std::vector<Match> matches;
  for (size_t index = 0; index < case_.documents_.size(); index++) {
    const Document& document = case_.documents_[index];
    const IndexVersion version(document.version_ % maps_.size() + 1);
    const ShardName shard("s" + std::to_string(document.shard_ % FindMap(version)->shards_.size()));
    if (version == aVersion && shard == aShard && document.text_.find(aBody) != std::string::npos) {
      matches.push_back({ "v" + std::to_string(version.Value()) + "/d" + std::to_string(index), document.text_ });
    }
  }
  return matches;
}

TargetName
DifferentialRun::TargetOf(const ReplicaFault& aFault) const
{
  return FakeCluster::TargetOf(aFault.shard_ % case_.shards_, aFault.replica_ % case_.replicas_);
}

IndexVersion
DifferentialRun::VersionOf(const ReplicaFault& aFault) const
{
  return IndexVersion(aFault.version_ % maps_.size() + 1);
}

void
DifferentialRun::PublishCatalogue()
{
  std::set<IndexVersion> versions;
  IndexCatalogue catalogue{ 1, {} };
  for (const ShardMap& map : maps_) {
    versions.insert(map.version_);
    catalogue.maps_.insert(catalogue.maps_.begin(), map);
  }
  for (unsigned shard = 0; shard < case_.shards_; shard++) {
    for (unsigned replica = 0; replica < case_.replicas_; replica++) {
      FakeTarget target = cluster_.targets_.Get(FakeCluster::TargetOf(shard, replica));
      target.held_ = versions;
      cluster_.targets_.Set(FakeCluster::TargetOf(shard, replica), target);
    }
  }
  if (maps_.size() > 1) {
    const std::string key = CatalogueKey(ServiceName(fakes::kClusterService));
    cluster_.store_.Put(key, EncodeCatalogue(catalogue), StoreRevision(), [](const StoreResult&) {});
  }
  cluster_.timers_.Advance(kCataloguePropagationTime);
}

void
DifferentialRun::InjectFault(const ReplicaFault& aFault)
{
  FakeTarget target = cluster_.targets_.Get(TargetOf(aFault));
  switch (aFault.kind_) {
    case FaultKind::Down:
      target.down_ = true;
      break;
    case FaultKind::Slow:
      target.serviceTime_ = std::max(target.serviceTime_, kSlowServiceTime);
      break;
    case FaultKind::Hung:
      target.serviceTime_ = kHungServiceTime;
      break;
    case FaultKind::Draining:
      target.state_ = TargetState::Draining;
      break;
    case FaultKind::Overloaded:
      target.slots_ = 0;
      break;
    case FaultKind::LacksVersion:
      target.held_.erase(VersionOf(aFault));
      break;
  }
  cluster_.targets_.Set(TargetOf(aFault), target);
}

std::vector<Answer>
DifferentialRun::Run()
{
  cluster_.Start();
  PublishCatalogue();
  for (const ReplicaFault& fault : case_.faults_) {
    cluster_.timers_.After(Millis(fault.afterMs_), [this, fault] { InjectFault(fault); });
  }
  std::vector<Answer> answers(case_.queries_.size());
  std::vector<unsigned> calls(case_.queries_.size());
  Micros start{};
  for (size_t index = 0; index < answers.size(); index++) {
    const GeneratedQuery& generated = case_.queries_[index];
    start += Millis(generated.gapMs_);
    Query query = FakeCluster::MakeQuery(generated.body_);
    query.idempotent_ = generated.idempotent_;
    query.fullCoverage_ = generated.fullCoverage_;
    cluster_.timers_.After(start, [this, index, query, &answers, &calls, at = generated.instance_ % cluster_.Size()] {
      cluster_.Submit(at, query, [index, &answers, &calls](Answer aAnswer) {
        answers[index] = std::move(aAnswer);
        calls[index]++;
      });
    });
  }
  cluster_.timers_.Advance(start + kDeadline + Seconds(1));
  RC_ASSERT(std::all_of(calls.begin(), calls.end(), [](unsigned aCalls) { return aCalls == 1; }));
  return answers;
}

bool
DifferentialRun::CanServe(const TargetName& aTarget, IndexVersion aVersion) const
{
  return std::none_of(case_.faults_.begin(), case_.faults_.end(), [&](const ReplicaFault& aFault) {
    const bool affectsTarget = TargetOf(aFault) == aTarget && aFault.kind_ != FaultKind::Slow;
    return affectsTarget && (aFault.kind_ != FaultKind::LacksVersion || VersionOf(aFault) == aVersion);
  });
}

bool
DifferentialRun::HasHungReplica(const std::vector<TargetName>& aTargets) const
{
  return std::any_of(case_.faults_.begin(), case_.faults_.end(), [&](const ReplicaFault& aFault) {
    return aFault.kind_ == FaultKind::Hung && std::count(aTargets.begin(), aTargets.end(), TargetOf(aFault)) > 0;
  });
}

/// A non-idempotent query must not abandon an unanswered attempt and retry on another replica, so it may miss a shard
/// that has a hung replica: property P5 takes precedence over coverage.
Answer
DifferentialRun::Reference(IndexVersion aVersion, const GeneratedQuery& aQuery) const
{
  ShardMap map = *FindMap(aVersion);
  if (!aQuery.idempotent_) {
    std::erase_if(map.shards_, [this](const auto& aEntry) { return HasHungReplica(aEntry.second); });
  }
  return AnswerNaively(
    map,
    aQuery.body_,
    [this](IndexVersion aSearched, const ShardName& aShard, const std::string& aBody) {
      return Search(aSearched, aShard, aBody);
    },
    [this](const TargetName& aTarget, IndexVersion aServed) { return CanServe(aTarget, aServed); });
}

/// Covered and missing shards are disjoint, and their union is the shard set of the answer's version.
void
AssertShardsPartitionMap(const ShardMap& aMap, const Answer& aAnswer)
{
  RC_ASSERT(aAnswer.covered_.size() + aAnswer.missing_.size() == aMap.shards_.size());
  for (const auto& [shard, targets] : aMap.shards_) {
    RC_ASSERT(aAnswer.covered_.contains(shard) != aAnswer.missing_.contains(shard));
  }
}

void
AssertMatchesReference(const DifferentialRun& aRun, const GeneratedQuery& aQuery, const Answer& aAnswer)
{
  const ShardMap* map = aRun.FindMap(aAnswer.version_);
  RC_ASSERT(map != nullptr);
  AssertShardsPartitionMap(*map, aAnswer);
  std::vector<Match> expected;
  for (const ShardName& shard : aAnswer.covered_) {
    const std::vector<Match> matches = aRun.Search(aAnswer.version_, shard, aQuery.body_);
    expected.insert(expected.end(), matches.begin(), matches.end());
  }
  std::sort(expected.begin(), expected.end());
  RC_ASSERT(aAnswer.matches_ == expected);
  const Answer reference = aRun.Reference(aAnswer.version_, aQuery);
  if (aAnswer.missing_.empty()) {
    RC_ASSERT(aAnswer.verdict_ == Verdict::Ran);
  }
  if (aQuery.fullCoverage_) {
    RC_ASSERT(std::includes(
      aAnswer.covered_.begin(), aAnswer.covered_.end(), reference.covered_.begin(), reference.covered_.end()));
  }
  if (aAnswer.covered_ == reference.covered_) {
    RC_ASSERT(aAnswer.matches_ == reference.matches_);
  }
}

void
AssertCaseMatchesReference()
{
  const auto generated = *rc::gen::resize(kGenerationSize, AnyCase());
  DifferentialRun run(generated);
  const std::vector<Answer> answers = run.Run();
  for (size_t index = 0; index < answers.size(); index++) {
    RC_LOG() << "query " << index << ": version " << answers[index].version_ << ", covered "
             << answers[index].covered_.size() << ", missing " << answers[index].missing_.size() << ", attempts "
             << answers[index].attempts_ << ", reason " << ToString(answers[index].reason_) << "\n";
    AssertMatchesReference(run, generated.queries_[index], answers[index]);
  }
}

// Guards against answers that differ from those of a plain loop over the shards because of hedges, retries, restarts,
// budget shares or index versions: a match that is lost, duplicated or from another version, incorrect coverage, or a
// shard reported missing although a replica could serve it.
TEST(Differential, AnswersMatchNaiveReference)
{
  rc::detail::TestParams params = rc::detail::configuration().testParams;
  params.maxSuccess = std::max(params.maxSuccess, kCaseCount);
  const auto result = rc::detail::checkProperty(rc::detail::toProperty(AssertCaseMatchesReference), {}, params);
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  std::cout << text.str() << "\n";
  EXPECT_TRUE(result.is<rc::detail::SuccessResult>()) << "seed " << params.seed << ", " << text.str();
}

} // namespace
} // namespace ibisrock
