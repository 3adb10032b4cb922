#include "fakes/fake_cluster.h"
#include "process/watchers.h"
#include "version/apply.h"
#include "version/manifest.h"
#include "wire/codec.h"

#include <gtest/gtest.h>

namespace ibisrock {
namespace {

using fakes::ClusterShape;
using fakes::FakeCluster;
using fakes::StoreFaults;

constexpr uint64_t kSeed = 7;
/// Maximum time until a change is active on all instances.
constexpr Seconds kPropagationLimit{ 4 };

/// In a single data centre, only 2 of the 7 instances watch an object.
ClusterShape
OneDataCentre()
{
  ClusterShape shape;
  shape.dataCentres_ = 1;
  return shape;
}

class ConfigPropagation : public testing::Test
{
protected:
  void SetUp() override { cluster_.Start(); }

  /// Applies the cluster's sheet with a different concurrency limit and advances time until it is accepted.
  void ApplyChange(int aLimit)
  {
    const std::string old = std::to_string(ClusterShape{}.concurrent_) + ",1\n";
    std::string text = cluster_.SheetText();
    text.replace(text.find(old), old.size(), std::to_string(aLimit) + ",1\n");
    std::vector<SheetFault> faults;
    std::optional<ApplyResult> result;
    ApplySheet(cluster_.store_,
               cluster_.timers_,
               ParseSheet(text, faults).value(),
               { "change" + std::to_string(aLimit), {} },
               [&result](ApplyResult aResult) { result = std::move(aResult); });
    while (!result) {
      cluster_.timers_.RunNext();
    }
    ASSERT_EQ(result->outcome_, ApplyOutcome::Accepted);
  }
  uint64_t VersionAt(size_t aIndex)
  {
    const auto configuration = cluster_.At(aIndex).CurrentConfiguration();
    return configuration ? configuration->version_.Value() : 0;
  }
  std::vector<uint64_t> Versions()
  {
    std::vector<uint64_t> versions;
    for (size_t index = 0; index < ClusterShape{}.instances_; index++) {
      versions.push_back(cluster_.IsRunning(index) ? VersionAt(index) : 0);
    }
    return versions;
  }
  bool IsReady(size_t aIndex)
  {
    LastReason reason;
    const bool isReady = cluster_.At(aIndex).IsReady(reason);
    EXPECT_EQ(isReady, reason.Text().empty());
    return isReady;
  }
  void SetFaults(Micros aLatency, bool aHasOutage, Micros aReadLag = Micros::zero())
  {
    StoreFaults faults;
    faults.latency_ = aLatency;
    faults.outage_ = aHasOutage;
    faults.readLag_ = aReadLag;
    cluster_.store_.SetFaults(faults);
  }
  void Isolate(size_t aIndex, bool aIsCut)
  {
    for (size_t other = 0; other < ClusterShape{}.instances_; other++) {
      cluster_.network_.SetCut(cluster_.AddressOf(aIndex), cluster_.AddressOf(other), aIsCut);
      cluster_.network_.SetCut(cluster_.AddressOf(other), cluster_.AddressOf(aIndex), aIsCut);
    }
  }
  /// Overwrites a stored object at its current revision.
  void Overwrite(const std::string& aKey, const std::string& aText)
  {
    cluster_.store_.Get(aKey, [this, aKey, aText](const StoreResult& aResult) {
      cluster_.store_.Put(aKey, aText, aResult.revision_, [](const StoreResult&) {});
    });
    cluster_.timers_.Advance(Millis(100));
  }
  /// Delivers a forged peer message to an instance.
  void Inject(size_t aIndex, wire::Body aBody)
  {
    const wire::Envelope envelope{
      InstanceId("forged"), PeerAddress("10.9.9.9:1"), Incarnation(1), {}, std::move(aBody)
    };
    cluster_.At(aIndex).Receive(wire::Encode(envelope));
    cluster_.timers_.Advance(Millis(100));
  }
  std::string ReadStored(const std::string& aKey)
  {
    std::string text;
    cluster_.store_.Get(aKey, [&text](const StoreResult& aResult) { text = aResult.value_; });
    cluster_.timers_.Advance(Millis(100));
    return text;
  }

  /// Returns an instance that watches no object and therefore depends on its peers. Every instance watches until it
  /// knows its peers, and such a watch lasts up to 30 s, so the numbers of watches are compared only after that time.
  size_t FindNonWatcher()
  {
    cluster_.timers_.Advance(Seconds(40));
    std::vector<uint64_t> before;
    for (size_t index = 0; index < ClusterShape{}.instances_; index++) {
      before.push_back(cluster_.StoreCallsOf(index).watches_);
    }
    cluster_.timers_.Advance(Seconds(40));
    size_t index = 0;
    while (cluster_.StoreCallsOf(index).watches_ > before[index]) {
      index++;
    }
    return index;
  }

  FakeCluster cluster_{ OneDataCentre(), kSeed };
};

using VersionList = std::vector<uint64_t>;

// Guards against a change that does not reach every instance when gossip messages are lost.
TEST_F(ConfigPropagation, LostMessages)
{
  cluster_.network_.SetLossInterval(3);
  for (int change = 1; change <= 10; change++) {
    ApplyChange(change);
    cluster_.timers_.Advance(kPropagationLimit);
    EXPECT_EQ(Versions(), VersionList(7, static_cast<uint64_t>(change) + 1));
  }
}

// Guards against a change that one watcher has read but that does not propagate further without the store.
TEST_F(ConfigPropagation, OutageAfterChange)
{
  ApplyChange(1);
  cluster_.timers_.Advance(Millis(10));
  SetFaults(Millis(2), true);
  cluster_.timers_.Advance(kPropagationLimit);
  EXPECT_EQ(Versions(), VersionList(7, 2));
}

// Guards against an instance that has no configuration, or an old one, after a restart during a store outage.
TEST_F(ConfigPropagation, RestartDuringOutage)
{
  const size_t nonWatcher = FindNonWatcher();
  ApplyChange(1);
  cluster_.timers_.Advance(kPropagationLimit);
  cluster_.Kill(nonWatcher);
  SetFaults(Millis(2), true);
  cluster_.Restart(nonWatcher);
  EXPECT_FALSE(IsReady(nonWatcher));
  cluster_.timers_.Advance(Seconds(2));
  EXPECT_TRUE(IsReady(nonWatcher));
  EXPECT_EQ(VersionAt(nonWatcher), 2U);
}

// Guards against an instance that reports ready although neither the store nor a peer is reachable, and against a
// missing reason.
TEST_F(ConfigPropagation, RestartWithoutSource)
{
  const size_t nonWatcher = FindNonWatcher();
  cluster_.Kill(nonWatcher);
  Isolate(nonWatcher, true);
  SetFaults(Millis(2), true);
  cluster_.Restart(nonWatcher);
  cluster_.timers_.Advance(Seconds(20));
  EXPECT_FALSE(IsReady(nonWatcher));
  SetFaults(Millis(2), false);
  cluster_.timers_.Advance(Seconds(5));
  EXPECT_TRUE(IsReady(nonWatcher));
}

// Guards against a restarted instance that becomes ready with the old version from a stale store read although its
// peers have a higher one.
TEST_F(ConfigPropagation, RestartWithLaggingReads)
{
  const size_t nonWatcher = FindNonWatcher();
  ApplyChange(1);
  cluster_.timers_.Advance(Seconds(10));
  SetFaults(Millis(2), false, Seconds(12));
  cluster_.Kill(nonWatcher);
  cluster_.Restart(nonWatcher);
  while (!IsReady(nonWatcher)) {
    ASSERT_TRUE(cluster_.timers_.RunNext());
  }
  EXPECT_EQ(VersionAt(nonWatcher), 2U);
}

// Guards against an instance that keeps an old version while it is cut off from its peers or after the connection is
// restored.
TEST_F(ConfigPropagation, IsolatedThenReconnected)
{
  const size_t nonWatcher = FindNonWatcher();
  Isolate(nonWatcher, true);
  cluster_.timers_.Advance(Seconds(1));
  ApplyChange(1);
  cluster_.timers_.Advance(Seconds(9));
  EXPECT_EQ(VersionAt(nonWatcher), 2U);
  // An isolated instance watches the store itself, so it misses a change only if the store is unreachable too.
  cluster_.SetStoreCut(nonWatcher, true);
  ApplyChange(2);
  cluster_.timers_.Advance(Seconds(9));
  EXPECT_EQ(VersionAt(nonWatcher), 2U);
  Isolate(nonWatcher, false);
  cluster_.timers_.Advance(kPropagationLimit);
  EXPECT_EQ(Versions(), VersionList(7, 3));
}

// Guards against acceptance of a lower version from the store or a peer, and of different content under the same
// version.
TEST_F(ConfigPropagation, RejectsLowerVersionsAndConflictingContent)
{
  const std::string first = ReadStored(kConfigHeadKey);
  ApplyChange(1);
  cluster_.timers_.Advance(kPropagationLimit);
  const std::string second = ReadStored(kConfigHeadKey);
  Overwrite(kConfigHeadKey, first);
  Inject(0, wire::ConfigParts{ { { kConfigHeadKey, first } } });
  EXPECT_EQ(Versions(), VersionList(7, 2));
  EXPECT_GE(cluster_.At(0).ConfigCounters().staleVersions_, 1U);

  LastReason reason;
  Manifest other = DecodeManifest(first, reason).value();
  other.version_ = ConfigVersion(2);
  Inject(0, wire::ConfigParts{ { { kConfigHeadKey, EncodeManifest(other) } } });
  Inject(0, wire::ConfigDigest{ { { kConfigHeadKey, 2, other.sheetHash_ } }, false });
  EXPECT_EQ(cluster_.At(0).ConfigCounters().conflictingContents_, 2U);
  EXPECT_EQ(cluster_.At(0).CurrentConfiguration()->hash_, DecodeManifest(second, reason)->sheetHash_);
}

// Guards against acceptance of a forged or corrupted part whose content does not match the hash in its key.
TEST_F(ConfigPropagation, RejectsPartWithWrongHash)
{
  Inject(0, wire::ConfigParts{ { { PartKey("00"), "{}" } } });
  EXPECT_EQ(cluster_.At(0).ConfigCounters().malformed_, 1U);
}

// Guards against store calls by instances that are not watchers.
TEST_F(ConfigPropagation, OnlyWatchersCallStore)
{
  ClusterShape shape;
  shape.instances_ = 20;
  FakeCluster large(shape, kSeed);
  large.Start();
  std::vector<uint64_t> before;
  for (size_t index = 0; index < shape.instances_; index++) {
    const auto calls = large.StoreCallsOf(index);
    before.push_back(calls.gets_ + calls.watches_);
  }
  large.timers_.Advance(Seconds(120));
  size_t callers = 0;
  for (size_t index = 0; index < shape.instances_; index++) {
    const auto calls = large.StoreCallsOf(index);
    callers += calls.gets_ + calls.watches_ > before[index] ? 1 : 0;
  }
  // Two watchers in each of 4 data centres, for the head and for the single catalogue.
  EXPECT_LE(callers, 16U);
}

// Guards against a catalogue that does not propagate, that reverts to a lower version, or whose unknown targets are
// used.
TEST_F(ConfigPropagation, CataloguePropagatesAndNeverReverts)
{
  const ServiceName service(fakes::kClusterService);
  IndexCatalogue catalogue{
    5, { { IndexVersion(2), cluster_.At(0).CurrentConfiguration()->services_.at(service)->shardMap_.shards_ } }
  };
  catalogue.maps_[0].shards_.begin()->second.emplace_back("nobody");
  Overwrite(CatalogueKey(service), EncodeCatalogue(catalogue));
  cluster_.timers_.Advance(kPropagationLimit);
  catalogue.version_ = 4;
  catalogue.maps_[0].version_ = IndexVersion(9);
  Overwrite(CatalogueKey(service), EncodeCatalogue(catalogue));
  cluster_.timers_.Advance(kPropagationLimit);
  for (size_t index = 0; index < 7; index++) {
    const auto part = cluster_.At(index).CurrentConfiguration()->services_.at(service);
    const CandidateShardMaps candidates = cluster_.At(index).Catalogues().CandidateMaps(*part);
    ASSERT_EQ(candidates.maps_.size(), 2U);
    EXPECT_EQ(candidates.maps_[0].version_, IndexVersion(2));
    EXPECT_EQ(candidates.maps_[1].version_, IndexVersion(1));
    EXPECT_EQ(candidates.unknownTargets_, 1U);
  }
}

// Guards against a number of watchers that grows with the instances, and against a data centre without watchers.
TEST(Watchers, TwoPerDataCentre)
{
  MemberView view;
  for (int index = 0; index < 100; index++) {
    view.members_.push_back({ InstanceId("i" + std::to_string(index)),
                              PeerAddress(),
                              DataCentre(index == 0 ? "single" : "dc" + std::to_string(index % 3)),
                              Incarnation(1),
                              MemberState::Alive });
  }
  std::map<DataCentre, size_t> watchers;
  for (const Member& member : view.members_) {
    watchers[member.dataCentre_] += IsWatcher(view, member.id_, "config/head") ? 1 : 0;
  }
  EXPECT_EQ(
    watchers,
    (std::map<DataCentre, size_t>{
      { DataCentre("dc0"), 2 }, { DataCentre("dc1"), 2 }, { DataCentre("dc2"), 2 }, { DataCentre("single"), 1 } }));
  EXPECT_FALSE(IsWatcher(view, InstanceId("absent"), "config/head"));
}

struct CatalogueCase
{
  const char* name_;
  const char* text_;
  bool valid_;
};

class CatalogueDecoding : public testing::TestWithParam<CatalogueCase>
{};

// Guards against a malformed catalogue that replaces the shard map of a service.
TEST_P(CatalogueDecoding, Validates)
{
  LastReason reason;
  EXPECT_EQ(DecodeCatalogue(GetParam().text_, reason).has_value(), GetParam().valid_) << reason.Text();
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  CatalogueDecoding,
  testing::Values(
    CatalogueCase{ "Valid", R"({"version":1,"versions":[{"index_version":2,"shards":{"s":["t"]}}]})", true },
    CatalogueCase{ "NoVersions", R"({"version":1,"versions":[]})", false },
    CatalogueCase{ "NoShards", R"({"version":1,"versions":[{"index_version":2,"shards":{}}]})", false },
    CatalogueCase{ "EmptyShard", R"({"version":1,"versions":[{"index_version":2,"shards":{"s":[]}}]})", false },
    CatalogueCase{ "NegativeVersion",
                   R"({"version":1,"versions":[{"index_version":-2,"shards":{"s":["t"]}}]})",
                   false },
    CatalogueCase{ "DuplicateVersion",
                   R"({"version":1,"versions":[{"index_version":2,"shards":{"s":["t"]}},)"
                   R"({"index_version":2,"shards":{"s":["u"]}}]})",
                   false }),
  [](const auto& aInfo) { return aInfo.param.name_; });

} // namespace
} // namespace ibisrock
