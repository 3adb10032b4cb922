#include "free_port.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

namespace ibisrock {
namespace {

using Ports = std::array<uint16_t, 50>;

Ports
TakePorts()
{
  Ports ports{};
  for (uint16_t& port : ports) {
    port = FreePort();
  }
  return ports;
}

// Guards against a listener that fails because the system has given its port to another process meanwhile.
TEST(FreePort, IsNoneThatTheSystemGivesOut)
{
  std::ifstream range("/proc/sys/net/ipv4/ip_local_port_range");
  unsigned first = 0;
  ASSERT_TRUE(range >> first);
  for (const uint16_t port : TakePorts()) {
    EXPECT_LT(port, first);
  }
}

// Guards against two test runs that listen on the same port. Runs with ids that are close try the same ports.
TEST(FreePort, IsGivenToOneProcess)
{
  std::array<int, 2> toParent{};
  ASSERT_EQ(pipe(toParent.data()), 0);
  const pid_t child = fork();
  ASSERT_GE(child, 0);
  if (child == 0) {
    const Ports ports = TakePorts();
    const bool isWritten = write(toParent[1], ports.data(), sizeof(ports)) == sizeof(ports);
    // The child keeps its ports until it is killed.
    pause();
    _exit(isWritten ? 0 : 1);
  }
  Ports others{};
  const ssize_t size = read(toParent[0], others.data(), sizeof(others));
  const Ports own = TakePorts();
  kill(child, SIGKILL);
  waitpid(child, nullptr, 0);
  close(toParent[0]);
  close(toParent[1]);
  ASSERT_EQ(size, static_cast<ssize_t>(sizeof(others)));
  for (const uint16_t port : own) {
    EXPECT_EQ(std::count(others.begin(), others.end(), port), 0) << port;
  }
}

} // namespace
} // namespace ibisrock
