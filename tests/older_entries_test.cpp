#include "process/older_entries.h"

#include <gtest/gtest.h>

namespace ibisrock {
namespace {

constexpr TimePoint kReturn{ Seconds(100) };

struct EntryOf
{
  uint64_t startedAt_ = 0;
  uint64_t checkIns_ = 0;
  bool isLeaving_ = false;
  const char* address_ = "10.0.0.1:80";
};

TargetRecord
Record(const EntryOf& aEntry)
{
  TargetRecord record;
  record.name_ = TargetName("t");
  record.pool_ = PoolName("p");
  record.address_ = TargetAddress(aEntry.address_);
  record.startedAt_ = aEntry.startedAt_;
  record.checkIns_ = aEntry.checkIns_;
  record.isLeaving_ = aEntry.isLeaving_;
  return record;
}

/// What holds of a target of which an entry comes from an older copy.
enum class Holds : uint8_t
{
  Entry,
  Known,
  Nothing,
};

struct OlderEntryCase
{
  const char* name_;
  EntryOf known_;
  /// Time from the removal of the known entry to the store's return, if it was removed.
  std::optional<Micros> removedBefore_;
  EntryOf entry_;
  Holds holds_;
  /// Whether the entry is taken when the time of holding back ends.
  bool isTakenLater_;
};

class OlderEntry : public testing::TestWithParam<OlderEntryCase>
{};

/// Guards against a target that has left, was removed or was started again, and is used by what it wrote before; and
/// against a target that is kept out for good although it lives.
TEST_P(OlderEntry, IsHeldBackWhileNotNewer)
{
  const OlderEntryCase& test = GetParam();
  OlderEntries entries;
  const TargetRecord known = Record(test.known_);
  std::vector<TargetRecord> present;
  if (test.removedBefore_) {
    entries.OnRemoved(known, kReturn - *test.removedBefore_);
  } else {
    present.push_back(known);
  }
  entries.Begin(present, kReturn);
  const TargetRecord entry = Record(test.entry_);
  const std::optional<TargetRecord> resolved = entries.Resolve(entry, kReturn);
  switch (test.holds_) {
    case Holds::Entry:
      EXPECT_EQ(resolved, entry);
      break;
    case Holds::Known:
      EXPECT_EQ(resolved, known);
      break;
    case Holds::Nothing:
      EXPECT_EQ(resolved, std::nullopt);
      break;
  }
  EXPECT_EQ(entries.End(), test.isTakenLater_ ? std::vector{ entry } : std::vector<TargetRecord>());
  EXPECT_EQ(entries.Resolve(entry, kReturn), entry);
}

INSTANTIATE_TEST_SUITE_P(
  OlderEntries,
  OlderEntry,
  testing::Values(
    OlderEntryCase{ "SameEntry", { 1000, 5 }, std::nullopt, { 1000, 5 }, Holds::Known, false },
    OlderEntryCase{ "FewerCheckIns", { 1000, 5 }, std::nullopt, { 1000, 4 }, Holds::Known, false },
    OlderEntryCase{ "MoreCheckIns", { 1000, 5 }, std::nullopt, { 1000, 6 }, Holds::Entry, false },
    OlderEntryCase{ "ReadyBeforeItLeft", { 1000, 9, true }, std::nullopt, { 1000, 5 }, Holds::Known, true },
    OlderEntryCase{ "ReadyAtTheSameCheckIn", { 1000, 9, true }, std::nullopt, { 1000, 9 }, Holds::Known, true },
    OlderEntryCase{ "ReadyAgain", { 1000, 9, true }, std::nullopt, { 1000, 10 }, Holds::Entry, false },
    OlderEntryCase{ "EarlierStart", { 2000, 1 }, std::nullopt, { 1000, 50 }, Holds::Known, true },
    OlderEntryCase{ "LaterStart", { 1000, 50 }, std::nullopt, { 2000, 1 }, Holds::Entry, false },
    OlderEntryCase{ "OtherAddress", { 0, 5 }, std::nullopt, { 0, 4, false, "10.0.0.2:80" }, Holds::Entry, false },
    OlderEntryCase{ "WithoutCheckIns", { 1000, 0, true }, std::nullopt, { 1000, 0 }, Holds::Entry, false },
    OlderEntryCase{ "Removed", { 1000, 5 }, Seconds(5), { 1000, 5 }, Holds::Nothing, true },
    OlderEntryCase{ "RemovedAndChecksIn", { 1000, 5 }, Seconds(5), { 1000, 6 }, Holds::Entry, false },
    OlderEntryCase{ "RemovedLongAgo", { 1000, 5 }, Seconds(31), { 1000, 5 }, Holds::Entry, false }),
  [](const auto& aInfo) { return aInfo.param.name_; });

/// Guards against entries that are held back although they no longer exist, and are taken at the end.
TEST(OlderEntries, DroppedEntryIsNotTaken)
{
  OlderEntries entries;
  entries.Begin({ Record({ 1000, 9, true }) }, kReturn);
  entries.Resolve(Record({ 1000, 5 }), kReturn);
  ASSERT_EQ(entries.HeldBack(), 1U);
  entries.Drop(TargetName("t"));
  EXPECT_TRUE(entries.End().empty());
}

/// Guards against an entry that is held back, was written again as it was known since, and is overridden by the older
/// one.
TEST(OlderEntries, EntryWrittenAgainUnchangedEndsTheHold)
{
  OlderEntries entries;
  entries.Begin({ Record({ 1000, 9, true }) }, kReturn);
  entries.Resolve(Record({ 1000, 5 }), kReturn);
  ASSERT_EQ(entries.HeldBack(), 1U);
  EXPECT_EQ(entries.Resolve(Record({ 1000, 9, true }), kReturn), Record({ 1000, 9, true }));
  EXPECT_TRUE(entries.End().empty());
}

/// Guards against an entry that is held back and taken in the end, although a later list no longer has it.
TEST(OlderEntries, LaterListReplacesWhatIsHeldBack)
{
  OlderEntries entries;
  entries.OnRemoved(Record({ 1000, 9 }), kReturn);
  entries.Begin({}, kReturn);
  entries.BeginList();
  ASSERT_EQ(entries.Resolve(Record({ 1000, 5 }), kReturn), std::nullopt);
  entries.BeginList();
  EXPECT_TRUE(entries.End().empty());
}

/// Guards against entries that are held back while nothing is known of a return.
TEST(OlderEntries, NothingIsHeldBackBeforeAReturn)
{
  OlderEntries entries;
  entries.OnRemoved(Record({ 1000, 9 }), kReturn);
  EXPECT_EQ(entries.Resolve(Record({ 1000, 5 }), kReturn), Record({ 1000, 5 }));
}

} // namespace
} // namespace ibisrock
