#include "process/target_directory.h"

#include <gtest/gtest.h>

namespace ibisrock {
namespace {

const TargetName kName("t");

TargetRecord
Record()
{
  TargetRecord record;
  record.name_ = kName;
  record.pool_ = PoolName("p");
  record.address_ = TargetAddress("10.0.0.1:80");
  return record;
}

/// Guards against a target that is removed by the deadline of an earlier outage, although it has registered again since
/// and is missing for the second time only now.
TEST(TargetDirectory, MissingTargetIsKeptForTheFullTimeAfterEachOutage)
{
  ManualTimerService timers;
  TargetDirectory directory(timers, Seconds(1), [](const TargetName&) {});
  directory.Upsert(Record());
  directory.Replace({}, true);
  timers.Advance(Seconds(1));
  directory.Upsert(Record());
  timers.Advance(Millis(500));
  directory.Replace({}, true);
  timers.Advance(TargetDirectory::kMissingTargetRetention - Millis(100));
  EXPECT_NE(directory.Find(kName), nullptr);
  timers.Advance(Millis(200));
  EXPECT_EQ(directory.Find(kName), nullptr);
}

/// Guards against a target that is kept for good by lists without it that follow one after the other.
TEST(TargetDirectory, FurtherListsDoNotExtendTheTime)
{
  ManualTimerService timers;
  TargetDirectory directory(timers, Seconds(1), [](const TargetName&) {});
  directory.Upsert(Record());
  for (int i = 0; i < 3; i++) {
    directory.Replace({}, true);
    timers.Advance(Millis(700));
  }
  EXPECT_EQ(directory.Find(kName), nullptr);
}

} // namespace
} // namespace ibisrock
