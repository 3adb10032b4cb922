#include "adapters/loop_timer_service.h"
#include "platform/emulator/load.h"
#include "platform/emulator/pause_log.h"

#include <gtest/gtest.h>
#include <sstream>

namespace ibisrock::platform {
namespace {

struct PauseCase
{
  const char* name_;
  const char* lines_;
  size_t instance_;
  Millis begin_;
  Millis end_;
  Millis paused_;
};

class InstancePauses : public testing::TestWithParam<PauseCase>
{};

// Guards against a soak test that accepts late answers outside the time in which their instance was stopped.
TEST_P(InstancePauses, AreCountedWithinTheInterval)
{
  const PauseCase& test = GetParam();
  std::istringstream lines(test.lines_);
  EXPECT_EQ(PausedBetween(ReadPauses(lines), test.instance_, test.begin_, test.end_), test.paused_);
}

constexpr const char* kTwoPauses = "t=5.50 instance=1 fault=2\nt=6.00 instance=1 resumed\n"
                                   "t=6.10 instance=1 fault=2\nt=6.30 instance=1 resumed\n";

INSTANTIATE_TEST_SUITE_P(
  Soak,
  InstancePauses,
  testing::Values(PauseCase{ "None", "", 1, Millis(0), Millis(9000), Millis(0) },
                  PauseCase{ "TwoConsecutive", kTwoPauses, 1, Millis(5000), Millis(7000), Millis(700) },
                  PauseCase{ "PartOfFirst", kTwoPauses, 1, Millis(5900), Millis(6050), Millis(100) },
                  PauseCase{ "BeforeInterval", kTwoPauses, 1, Millis(6400), Millis(7000), Millis(0) },
                  PauseCase{ "OtherInstance", kTwoPauses, 2, Millis(5000), Millis(7000), Millis(0) },
                  PauseCase{ "StillStopped", "t=5.5 instance=1 fault=2\n", 1, Millis(5000), Millis(6000), Millis(500) },
                  PauseCase{ "OtherSignals",
                             "t=5.5 instance=1 fault=0\nt=5.7 instance=1 fault=3\nnot a line\n",
                             1,
                             Millis(5000),
                             Millis(6000),
                             Millis(0) }),
  [](const auto& aCase) { return aCase.param.name_; });

struct LeftAloneCase
{
  const char* name_;
  const char* lines_;
  Millis begin_;
  bool wasLeftAlone_;
};

class InstanceLeftAlone : public testing::TestWithParam<LeftAloneCase>
{};

/// Guards against rules that are checked at an instance that was disturbed, or that excuse one that was not.
TEST_P(InstanceLeftAlone, EndsWithASignal)
{
  std::istringstream lines(GetParam().lines_);
  EXPECT_EQ(WasLeftAloneSince(lines, 1, GetParam().begin_), GetParam().wasLeftAlone_);
}

constexpr const char* kRestart = "t=5.50 instance=1 fault=1\nt=7.00 instance=1 started\n";

INSTANTIATE_TEST_SUITE_P(
  Soak,
  InstanceLeftAlone,
  testing::Values(LeftAloneCase{ "NoSignal", "", Millis(4000), true },
                  LeftAloneCase{ "LongAgo", kRestart, Millis(8000), true },
                  LeftAloneCase{ "StartedLately", kRestart, Millis(6000), false },
                  LeftAloneCase{ "StillStopping", "t=5.50 instance=1 fault=1\n", Millis(8000), false },
                  LeftAloneCase{ "Reloaded", "t=8.50 instance=1 fault=3\n", Millis(8000), true },
                  LeftAloneCase{ "OtherInstance", "t=8.50 instance=2 fault=0\n", Millis(8000), true }),
  [](const auto& aInfo) { return aInfo.param.name_; });

struct PlannedStopCase
{
  const char* name_;
  const char* lines_;
  bool isInPlannedStop_;
};

class PlannedStopOfTheSoak : public testing::TestWithParam<PlannedStopCase>
{};

/// Guards against lost requests that no stop excuses, and against a stop amid other faults that is taken for a planned
/// one. The stop must be after 5 s, with 4 s of quiet before it.
TEST_P(PlannedStopOfTheSoak, NeedsQuietBeforeIt)
{
  std::istringstream lines(GetParam().lines_);
  EXPECT_EQ(IsInPlannedStop(lines, 1, Seconds(5), Seconds(4)), GetParam().isInPlannedStop_);
}

INSTANTIATE_TEST_SUITE_P(
  Soak,
  PlannedStopOfTheSoak,
  testing::Values(PlannedStopCase{ "Alone", "t=7.0 instance=1 fault=4\n", true },
                  PlannedStopCase{ "JustStartedAgain", "t=7.0 instance=1 fault=4\nt=9.9 instance=1 started\n", true },
                  PlannedStopCase{ "LongAgo", "t=4.9 instance=1 fault=4\n", false },
                  PlannedStopCase{ "SoonAfterAnother", "t=3.1 instance=1 resumed\nt=7.0 instance=1 fault=4\n", false },
                  PlannedStopCase{ "LongAfterAnother", "t=2.9 instance=1 resumed\nt=7.0 instance=1 fault=4\n", true },
                  PlannedStopCase{ "SoonAfterReload", "t=6.0 instance=1 fault=3\nt=7.0 instance=1 fault=4\n", true },
                  PlannedStopCase{ "KilledMeanwhile", "t=7.0 instance=1 fault=4\nt=8.0 instance=1 fault=0\n", false },
                  PlannedStopCase{ "StopInAStorm", "t=7.0 instance=1 fault=1\n", false },
                  PlannedStopCase{ "OtherInstance", "t=7.0 instance=2 fault=4\n", false }),
  [](const auto& aInfo) { return aInfo.param.name_; });

struct UnresponsiveCase
{
  const char* name_;
  /// The pause log shows the instance as stopped for the whole time.
  bool isPaused_;
  size_t violations_;
};

class UnresponsiveInstance : public testing::TestWithParam<UnresponsiveCase>
{};

// Guards against soak test callers that report no violation for an unresponsive instance that was not stopped.
TEST_P(UnresponsiveInstance, IsAViolationUnlessStopped)
{
  boost::asio::io_context loop{ 1 };
  boost::asio::ip::tcp::acceptor listener(loop, { boost::asio::ip::address_v4::loopback(), 0 });
  ManualTimerService timers;
  Random random(1);
  Load::Settings settings;
  LastReason reason;
  settings.instances_ = { *adapters::ParseSocketAddress("127.0.0.1:" + std::to_string(listener.local_endpoint().port()),
                                                        reason) };
  settings.perSecond_ = 1;
  settings.pausedWithinLast_ = [](size_t /*aInstance*/, Micros aLast) {
    return GetParam().isPaused_ ? aLast : Micros::zero();
  };
  Load load(loop, timers, random, settings);
  load.Start();
  while (load.Report().sent_ == 0) {
    timers.RunNext();
  }
  load.Stop();
  boost::asio::ip::tcp::socket accepted = listener.accept();
  while (accepted.available() == 0) {
    loop.poll();
  }
  timers.Advance(Seconds(3));
  EXPECT_EQ(load.Report().violations_.size(), GetParam().violations_);
}

INSTANTIATE_TEST_SUITE_P(Soak,
                         UnresponsiveInstance,
                         testing::Values(UnresponsiveCase{ "Running", false, 1 },
                                         UnresponsiveCase{ "Stopped", true, 0 }),
                         [](const auto& aCase) { return aCase.param.name_; });

} // namespace
} // namespace ibisrock::platform
