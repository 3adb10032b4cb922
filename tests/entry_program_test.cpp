#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <gtest/gtest.h>
#include <spawn.h>
#include <string>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace ibisrock::platform {
namespace {

/// The program of an entry instance with a settings file that the test writes while the program reads it.
class SettingsPipe : public testing::Test
{
protected:
  void SetUp() override
  {
    std::string folder = testing::TempDir() + "ibisrock-XXXXXX";
    ASSERT_NE(mkdtemp(folder.data()), nullptr);
    folder_ = folder;
    const std::string path = folder + "/settings";
    ASSERT_EQ(mkfifo(path.c_str(), 0600), 0);
    std::string program = IBISROCK_ENTRY_PROGRAM;
    std::string argument = path;
    std::array<char*, 3> arguments{ program.data(), argument.data(), nullptr };
    ASSERT_EQ(posix_spawn(&process_, program.c_str(), nullptr, nullptr, arguments.data(), environ), 0);
    // Returns when the program has opened the other end.
    pipe_ = open(path.c_str(), O_WRONLY | O_CLOEXEC);
    ASSERT_GE(pipe_, 0);
  }

  void TearDown() override
  {
    close(pipe_);
    waitpid(process_, nullptr, 0);
    std::filesystem::remove_all(folder_);
  }

  pid_t process_ = -1;
  int pipe_ = -1;
  std::filesystem::path folder_;
};

/// Guards against a process that a change of its settings ends because it comes while the process starts.
TEST_F(SettingsPipe, ReloadDuringTheStartDoesNotEndTheProcess)
{
  ASSERT_EQ(kill(process_, SIGHUP), 0);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  siginfo_t ended{};
  ASSERT_EQ(waitid(P_PID, static_cast<id_t>(process_), &ended, WEXITED | WNOHANG | WNOWAIT), 0);
  EXPECT_EQ(ended.si_pid, 0);
}

} // namespace
} // namespace ibisrock::platform
