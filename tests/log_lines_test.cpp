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
KillLast(FakeCluster& aCluster)
{
  aCluster.Kill(6);
  aCluster.timers_.Advance(Seconds(30));
}

void
RestartLast(FakeCluster& aCluster)
{
  KillLast(aCluster);
  aCluster.Restart(6);
  aCluster.timers_.Advance(Seconds(30));
}

void
LeaveLast(FakeCluster& aCluster)
{
  aCluster.At(6).BeginLeave();
  aCluster.timers_.Advance(Seconds(5));
}

void
SetState(FakeCluster& aCluster, TargetState aState, uint64_t aBoot)
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
  SetState(aCluster, TargetState::Draining, 1);
}

void
RestartTarget(FakeCluster& aCluster)
{
  DrainTarget(aCluster);
  SetState(aCluster, TargetState::Ready, 2);
}

/// Changes the head in the store as another program would, and lets the watchers read it.
void
RewriteHead(FakeCluster& aCluster, const std::function<void(Manifest&)>& aChange)
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
WriteOtherContent(FakeCluster& aCluster)
{
  RewriteHead(aCluster, [](Manifest& aManifest) { aManifest.partHashes_.clear(); });
}

void
WriteLowerVersion(FakeCluster& aCluster)
{
  RewriteHead(aCluster, [](Manifest& aManifest) { aManifest.version_ = ConfigVersion(2); });
  RewriteHead(aCluster, [](Manifest& aManifest) { aManifest.version_ = ConfigVersion(1); });
}

void
AskUnknownService(FakeCluster& aCluster)
{
  Query query = FakeCluster::MakeQuery("a");
  query.service_ = ServiceName("other");
  aCluster.Ask(0, query);
}

struct LineCase
{
  const char* name_;
  void (*happen_)(FakeCluster&);
  const char* line_;
};

class OperatorLines : public testing::TestWithParam<LineCase>
{};

// Guards against an event that an operator must know of and that leaves no line.
TEST_P(OperatorLines, TellWhatHappened)
{
  LineSink sink;
  FakeCluster cluster({}, 1);
  cluster.logs_ = &sink;
  cluster.Start();
  const auto before = sink.Count(GetParam().line_);
  GetParam().happen_(cluster);
  EXPECT_GT(sink.Count(GetParam().line_), before) << testing::PrintToString(sink.lines_);
}

INSTANTIATE_TEST_SUITE_P(
  Events,
  OperatorLines,
  testing::Values(LineCase{ "InForce", &WriteLowerVersion, "instance: configuration version 2 is in force with 1" },
                  LineCase{ "MemberDead", &KillLast, "is dead" },
                  LineCase{ "MemberBack", &RestartLast, "is back" },
                  LineCase{ "MemberLeaving", &LeaveLast, "is leaving" },
                  LineCase{ "TargetLeaving", &DrainTarget, "targets: target s0-r0 is leaving" },
                  LineCase{ "TargetBack", &RestartTarget, "targets: target s0-r0 is back, boot " },
                  LineCase{ "LowerVersion", &WriteLowerVersion, "config: config/head version 1 ignored" },
                  LineCase{ "OtherContent", &WriteOtherContent, "config: config/head version 1 refused: its hash" },
                  LineCase{ "Refusal", &AskUnknownService, "for other not answered: not-run, unknown-service" }),
  [](const auto& aInfo) { return aInfo.param.name_; });

struct BlameCase
{
  const char* name_;
  uint32_t inFlight_;
  const char* line_;
};

class CrashLines : public testing::TestWithParam<BlameCase>
{};

// Guards against a query that is refused for minutes without a trace of the reason.
TEST_P(CrashLines, NameTheQueryOnce)
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
  Losses,
  CrashLines,
  testing::Values(BlameCase{ "Alone", 1, "crash guard: query 5 of request entry-0/7/42 blocked as crash suspect" },
                  BlameCase{ "Shared", 2, "crash guard: query 5 of request entry-0/7/42 is a crash suspect" }),
  [](const auto& aInfo) { return aInfo.param.name_; });

struct LevelCase
{
  const char* name_;
  /// Lines written of one at each level.
  size_t written_;
};

class LogLevels : public testing::TestWithParam<LevelCase>
{};

// Guards against a log level that turns the output to a file on again, or that keeps less severe lines.
TEST_P(LogLevels, LeaveFileOutputOff)
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
