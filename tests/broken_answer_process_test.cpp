#include "broken_answers.h"
#include "free_port.h"
#include "platform/emulator/store_emulator.h"
#include "scripted_target.h"

#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace ibisrock::platform {
namespace {

using adapters::LoopHttpConnection;
using adapters::ScriptedTarget;
using adapters::ServerReply;
using nlohmann::json;

constexpr const char* kId = "9c41d07be2a35f68";
constexpr const char* kStamp = "3e1b.07.5a2.600.0.c9f2a4d1";
const std::string kRecord = "0123456789abcdef";
const BrokenAnswers kAnswers(std::string("Request-Id: ") + kId + "\r\nServer-Stamp: " + kStamp + "\r\n", kRecord);

json
MakeRoute(const char* aName, const json& aDestination)
{
  json route{ { "name", aName },         { "host", "h" },   { "pathPrefix", std::string("/") + aName + "/" },
              { "timeoutMs", 2000 },     { "attempts", 2 }, { "routeType", "idempotent" },
              { "targetLatencyMs", 60 }, { "priority", 0 } };
  route.update(aDestination);
  return route;
}

/// An entry instance as a process of its own, with a store, four targets that send the same answer each time, and a
/// sound target.
class EntryBeside : public testing::TestWithParam<BrokenAnswer>
{
protected:
  static constexpr size_t kTargets = 4;
  /// More than a target is asked for.
  static constexpr size_t kMostAnswers = 500;

  void SetUp() override
  {
    LastReason reason;
    store_ = StoreEmulator::Create(loop_, timers_, { "127.0.0.1", 0 }, reason);
    ASSERT_TRUE(store_) << reason.Text();
    const json one{ { "service", "broken" } };
    const json all{ { "gather", { "broken", "sound" } }, { "topK", 5 }, { "minCoverage", 0.5 } };
    store_->Put(
      "config",
      "main",
      { { "version", 1 },
        { "routes", { MakeRoute("one", one), MakeRoute("all", all) } },
        { "services", { { { "name", "broken" }, { "maxConns", 26 } }, { { "name", "sound" }, { "maxConns", 26 } } } },
        { "limits", json::object() } });
    for (size_t i = 0; i < kTargets; i++) {
      AddTarget("broken", GetParam());
    }
    AddTarget("sound", { "", kAnswers.WithStatus("200") });
    StartProcess();
  }

  void TearDown() override
  {
    if (process_ > 0) {
      kill(process_, SIGKILL);
      waitpid(process_, nullptr, 0);
    }
    std::filesystem::remove_all(folder_);
  }

  void AddTarget(const std::string& aService, const BrokenAnswer& aAnswer)
  {
    const ScriptedTarget::Step step{ aAnswer.text_, aAnswer.closes_ };
    targets_.push_back(std::make_unique<ScriptedTarget>(loop_, std::vector(kMostAnswers, step)));
    store_->Put("servers",
                "i-" + std::to_string(targets_.size()),
                { { "service", aService },
                  { "address", targets_.back()->Address() },
                  { "zone", "z" },
                  { "slots", 16 },
                  { "state", "ready" },
                  { "warmupLeftMs", 0 },
                  { "seqNo", 1 },
                  { "version", "v1" },
                  { "born", 1700000000000 } });
  }

  void StartProcess()
  {
    std::string folder = testing::TempDir() + "ibisrock-XXXXXX";
    ASSERT_NE(mkdtemp(folder.data()), nullptr);
    folder_ = folder;
    std::string path = folder + "/settings";
    port_ = FreePort();
    std::ofstream(path) << "instance = entry-1\ndata-centre = z\nlisten = 127.0.0.1:" << port_
                        << "\nready-listen = " << FreeAddress() << "\nmetrics-listen = " << FreeAddress()
                        << "\npeer-listen = " << FreeAddress() << "\nstore = 127.0.0.1:" << store_->Port()
                        << "\nextra-slack = 54\n";
    std::string program = IBISROCK_ENTRY_PROGRAM;
    std::array<char*, 3> arguments{ program.data(), path.data(), nullptr };
    ASSERT_EQ(posix_spawn(&process_, program.c_str(), nullptr, nullptr, arguments.data(), environ), 0);
  }

  /// Sends a request as a client, and returns the answer; no value without one.
  std::optional<ServerReply> Ask(const std::string& aPath)
  {
    std::optional<ServerReply> answer;
    bool hasEnded = false;
    const auto connection = LoopHttpConnection::Create(loop_);
    const std::string head =
      "GET " + aPath + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + kId + "\r\nDeadline-Ms: 2000\r\n\r\n";
    connection->Connect({ "127.0.0.1", port_ }, [&](LoopHttpConnection::ConnectResult aResult) {
      if (aResult != LoopHttpConnection::ConnectResult::Connected) {
        hasEnded = true;
        return;
      }
      connection->Exchange(
        { head, nullptr, false }, nullptr, [&](std::optional<ServerReply> aReply, const LastReason&) {
          answer = std::move(aReply);
          hasEnded = true;
        });
    });
    RunUntil([&] { return hasEnded; });
    connection->Close();
    return answer;
  }

  template<typename Condition>
  void RunUntil(Condition aCondition)
  {
    const TimePoint end = timers_.Now() + Seconds(20);
    while (!aCondition() && timers_.Now() < end) {
      loop_.run_one_for(std::chrono::milliseconds(10));
    }
  }

  /// Asks until the instance knows the configuration and the targets.
  std::optional<ServerReply> AskWhenReady(const std::string& aPath)
  {
    const TimePoint end = timers_.Now() + Seconds(20);
    std::optional<ServerReply> answer;
    do {
      const TimePoint pauseEnd = timers_.Now() + Millis(50);
      RunUntil([&] { return timers_.Now() >= pauseEnd; });
      answer = Ask(aPath);
    } while ((!answer || answer->status_ == 404 || answer->status_ == 503) && timers_.Now() < end);
    return answer;
  }

  bool IsAlive() const { return waitpid(process_, nullptr, WNOHANG) == 0; }

  boost::asio::io_context loop_{ 1 };
  adapters::LoopTimerService timers_{ loop_ };
  std::unique_ptr<StoreEmulator> store_;
  std::vector<std::unique_ptr<ScriptedTarget>> targets_;
  std::filesystem::path folder_;
  uint16_t port_ = 0;
  pid_t process_ = -1;
};

/// Guards against a broken answer that reaches a client, alone or as a part of a gathered one, against one that a
/// client waits for in vain, and against one that ends the process of the instance after some repetitions.
TEST_P(EntryBeside, TargetsInTroublePassesNothingOn)
{
  constexpr int kRepetitions = 15;
  std::optional<ServerReply> gathered = AskWhenReady("/all/x");
  ASSERT_TRUE(gathered);
  const TimePoint begin = timers_.Now();
  for (int i = 0; i < kRepetitions && IsAlive(); i++) {
    const std::optional<ServerReply> relayed = Ask("/one/x");
    ASSERT_TRUE(relayed);
    EXPECT_EQ(relayed->status_, 502U);
    EXPECT_EQ(relayed->Field("Server-Stamp"), "");
    EXPECT_EQ(relayed->Field("X-Bad"), "");
  }
  // Each of these requests takes the client's whole 2 s if the instance waits for more.
  EXPECT_LT(timers_.Now() - begin, Seconds(15));
  EXPECT_TRUE(IsAlive());
  gathered = Ask("/all/x");
  ASSERT_TRUE(gathered);
  EXPECT_EQ(gathered->status_, 200U);
  EXPECT_EQ(gathered->Field("Part-Stamps"), kStamp);
  EXPECT_EQ(gathered->Field("Missing-Shards"), "1");
  EXPECT_EQ(*gathered->body_, kRecord);
}

std::vector<BrokenAnswer>
ChosenAnswers()
{
  const std::string length = "Content-Length: 16\r\n";
  return { { "StatusZero", kAnswers.WithStatus("000") },
           { "StatusSixHundred", kAnswers.WithStatus("600") },
           { "ControlByteInName",
             kAnswers.WithFields("X-B\x01"
                                 "d: 1\r\n") },
           { "FoldedLine", kAnswers.Framed(" X-Bad: 1\r\n" + length, kRecord) },
           { "CodingGzip", kAnswers.Framed("Transfer-Encoding: gzip\r\n", kRecord), true },
           { "CodingChunkedTwice", kAnswers.Chunked("Transfer-Encoding: chunked, chunked\r\n") },
           { "OtherIdToo", kAnswers.WithFields("Request-Id: 1111111111111111\r\n") },
           { "OtherStampToo", kAnswers.WithFields("Server-Stamp: 77c0.09.5a3.640.0.01b7e9aa\r\n") },
           { "LengthAboveTheMemory", kAnswers.Framed("Content-Length: 4000000000000\r\n", kRecord) } };
}

INSTANTIATE_TEST_SUITE_P(EntryProgram, EntryBeside, testing::ValuesIn(ChosenAnswers()), [](const auto& aInfo) {
  return aInfo.param.name_;
});

} // namespace
} // namespace ibisrock::platform
