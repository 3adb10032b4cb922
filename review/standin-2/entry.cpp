#include "entry.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <utility>

#include "net.h"

namespace standin {

Entry::Entry(std::string aProgram, std::string aFolder, std::string aName, uint16_t aStorePort)
  : program_(std::move(aProgram))
  , folder_(std::move(aFolder))
  , name_(std::move(aName))
  , store_(aStorePort)
  , front_(FreePort())
  , ready_(FreePort())
  , metrics_(FreePort())
  , peer_(FreePort())
{
}

Entry::~Entry()
{
  if (IsRunning()) {
    Signal(SIGKILL);
    WaitForEnd(5000);
  }
}

/// The values are those of the small deployments.
bool
Entry::Start()
{
  const std::string settings = folder_ + "/" + name_ + ".conf";
  const std::string log = folder_ + "/" + name_ + ".log";
  const std::string loopback = " = 127.0.0.1:";
  std::ofstream(settings) << "instance = " << name_ << "\ndata-centre = zone-a\nlisten" << loopback << front_
                          << "\nready-listen" << loopback << ready_ << "\nmetrics-listen" << loopback << metrics_
                          << "\npeer-listen" << loopback << peer_ << "\nstore" << loopback << store_
                          << "\nstop-time = 6s\napply-time = 3000ms\nleave-time = 3000ms\ncheck-in-time = 1200ms\n"
                          << "extra-share = 0.2\nextra-slack = 54\n";
  const pid_t parent = ::getpid();
  pid_ = ::fork();
  if (pid_ == 0) {
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(output, 1);
    ::dup2(output, 2);
    ::setenv("IBISROCK_NODE_FILE", settings.c_str(), 1);
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() == parent) {
      ::execl(program_.c_str(), program_.c_str(), nullptr);
    }
    ::_exit(127);
  }
  return pid_ > 0;
}

void
Entry::Signal(int aSignal) const
{
  if (pid_ > 0) {
    ::kill(pid_, aSignal);
  }
}

bool
Entry::WaitForEnd(int aTimeoutMs)
{
  const int64_t until = NowMs() + aTimeoutMs;
  while (IsRunning() && NowMs() < until) {
    SleepMs(10);
  }
  return !IsRunning();
}

bool
Entry::IsRunning()
{
  if (pid_ > 0 && ::waitpid(pid_, &status_, WNOHANG) == pid_) {
    pid_ = -1;
  }
  return pid_ > 0;
}

bool
Entry::IsReady() const
{
  Stream stream(Stream::Connect(ready_));
  if (!stream.Send("GET /-/readiness HTTP/1.1\r\nHost: platform\r\n\r\n")) {
    return false;
  }
  const std::optional<Message> answer = stream.Read(1000);
  return answer && answer->Status() == 200;
}

bool
Entry::WaitUntilReady(int aTimeoutMs) const
{
  const int64_t until = NowMs() + aTimeoutMs;
  while (NowMs() < until) {
    if (IsReady()) {
      return true;
    }
    SleepMs(50);
  }
  return false;
}

uint16_t
Entry::Port() const
{
  return front_;
}

int
Entry::ExitStatus() const
{
  return status_;
}

size_t
Entry::ResidentKb() const
{
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:")) {
      return std::strtoul(line.c_str() + line.find_first_of("0123456789"), nullptr, 10);
    }
  }
  return 0;
}

} // namespace standin
