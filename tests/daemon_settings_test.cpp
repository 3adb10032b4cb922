#include "daemon/settings.h"

#include <gtest/gtest.h>

namespace ibisrock::daemon {
namespace {

/// Required settings as variables, so that a case only names what it changes.
Variables
Required()
{
  return { { "IBISROCK_INSTANCE", "entry-0" },
           { "IBISROCK_DATA_CENTRE", "lhr-a" },
           { "IBISROCK_LISTEN", "127.0.0.1:8080" },
           { "IBISROCK_PEER_LISTEN", "127.0.0.1:8081" },
           { "IBISROCK_PLATFORM", "127.0.0.1:8082" } };
}

struct FaultCase
{
  const char* name_;
  const char* variable_;
  const char* value_;
  /// Parts of the one expected fault.
  const char* setting_;
  const char* reason_;
};

class SettingFaults : public testing::TestWithParam<FaultCase>
{};

// Guards against a daemon that starts with a value it cannot honour, or whose refusal hides which setting is at fault.
TEST_P(SettingFaults, NameTheSettingAndTheReason)
{
  const FaultCase& param = GetParam();
  Variables variables = Required();
  variables[param.variable_] = param.value_;
  std::vector<SettingFault> faults;
  EXPECT_FALSE(ReadCommandLine({}, variables, faults));
  ASSERT_EQ(faults.size(), 1U);
  EXPECT_NE(faults[0].setting_.find(param.setting_), std::string::npos) << faults[0].setting_;
  EXPECT_NE(faults[0].text_.find(param.reason_), std::string::npos) << faults[0].text_;
}

INSTANTIATE_TEST_SUITE_P(
  Values,
  SettingFaults,
  testing::Values(
    FaultCase{ "UnknownVariable", "IBISROCK_DRAIN", "3s", "IBISROCK_DRAIN", "not the variable" },
    FaultCase{ "EmptyName", "IBISROCK_INSTANCE", "", "--instance", "empty" },
    FaultCase{ "BadName", "IBISROCK_INSTANCE", "a b", "--instance", "not a name" },
    FaultCase{ "NoPort", "IBISROCK_LISTEN", "127.0.0.1", "--listen", "not an IPv4" },
    FaultCase{ "PortTooLarge", "IBISROCK_LISTEN", "127.0.0.1:65536", "--listen", "not an IPv4" },
    FaultCase{ "HostName", "IBISROCK_PLATFORM", "localhost:1", "--platform", "not an IPv4" },
    FaultCase{ "AdvertiseNoPort", "IBISROCK_PEER_ADVERTISE", "127.0.0.1", "--peer-advertise", "not an IPv4" },
    FaultCase{ "DrainBelowZero", "IBISROCK_DRAIN_TIME", "-1s", "--drain-time", "below zero" },
    FaultCase{ "DrainWithoutUnit", "IBISROCK_DRAIN_TIME", "3", "--drain-time", "unit us, ms, s or min" },
    FaultCase{ "DrainBadUnit", "IBISROCK_DRAIN_TIME", "3h", "--drain-time", "unit us, ms, s or min" },
    FaultCase{ "DrainTooLong", "IBISROCK_DRAIN_TIME", "11min", "--drain-time", "not from 0 to" },
    FaultCase{ "DrainOverflow", "IBISROCK_DRAIN_TIME", "9999999999999999min", "--drain-time", "too large" },
    FaultCase{ "SizeBadUnit", "IBISROCK_MAX_BODY", "1kb", "--max-body", "unit B, KiB or MiB" },
    FaultCase{ "HeaderTooLarge", "IBISROCK_MAX_HEADER", "5KiB", "--max-header", "not from 256 to 4096 bytes" },
    FaultCase{ "NoThreads", "IBISROCK_TARGET_THREADS", "0", "--target-threads", "not from 1" },
    FaultCase{ "CountWithUnit", "IBISROCK_BACKLOG", "1k", "--backlog", "whole number" },
    FaultCase{ "LogLevel", "IBISROCK_LOG_LEVEL", "loud", "--log-level", "not one of" },
    FaultCase{ "SamePort", "IBISROCK_PEER_LISTEN", "0.0.0.0:8080", "--peer-listen", "same port as --listen" },
    FaultCase{ "PlatformIsSelf", "IBISROCK_PLATFORM", "127.0.0.1:8081", "--platform", "--peer-listen" },
    FaultCase{ "MinAboveMax", "IBISROCK_MIN_THREADS", "600", "--min-threads", "above --max-callers" },
    FaultCase{ "ThreadsTogether", "IBISROCK_MAX_CALLERS", "4000", "--max-callers", "together" }),
  [](const auto& aInfo) { return aInfo.param.name_; });

// Guards against an operator who has to start the daemon once for each fault.
TEST(Settings, ReportsAllFaultsAtOnce)
{
  std::vector<SettingFault> faults;
  EXPECT_FALSE(ReadCommandLine({ "--drain-time", "-3s" }, { { "IBISROCK_TYPO", "1" } }, faults));
  // Five required settings, the drain time and the variable.
  EXPECT_EQ(faults.size(), 7U);
}

// Guards against a variable that overrides an explicit flag, and against wrong defaults or units.
TEST(Settings, FlagTakesPrecedenceOverVariableAndDefault)
{
  Variables variables = Required();
  variables["IBISROCK_DRAIN_TIME"] = "1s";
  std::vector<SettingFault> faults;
  auto line = ReadCommandLine({ "--drain-time", "250ms", "--check" }, variables, faults);
  ASSERT_TRUE(line);
  EXPECT_EQ(line->task_, Task::Check);
  EXPECT_EQ(line->settings_.drainTime_, Millis(250));
  EXPECT_EQ(line->settings_.maxBody_, 1024U * 1024U);
  EXPECT_EQ(line->settings_.instance_, "entry-0");
}

// Guards against an instance that tells its peers an address at which they cannot reach it.
TEST(Settings, AdvertisesThePeerAddressUnlessAnotherIsGiven)
{
  std::vector<SettingFault> faults;
  auto line = ReadCommandLine({}, Required(), faults);
  ASSERT_TRUE(line);
  EXPECT_EQ(line->settings_.peerAdvertised_, "127.0.0.1:8081");
  line = ReadCommandLine({ "--peer-advertise", "127.0.0.1:9000" }, Required(), faults);
  ASSERT_TRUE(line);
  EXPECT_EQ(line->settings_.peerAdvertised_, "127.0.0.1:9000");
  EXPECT_EQ(line->settings_.peerAddress_, "127.0.0.1:8081");
}

struct TaskCase
{
  const char* name_;
  const char* flag_;
  std::optional<Task> task_;
};

class SettingTasks : public testing::TestWithParam<TaskCase>
{};

// Guards against --help or --version that needs valid settings, and against an unknown flag that is passed over.
TEST_P(SettingTasks, AreReadWithoutSettings)
{
  std::vector<SettingFault> faults;
  auto line = ReadCommandLine({ GetParam().flag_ }, {}, faults);
  EXPECT_EQ(line ? std::optional(line->task_) : std::nullopt, GetParam().task_);
  EXPECT_EQ(faults.empty(), GetParam().task_.has_value());
}

INSTANTIATE_TEST_SUITE_P(Flags,
                         SettingTasks,
                         testing::Values(TaskCase{ "Help", "--help", Task::ShowHelp },
                                         TaskCase{ "Version", "--version", Task::ShowVersion },
                                         TaskCase{ "Unknown", "--colour", std::nullopt },
                                         TaskCase{ "Check", "--check", std::nullopt }),
                         [](const auto& aInfo) { return aInfo.param.name_; });

} // namespace
} // namespace ibisrock::daemon
