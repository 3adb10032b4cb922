#include "version/apply.h"

#include "fakes/fake_store.h"

#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <optional>
#include <sstream>

namespace ibisrock {
namespace {

using fakes::FakeStore;
using fakes::StoreFaults;

/// Returns a sheet of two services. Sheets differ in the query limit of the first service.
Sheet
MakeSheet(int aLimit, uint64_t aBase = 0)
{
  std::ostringstream out;
  out << "sheet,x," << aBase << "\n"
      << "service,a,latency,1000,300," << aLimit << ",64,1\nshard,a,s0\ntarget,a,s0,a0,10.0.0.1:81,dc,2,25,6\n"
      << "service,b,latency,1000,300,7,64,1\nshard,b,s0\ntarget,b,s0,b0,10.0.0.1:82,dc,2,25,6\n";
  std::vector<SheetFault> faults;
  return ParseSheet(out.str(), faults).value();
}

/// Store that never responds to call number crashAtCall_, which simulates a crash of the caller at that call.
class CrashAtCallStore final : public ObjectStore
{
public:
  explicit CrashAtCallStore(ObjectStore& aStore)
    : store_(aStore)
  {
  }

  void Get(const std::string& aKey, Callback aCallback) override
  {
    if (ForwardsNextCall()) {
      store_.Get(aKey, std::move(aCallback));
    }
  }
  void Put(const std::string& aKey, const std::string& aValue, StoreRevision aExpected, Callback aCallback) override
  {
    if (ForwardsNextCall()) {
      store_.Put(aKey, aValue, aExpected, std::move(aCallback));
    } else if (executesLastPut_) {
      store_.Put(aKey, aValue, aExpected, [](const StoreResult&) {});
    }
  }
  void Watch(const std::string&, StoreRevision, Micros, Callback) override {}

  unsigned crashAtCall_ = 0;
  bool executesLastPut_ = false;
  unsigned calls_ = 0;

private:
  bool ForwardsNextCall() { return ++calls_ != crashAtCall_; }

  ObjectStore& store_;
};

class ApplyTest : public testing::Test
{
protected:
  /// Starts an apply operation. The result is set when the operation finishes.
  std::shared_ptr<std::optional<ApplyResult>> Begin(const Sheet& aSheet,
                                                    const std::string& aId,
                                                    std::optional<ConfigVersion> aBase = std::nullopt)
  {
    auto result = std::make_shared<std::optional<ApplyResult>>();
    ApplySheet(store_, timers_, aSheet, { aId, aBase }, [result](ApplyResult aResult) {
      EXPECT_FALSE(result->has_value());
      *result = std::move(aResult);
    });
    return result;
  }
  ApplyResult Apply(const Sheet& aSheet, const std::string& aId, std::optional<ConfigVersion> aBase = std::nullopt)
  {
    auto result = Begin(aSheet, aId, aBase);
    timers_.Advance(Seconds(60));
    return result->value();
  }
  std::optional<Manifest> Head()
  {
    std::optional<Manifest> head;
    store_.Get(kConfigHeadKey, [&head](const StoreResult& aResult) {
      LastReason reason;
      head = aResult.outcome_ == StoreOutcome::Ok ? DecodeManifest(aResult.value_, reason) : std::nullopt;
    });
    timers_.Advance(Seconds(10));
    return head;
  }
  void SetFaults(const std::function<void(StoreFaults&)>& aChange)
  {
    StoreFaults faults;
    aChange(faults);
    store_.SetFaults(faults);
  }

  ManualTimerService timers_;
  FakeStore store_{ timers_ };
};

// Guards against a second version for the same content, and against a wrong version in the result.
TEST_F(ApplyTest, SameSheetCreatesOneVersion)
{
  EXPECT_EQ(Apply(MakeSheet(1), "x").outcome_, ApplyOutcome::Accepted);
  const ApplyResult again = Apply(MakeSheet(1), "y");
  EXPECT_EQ(again.outcome_, ApplyOutcome::Unchanged);
  EXPECT_EQ(again.version_, ConfigVersion(1));
  EXPECT_EQ(Apply(MakeSheet(2), "z").version_, ConfigVersion(2));
}

struct LostUpdateCase
{
  const char* name_;
  const char* prefix_;
  unsigned lostRequests_;
  unsigned lostAnswers_;
  /// Number of versions that another operator adds before the first apply reads the head again.
  int laterVersions_;
  ApplyOutcome outcome_;
};

class ApplyLostUpdatesTest
  : public ApplyTest
  , public testing::WithParamInterface<LostUpdateCase>
{};

// Guards against a lost response that leads to a second version, a false conflict or a false success.
TEST_P(ApplyLostUpdatesTest, ResolvesOutcomeByRereadingHead)
{
  const LostUpdateCase& param = GetParam();
  SetFaults([&param](StoreFaults& aFaults) {
    aFaults.lostPrefix_ = param.prefix_;
    aFaults.lostRequests_ = param.lostRequests_;
    aFaults.lostAnswers_ = param.lostAnswers_;
  });
  auto first = Begin(MakeSheet(1000), "first");
  // The fake store responds after 2 ms, so the first apply is now in its retry delay of 100 ms.
  timers_.Advance(Millis(20));
  SetFaults([](StoreFaults& aFaults) { aFaults.latency_ = Micros(10); });
  for (int version = 1; version <= param.laterVersions_; version++) {
    auto later = Begin(MakeSheet(version), "later" + std::to_string(version));
    timers_.Advance(Micros(100));
    EXPECT_EQ(later->value().outcome_, ApplyOutcome::Accepted);
  }
  timers_.Advance(Seconds(60));
  EXPECT_EQ(first->value().outcome_, param.outcome_);
  const bool accepted = param.outcome_ == ApplyOutcome::Accepted || param.lostAnswers_ > 0;
  EXPECT_EQ(Head()->version_.Value(), param.laterVersions_ + (accepted ? 1 : 0));
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  ApplyLostUpdatesTest,
  testing::Values(LostUpdateCase{ "PartAnswer", "config/part", 0, 1, 0, ApplyOutcome::Accepted },
                  LostUpdateCase{ "PartRequest", "config/part", 1, 0, 0, ApplyOutcome::Accepted },
                  LostUpdateCase{ "HeadAnswer", "config/head", 0, 1, 0, ApplyOutcome::Accepted },
                  LostUpdateCase{ "HeadAnswerTwice", "config/head", 0, 2, 0, ApplyOutcome::Accepted },
                  LostUpdateCase{ "HeadRequest", "config/head", 1, 0, 0, ApplyOutcome::Accepted },
                  LostUpdateCase{ "HeadAnswerThenLaterVersions", "config/head", 0, 1, 3, ApplyOutcome::Accepted },
                  LostUpdateCase{ "HeadRequestThenLaterVersions", "config/head", 1, 0, 3, ApplyOutcome::Conflict },
                  LostUpdateCase{ "HistoryTooShort", "config/head", 0, 1, 64, ApplyOutcome::Unknown }),
  [](const auto& aInfo) { return aInfo.param.name_; });

// Guards against two versions, or a lost update, when operators apply concurrently.
TEST_F(ApplyTest, ConcurrentOperators)
{
  auto same = Begin(MakeSheet(1), "a");
  auto copy = Begin(MakeSheet(1), "b");
  auto other = Begin(MakeSheet(2), "c");
  timers_.Advance(Seconds(60));
  EXPECT_EQ(same->value().outcome_, ApplyOutcome::Accepted);
  EXPECT_EQ(copy->value().outcome_, ApplyOutcome::Unchanged);
  EXPECT_EQ(other->value().outcome_, ApplyOutcome::Conflict);
  EXPECT_EQ(Head()->version_, ConfigVersion(1));
}

struct BaseCase
{
  const char* name_;
  uint64_t sheetBase_;
  std::optional<ConfigVersion> optionBase_;
  ApplyOutcome outcome_;
};

class ApplyBaseTest
  : public ApplyTest
  , public testing::WithParamInterface<BaseCase>
{};

// Guards against a sheet that overwrites versions newer than the one on which it is based.
TEST_P(ApplyBaseTest, RejectsOutdatedBase)
{
  Apply(MakeSheet(1), "a");
  Apply(MakeSheet(2), "b");
  const ApplyResult result = Apply(MakeSheet(3, GetParam().sheetBase_), "c", GetParam().optionBase_);
  EXPECT_EQ(result.outcome_, GetParam().outcome_);
  const bool isRefused = result.outcome_ == ApplyOutcome::Conflict;
  EXPECT_EQ(result.differing_.size(), isRefused ? 1U : 0U);
  EXPECT_EQ(result.text_.find("differ: a") != std::string::npos, isRefused);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         ApplyBaseTest,
                         testing::Values(BaseCase{ "None", 0, {}, ApplyOutcome::Accepted },
                                         BaseCase{ "Current", 2, {}, ApplyOutcome::Accepted },
                                         BaseCase{ "Old", 1, {}, ApplyOutcome::Conflict },
                                         BaseCase{ "Future", 3, {}, ApplyOutcome::Failed },
                                         BaseCase{ "OptionOld", 2, ConfigVersion(1), ApplyOutcome::Conflict },
                                         BaseCase{ "OptionCurrent", 1, ConfigVersion(2), ApplyOutcome::Accepted }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

// Guards against the outcome Unchanged on the basis of a stale read that misses another operator's version.
TEST_F(ApplyTest, StaleReadIsNotReportedAsUnchanged)
{
  Apply(MakeSheet(1), "a");
  timers_.Advance(Seconds(60));
  Apply(MakeSheet(2), "b");
  SetFaults([](StoreFaults& aFaults) { aFaults.readLag_ = Seconds(62); });
  const ApplyResult result = Apply(MakeSheet(1), "c", ConfigVersion(2));
  EXPECT_EQ(result.outcome_, ApplyOutcome::Accepted);
  EXPECT_EQ(result.version_, ConfigVersion(3));
}

// Guards against an apply that fails during a short outage or never finishes during a long one.
TEST_F(ApplyTest, OutageAndHighLatency)
{
  SetFaults([](StoreFaults& aFaults) { aFaults.outage_ = true; });
  EXPECT_EQ(Apply(MakeSheet(1), "a").outcome_, ApplyOutcome::Failed);
  auto result = Begin(MakeSheet(1), "b");
  timers_.Advance(Seconds(5));
  SetFaults([](StoreFaults& aFaults) { aFaults.latency_ = Seconds(5); });
  timers_.Advance(Seconds(60));
  EXPECT_EQ(result->value().outcome_, ApplyOutcome::Accepted);
}

// Guards against a head that is neither the old nor the new one, or that blocks the next apply, after a crash at any
// step.
TEST_F(ApplyTest, CrashAtAnyStep)
{
  Apply(MakeSheet(1), "first");
  uint64_t before = 1;
  for (unsigned step = 1; step <= 6; step++) {
    for (const bool executesLastPut : { false, true }) {
      CrashAtCallStore crashing(store_);
      crashing.crashAtCall_ = step;
      crashing.executesLastPut_ = executesLastPut;
      const int limit = static_cast<int>(2 * step) + (executesLastPut ? 1 : 0);
      ApplySheet(
        crashing, timers_, MakeSheet(limit), { "killed" + std::to_string(limit), {} }, [](const ApplyResult&) {});
      timers_.Advance(Seconds(60));
      const Manifest head = Head().value();
      EXPECT_TRUE(head.version_.Value() == before || head.version_.Value() == before + 1);
      for (const auto& [service, hash] : head.partHashes_) {
        EXPECT_EQ(store_.Keys(PartKey(hash)).size(), 1U);
      }
      const ApplyResult next = Apply(MakeSheet(100 + limit), "next" + std::to_string(limit));
      EXPECT_EQ(next.outcome_, ApplyOutcome::Accepted);
      before = next.version_.Value();
    }
  }
}

} // namespace
} // namespace ibisrock
