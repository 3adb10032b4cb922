#include "adapters/http_server.h"
#include "cli/command_line.h"
#include "cli/instance_status.h"
#include "fakes/fake_cluster.h"
#include "free_port.h"
#include "standin/platform_standin.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <sstream>
#include <unistd.h>

namespace ibisrock::cli {
namespace {

/// No process listens here.
const ReservedPort kReserved;
const std::string kNobody = kReserved.Address();

constexpr const char* kDockdesk = "service,dockdesk,latency,1000,300,2000,64,1\n"
                                  "shard,dockdesk,s00\n"
                                  "target,dockdesk,s00,t0,127.0.0.1:17100,lhr-a,2,25,6\n";
constexpr const char* kKiosk = "service,kiosk,coverage,1000,300,2000,64,1\n"
                               "shard,kiosk,s00\n"
                               "target,kiosk,s00,k0,127.0.0.1:17101,lhr-a,2,25,6\n";

struct Output
{
  ExitCode code_;
  std::string out_;
  std::string err_;
};

Output
RunTool(const std::vector<std::string>& aArguments)
{
  std::ostringstream out;
  std::ostringstream err;
  const ExitCode code = RunCommandLine(aArguments, out, err);
  return { code, out.str(), err.str() };
}

std::unique_ptr<adapters::HttpServer>
Listen(const std::string& aAddress, adapters::HttpHandler aHandler)
{
  LastReason reason;
  auto server = adapters::HttpServer::Create({ .address_ = aAddress }, std::move(aHandler), reason);
  EXPECT_TRUE(server) << reason.Text();
  return server ? std::move(*server) : nullptr;
}

/// A sheet in a file of its own.
class SheetOnDisk
{
public:
  explicit SheetOnDisk(const std::string& aText)
    : path_(testing::TempDir() + "ibisrock_cli_test_" + std::to_string(getpid()) + ".csv")
  {
    std::ofstream(path_) << aText;
  }
  ~SheetOnDisk() { std::filesystem::remove(path_); }

  const std::string path_;
};

struct UsageCase
{
  const char* name_;
  std::vector<std::string> arguments_;
  ExitCode code_;
  const char* text_;
};

class CommandLine : public testing::TestWithParam<UsageCase>
{};

// Guards against bad input that is sent on, or that fails without a message that names it.
TEST_P(CommandLine, ExplainsBadInput)
{
  const Output output = RunTool(GetParam().arguments_);
  EXPECT_EQ(output.code_, GetParam().code_);
  EXPECT_NE((output.out_ + output.err_).find(GetParam().text_), std::string::npos) << output.out_ << output.err_;
}

using List = std::vector<std::string>;

INSTANTIATE_TEST_SUITE_P(
  Inputs,
  CommandLine,
  testing::Values(
    UsageCase{ "Help", { "--help" }, ExitCode::Done, "Exit codes:" },
    UsageCase{ "Version", { "--version" }, ExitCode::Done, "ibisrock 0." },
    UsageCase{ "NoCommand", {}, ExitCode::BadInput, "wrong usage" },
    UsageCase{ "UnknownCommand", { "reload" }, ExitCode::BadInput, "wrong usage" },
    UsageCase{ "UnknownOption", { "check", "x.csv", "--force" }, ExitCode::BadInput, "wrong usage" },
    UsageCase{ "NoSheet", { "check", "/nonexistent.csv" }, ExitCode::BadInput, "cannot read /nonexistent.csv" },
    UsageCase{ "Directory", { "check", "/" }, ExitCode::BadInput, "cannot read /" },
    UsageCase{ "Platform", { "apply", "x.csv", "--platform", "here" }, ExitCode::BadInput, "\"here\" is not an IPv4" },
    UsageCase{ "Base",
               { "apply", "x.csv", "--platform", kNobody, "--base", "-1" },
               ExitCode::BadInput,
               "\"-1\" is not a version" },
    UsageCase{ "Instances", { "status", "--instances", "127.0.0.1:1,x" }, ExitCode::BadInput, "\"x\" is not an IPv4" },
    UsageCase{ "NoInstances", { "status", "--instances=" }, ExitCode::BadInput, "\"\" is not an IPv4" },
    UsageCase{ "DumpAddress", { "dump", "--instance", "127.0.0.1:0" }, ExitCode::BadInput, "is not an IPv4" },
    UsageCase{ "DumpNobody", { "dump", "--instance", kNobody }, ExitCode::Failed, kNobody.c_str() },
    UsageCase{ "QueryNobody", { "query", "s", "b", "--instance", kNobody }, ExitCode::Failed, "not-run" },
    UsageCase{ "Service", { "query", "a/b", "b", "--instance", kNobody }, ExitCode::BadInput, "service name \"a/b\"" },
    UsageCase{ "Deadline",
               { "query", "s", "b", "--instance", kNobody, "--deadline-ms", "0" },
               ExitCode::BadInput,
               "from 1 to 3600000" },
    UsageCase{ "Coverage",
               { "query", "s", "b", "--instance", kNobody, "--coverage", "most" },
               ExitCode::BadInput,
               "must be full or partial" },
    UsageCase{ "Caller",
               { "query", "s", "b", "--instance", kNobody, "--caller", "a b" },
               ExitCode::BadInput,
               "Ibisrock-Caller" },
    UsageCase{ "EmptyKey",
               { "query", "s", "b", "--instance", kNobody, "--non-idempotent", "--key=" },
               ExitCode::BadInput,
               "--key is empty" },
    UsageCase{ "KeyOfIdempotent",
               { "query", "s", "b", "--instance", kNobody, "--key", "k" },
               ExitCode::BadInput,
               "only with --non-idempotent" }),
  [](const auto& aInfo) { return aInfo.param.name_; });

// Guards against a fault of the sheet that is not reported with its place.
TEST(CliCheck, ListsFaults)
{
  const SheetOnDisk sheet(std::string(kDockdesk) + "shard,dockdesk,s01\nbogus\n");
  const Output text = RunTool({ "check", sheet.path_ });
  EXPECT_EQ(text.code_, ExitCode::BadInput);
  EXPECT_NE(text.err_.find(sheet.path_ + ":5:1: unknown row kind"), std::string::npos) << text.err_;
  const auto json = nlohmann::json::parse(RunTool({ "check", sheet.path_, "--json" }).out_);
  EXPECT_FALSE(json["valid"]);
  EXPECT_EQ(json["faults"].size(), 2U);
  EXPECT_EQ(json["faults"][0]["line"], 4);
}

struct ApplyStep
{
  const char* name_;
  std::string sheet_;
  std::vector<std::string> options_;
  const char* admin_;
  ExitCode code_;
  const char* outcome_;
};

class CliApply : public testing::TestWithParam<ApplyStep>
{
protected:
  nlohmann::json Apply(const std::string& aSheet, List aOptions, ExitCode aCode)
  {
    const SheetOnDisk sheet(aSheet);
    List arguments = { "apply", sheet.path_, "--platform", address_, "--json" };
    arguments.insert(arguments.end(), aOptions.begin(), aOptions.end());
    const Output output = RunTool(arguments);
    EXPECT_EQ(output.code_, aCode) << output.out_ << output.err_;
    return nlohmann::json::parse(output.out_, nullptr, false);
  }

  const std::string address_ = FreeAddress();
  standin::PlatformStandin platform_;
  std::unique_ptr<adapters::HttpServer> server_ =
    Listen(address_, [this](const auto& aRequest) { return platform_.Handle(aRequest); });
};

// Guards against an outcome that is told wrongly, and against a dry run that tells another one than apply.
TEST_P(CliApply, TellsTheOutcome)
{
  const ApplyStep& param = GetParam();
  Apply(kDockdesk, {}, ExitCode::Done);
  List dryRun = param.options_;
  dryRun.emplace_back("--dry-run");
  EXPECT_EQ(Apply(param.sheet_, dryRun, param.code_)["outcome"], param.outcome_);
  platform_.Handle({ "PUT", "/admin", "", param.admin_, [](const char*) { return std::string(); } });
  EXPECT_EQ(Apply(param.sheet_, param.options_, param.code_)["outcome"], param.outcome_);
}

INSTANTIATE_TEST_SUITE_P(
  Sheets,
  CliApply,
  testing::Values(ApplyStep{ "Changed", std::string(kDockdesk) + kKiosk, {}, "{}", ExitCode::Done, "accepted" },
                  ApplyStep{ "Unchanged", kDockdesk, {}, "{}", ExitCode::Done, "unchanged" },
                  ApplyStep{ "RightBase", kKiosk, { "--base", "1" }, "{}", ExitCode::Done, "accepted" },
                  ApplyStep{ "OldBase", kKiosk, { "--base", "0" }, "{}", ExitCode::Conflict, "conflict" },
                  ApplyStep{ "BaseInSheet",
                             std::string("sheet,monday,1\n") + kKiosk,
                             { "--base", "0" },
                             "{}",
                             ExitCode::Conflict,
                             "conflict" },
                  ApplyStep{ "LostAnswers",
                             std::string(kDockdesk) + kKiosk,
                             {},
                             R"({"lost_answers":2})",
                             ExitCode::Done,
                             "accepted" }),
  [](const auto& aInfo) { return aInfo.param.name_; });

// Guards against a dry run that changes the store or names the wrong services.
TEST_F(CliApply, DryRunNamesServicesAndChangesNothing)
{
  Apply(kDockdesk, {}, ExitCode::Done);
  const auto json = Apply(kKiosk, { "--dry-run" }, ExitCode::Done);
  EXPECT_EQ(json["version"], 1);
  EXPECT_EQ(json["added"], List{ "kiosk" });
  EXPECT_EQ(json["removed"], List{ "dockdesk" });
  EXPECT_TRUE(json["changed"].empty());
  std::string stricter = kDockdesk;
  stricter.replace(stricter.find("2000"), 4, "1000");
  EXPECT_EQ(Apply(stricter, { "--dry-run" }, ExitCode::Done)["changed"], List{ "dockdesk" });
  EXPECT_EQ(Apply(kDockdesk, {}, ExitCode::Done)["outcome"], "unchanged");
}

// Guards against a dry run that accepts a base version that apply would not find.
TEST_F(CliApply, DryRunFailsForBaseThatDoesNotExist)
{
  EXPECT_EQ(Apply(kDockdesk, { "--dry-run", "--base", "4" }, ExitCode::Failed)["outcome"], "failed");
}

struct StatusCase
{
  const char* name_;
  const char* state_;
  const char* admin_;
  ExitCode code_;
  const char* text_;
};

class CliStatus : public testing::TestWithParam<StatusCase>
{};

constexpr const char* kReadyState =
  R"({"instance":"entry-0","ready":true,"not_ready_reason":"","config":{"version":1}})";

// Guards against a status that calls the configuration in force where it is not.
TEST_P(CliStatus, ComparesInstancesWithStore)
{
  const std::string platformAddress = FreeAddress();
  standin::PlatformStandin platform;
  const auto server = Listen(platformAddress, [&](const auto& aRequest) { return platform.Handle(aRequest); });
  const std::string instanceAddress = FreeAddress();
  const auto instance = Listen(instanceAddress, [](const adapters::HttpRequest& aRequest) {
    return adapters::HttpReply{
      aRequest.path_ == "/debug/state" ? 200U : 404U, "application/json", {}, GetParam().state_
    };
  });
  const auto put = [&](const char* aPath, const std::string& aBody) {
    platform.Handle({ "PUT", aPath, "", aBody, [](const char*) { return std::string(); } });
  };
  const SheetOnDisk sheet(kDockdesk);
  RunTool({ "apply", sheet.path_, "--platform", platformAddress });
  put("/instances",
      R"([{"id":"entry-0","http_address":")" + instanceAddress + R"("},{"id":"entry-1","leaving":true}])");
  put("/admin", GetParam().admin_);
  for (const List& source : { List{ "--platform", platformAddress, "--instances", instanceAddress },
                              List{ "--platform", platformAddress } }) {
    List arguments = { "status" };
    arguments.insert(arguments.end(), source.begin(), source.end());
    const Output output = RunTool(arguments);
    EXPECT_EQ(output.code_, GetParam().code_) << output.out_;
    EXPECT_NE(output.out_.find(GetParam().text_), std::string::npos) << output.out_;
    arguments.emplace_back("--json");
    EXPECT_EQ(nlohmann::json::parse(RunTool(arguments).out_)["in_force_everywhere"],
              GetParam().code_ == ExitCode::Done);
  }
}

INSTANTIATE_TEST_SUITE_P(
  States,
  CliStatus,
  testing::Values(StatusCase{ "Ready", kReadyState, "{}", ExitCode::Done, "configuration version 1" },
                  StatusCase{
                    "NotReady",
                    R"({"instance":"entry-0","ready":false,"not_ready_reason":"leaving now","config":{"version":1}})",
                    "{}",
                    ExitCode::Failed,
                    "not ready: leaving now" },
                  StatusCase{ "OtherVersion",
                              R"({"instance":"entry-0","ready":true,"not_ready_reason":"","config":{"version":7}})",
                              "{}",
                              ExitCode::Failed,
                              "version 7" },
                  StatusCase{ "Malformed", R"({"instance":"entry-0"})", "{}", ExitCode::Failed, "malformed state" },
                  StatusCase{ "StoreDown", kReadyState, R"({"outage":true})", ExitCode::Failed, "is unavailable" }),
  [](const auto& aInfo) { return aInfo.param.name_; });

// Guards against a tool that cannot read what an instance prints, as when the layout of the dump changes.
TEST(CliStatusDump, ReadsTheDumpOfAnInstance)
{
  fakes::FakeCluster cluster(fakes::ClusterShape{}, 1);
  cluster.Start();
  InstanceStatus status;
  ReadState(cluster.At(0).DumpState(), status);
  EXPECT_EQ(status.note_, "");
  EXPECT_TRUE(status.ready_);
  EXPECT_EQ(status.version_, 1U);
}

// Guards against an instance without a usable address that is left out or taken for ready.
TEST(CliStatusList, KeepsInstancesThatCannotBeAsked)
{
  LastReason reason;
  const auto listed = ParseAddressList(R"([{"id":"a"},{"id":"b","http_address":")" + kNobody + R"("}])", reason);
  ASSERT_TRUE(listed) << reason.Text();
  const auto statuses = AskInstances(*listed);
  ASSERT_EQ(statuses.size(), 2U);
  EXPECT_EQ(statuses[0].note_, "the instance list names no http_address");
  EXPECT_FALSE(statuses[1].reachable_);
  EXPECT_FALSE(statuses[1].note_.empty());
  EXPECT_FALSE(ParseAddressList("[{}]", reason));
}

struct ReplyCase
{
  const char* name_;
  unsigned status_;
  const char* body_;
  ExitCode code_;
};

class CliQuery : public testing::TestWithParam<ReplyCase>
{};

// Guards against an option that is not sent, and against a "not run" that the reply does not state.
TEST_P(CliQuery, SendsOptionsAndKeepsTheVerdict)
{
  std::map<std::string, std::string> seen;
  const std::string instanceAddress = FreeAddress();
  const auto instance = Listen(instanceAddress, [&](const adapters::HttpRequest& aRequest) {
    for (const char* name :
         { "Ibisrock-Caller", "Ibisrock-Idempotent", "Idempotency-Key", "Ibisrock-Deadline-Ms", "Ibisrock-Coverage" }) {
      seen[name] = aRequest.header_(name);
    }
    seen["target"] = aRequest.method_ + " " + aRequest.path_ + " " + aRequest.body_;
    return adapters::HttpReply{ GetParam().status_, "application/json", {}, GetParam().body_ };
  });
  const Output output = RunTool({ "query",
                                  "dockdesk",
                                  "paddler 7",
                                  "--instance",
                                  instanceAddress,
                                  "--caller",
                                  "jetty",
                                  "--non-idempotent",
                                  "--key",
                                  "k-1",
                                  "--deadline-ms",
                                  "250",
                                  "--coverage",
                                  "partial" });
  EXPECT_EQ(output.code_, GetParam().code_) << output.err_;
  EXPECT_EQ(output.out_, GetParam().body_);
  const std::map<std::string, std::string> expected = { { "target", "POST /v1/query/dockdesk paddler 7" },
                                                        { "Ibisrock-Caller", "jetty" },
                                                        { "Ibisrock-Idempotent", "no" },
                                                        { "Idempotency-Key", "k-1" },
                                                        { "Ibisrock-Deadline-Ms", "250" },
                                                        { "Ibisrock-Coverage", "partial" } };
  EXPECT_EQ(seen, expected);
}

INSTANTIATE_TEST_SUITE_P(
  Replies,
  CliQuery,
  testing::Values(ReplyCase{ "Answer", 200, R"({"verdict":"ran"})", ExitCode::Done },
                  ReplyCase{ "NotRun", 503, R"({"verdict":"not-run"})", ExitCode::Failed },
                  ReplyCase{ "MayHaveRun", 504, R"({"verdict":"may-have-run"})", ExitCode::Unknown },
                  ReplyCase{ "NoVerdict", 500, "server error", ExitCode::Unknown }),
  [](const auto& aInfo) { return aInfo.param.name_; });

} // namespace
} // namespace ibisrock::cli
