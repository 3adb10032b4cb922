#include "adapters/target_protocol.h"
#include "standin/target_standin.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <unistd.h>

namespace ibisrock::standin {
namespace {

/// Fixture with a log file that is removed after each test.
class RunLogTest : public testing::Test
{
protected:
  ~RunLogTest() override { std::filesystem::remove(path_); }

  std::string ReadLog() const
  {
    std::ostringstream text;
    text << std::ifstream(path_).rdbuf();
    return text.str();
  }

  const std::filesystem::path path_ =
    std::filesystem::temp_directory_path() / ("ibisrock-run-log-" + std::to_string(getpid()));
};

adapters::HttpRequest
MakeSearchRequest(const std::string& aBody)
{
  return { "POST", "/search/dockdesk/s03", "", aBody, [](const char* aName) {
            return std::string(std::string_view(aName) == adapters::kIndexVersionHeader ? "1" : "");
          } };
}

// Guards against a run that is not logged, a refused request that is logged, and a request body whose newlines or tabs
// are not escaped and so look like additional lines or columns.
TEST_F(RunLogTest, ContainsEachRunOnce)
{
  LastReason reason;
  TargetBehaviour behaviour;
  behaviour.serviceTime_ = Millis(0);
  TargetStandin target(behaviour, nullptr, RunLog::Open(path_, reason));
  EXPECT_EQ(target.Handle(MakeSearchRequest("a\t\"b\"\n")).status_, 200U);
  TargetStandin draining(behaviour, nullptr, RunLog::Open(path_, reason));
  draining.Handle({ "PUT", "/admin", "", R"({"draining":true})", [](const char*) { return std::string(); } });
  EXPECT_EQ(draining.Handle(MakeSearchRequest("refused")).status_, 503U);
  EXPECT_EQ(ReadLog(), "s03\t1\t\"a\\t\\\"b\\\"\\n\"\n");
}

// Guards against targets that start without the requested log because its file cannot be opened.
TEST(RunLog, FailsToOpenInMissingDirectory)
{
  LastReason reason;
  EXPECT_EQ(RunLog::Open("/no-such-directory/runs", reason), nullptr);
  EXPECT_NE(reason.Text().find("/no-such-directory/runs"), std::string::npos);
}

} // namespace
} // namespace ibisrock::standin
