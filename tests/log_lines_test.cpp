#include "daemon/logging.h"
#include "fakes/fake_cluster.h"
#include "line_sink.h"
#include "version/manifest.h"

#include <easylogging++.h>
#include <gtest/gtest.h>

namespace ibisrock {
namespace {

using fakes::FakeCluster;

void
KillLastInstance(FakeCluster& aCluster)
{
  aCluster.Kill(6);
  aCluster.timers_.Advance(Seconds(30));
}

void
RestartLastInstance(FakeCluster& aCluster)
{
  KillLastInstance(aCluster);
  aCluster.Restart(6);
  aCluster.timers_.Advance(Seconds(30));
}

void
ShutDownLastInstance(FakeCluster& aCluster)
{
  aCluster.At(6).BeginLeave();
  aCluster.timers_.Advance(Seconds(5));
}

void
SetTargetState(FakeCluster& aCluster, TargetState aState, uint64_t aBoot)
{
  auto target = aCluster.targets_.Get(FakeCluster::TargetOf(0, 0));
  target.state_ = aState;
  target.boots_ = aBoot;
  aCluster.targets_.Set(FakeCluster::TargetOf(0, 0), target);
  aCluster.timers_.Advance(Seconds(30));
}

void
DrainTarget(FakeCluster& aCluster)
{
  SetTargetState(aCluster, TargetState::Draining, 1);
}

void
RestartTarget(FakeCluster& aCluster)
{
  DrainTarget(aCluster);
  SetTargetState(aCluster, TargetState::Ready, 2);
}

/// Modifies the configuration head in the store as an external writer would, and waits until the watchers have read it.
void
ModifyConfigHead(FakeCluster& aCluster, const std::function<void(Manifest&)>& aChange)
{
  aCluster.store_.Get(kConfigHeadKey, [&aCluster, aChange](const StoreResult& aResult) {
    LastReason reason;
    auto manifest = DecodeManifest(aResult.value_, reason);
    aChange(*manifest);
    manifest->sheetHash_ = SheetHash(manifest->partHashes_);
    aCluster.store_.Put(kConfigHeadKey, EncodeManifest(*manifest), aResult.revision_, [](const StoreResult&) {});
  });
  aCluster.timers_.Advance(Seconds(5));
}

void
WriteMismatchedHash(FakeCluster& aCluster)
{
  ModifyConfigHead(aCluster, [](Manifest& aManifest) { aManifest.partHashes_.clear(); });
}

void
WriteLowerVersion(FakeCluster& aCluster)
{
  ModifyConfigHead(aCluster, [](Manifest& aManifest) { aManifest.version_ = ConfigVersion(2); });
  ModifyConfigHead(aCluster, [](Manifest& aManifest) { aManifest.version_ = ConfigVersion(1); });
}

void
QueryUnknownService(FakeCluster& aCluster)
{
  Query query = FakeCluster::MakeQuery("a");
  query.service_ = ServiceName("other");
  aCluster.Ask(0, query);
}

struct EventCase
{
  const char* name_;
  void (*trigger_)(FakeCluster&);
  const char* line_;
};

class EventLogLines : public testing::TestWithParam<EventCase>
{};

// Guards against a missing log line for an event that operators must be informed of.
TEST_P(EventLogLines, DescribeEvent)
{
  LineSink sink;
  FakeCluster cluster({}, 1);
  cluster.logs_ = &sink;
  cluster.Start();
  const auto before = sink.Count(GetParam().line_);
  GetParam().trigger_(cluster);
  EXPECT_GT(sink.Count(GetParam().line_), before) << testing::PrintToString(sink.lines_);
}

INSTANTIATE_TEST_SUITE_P(
  Events,
  EventLogLines,
  testing::Values(
    EventCase{ "VersionInForce", &WriteLowerVersion, "instance: configuration version 2 is in force with 1" },
    EventCase{ "MemberDead", &KillLastInstance, "is dead" },
    EventCase{ "MemberBack", &RestartLastInstance, "is back" },
    EventCase{ "MemberLeaving", &ShutDownLastInstance, "is leaving" },
    EventCase{ "TargetLeaving", &DrainTarget, "targets: target s0-r0 is leaving" },
    EventCase{ "TargetBack", &RestartTarget, "targets: target s0-r0 is back, boot " },
    EventCase{ "LowerVersion", &WriteLowerVersion, "config: config/head version 1 ignored" },
    EventCase{ "MismatchedHash", &WriteMismatchedHash, "config: config/head version 1 refused: its hash" },
    EventCase{ "Refusal", &QueryUnknownService, "for other not answered: not-run, unknown-service" }),
  [](const auto& aInfo) { return aInfo.param.name_; });

struct CrashLogCase
{
  const char* name_;
  uint32_t inFlight_;
  const char* line_;
};

class CrashGuardLogLines : public testing::TestWithParam<CrashLogCase>
{};

// Guards against a query that is refused for minutes without a log line that states the reason.
TEST_P(CrashGuardLogLines, NameQueryOnce)
{
  ManualTimerService timers;
  LineSink sink;
  CrashGuard guard(
    timers, [](const wire::Update&) {}, &sink);
  const RequestId run{ InstanceId("entry-0"), Incarnation(7), 42 };
  guard.OnConnectionLost(run, Fingerprint(5), GetParam().inFlight_);
  guard.OnConnectionLost(run, Fingerprint(5), GetParam().inFlight_);
  EXPECT_EQ(sink.lines_.size(), 1U);
  EXPECT_EQ(sink.Count(GetParam().line_), 1);
}

INSTANTIATE_TEST_SUITE_P(
  LostConnections,
  CrashGuardLogLines,
  testing::Values(
    CrashLogCase{ "SingleQueryInFlight", 1, "crash guard: query 5 of request entry-0/7/42 blocked as crash suspect" },
    CrashLogCase{ "SeveralQueriesInFlight", 2, "crash guard: query 5 of request entry-0/7/42 is a crash suspect" }),
  [](const auto& aInfo) { return aInfo.param.name_; });

struct LevelCase
{
  const char* name_;
  /// Number of lines written when one message is logged at each level.
  size_t written_;
};

class LogLevels : public testing::TestWithParam<LevelCase>
{};

// Guards against a log level that re-enables file output, or that does not suppress less severe lines.
TEST_P(LogLevels, KeepFileOutputDisabled)
{
  daemon::ConfigureLogs(GetParam().name_);
  daemon::EasyloggingSink sink;
  testing::internal::CaptureStdout();
  for (const auto level : { LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error }) {
    sink.Write(level, "part", "text");
  }
  const std::string output = testing::internal::GetCapturedStdout();
  EXPECT_EQ(static_cast<size_t>(std::count(output.begin(), output.end(), '\n')), GetParam().written_) << output;
  const auto* settings = el::Loggers::getLogger("default")->typedConfigurations();
  for (const auto level : { el::Level::Debug, el::Level::Info, el::Level::Warning, el::Level::Error }) {
    EXPECT_FALSE(const_cast<el::base::TypedConfigurations*>(settings)->toFile(level));
  }
}

INSTANTIATE_TEST_SUITE_P(
  Settings,
  LogLevels,
  testing::Values(LevelCase{ "error", 1 }, LevelCase{ "warning", 2 }, LevelCase{ "info", 3 }, LevelCase{ "debug", 4 }),
  [](const auto& aInfo) { return aInfo.param.name_; });

} // namespace
} // namespace ibisrock
