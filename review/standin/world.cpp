#include "world.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <map>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr uint16_t kFrontPort = 8104;
constexpr uint16_t kReadyPort = 8108;
constexpr double kCheckInPeriod = 1.2;

std::string
ReadAll(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    throw std::runtime_error("cannot read " + aPath);
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

/// Fills in the template as the platform does. Only plain values occur in it.
std::string
FillIn(std::string aTemplate, const std::map<std::string, std::string>& aValues)
{
  for (size_t at = aTemplate.find("{{"); at != std::string::npos; at = aTemplate.find("{{")) {
    const size_t end = aTemplate.find("}}", at);
    const std::string name = aTemplate.substr(at + 2, end - at - 2);
    aTemplate.replace(at, end + 2 - at, aValues.at(name));
  }
  return aTemplate;
}

/// Value of a key of the deploy file's role.
std::string
DeployValue(const std::string& aKey)
{
  const std::string text = ReadAll("deploy/system.toml");
  const std::string start = "\n" + aKey + " = \"";
  const size_t at = text.find(start);
  if (at == std::string::npos) {
    throw std::runtime_error("no " + aKey + " in the deploy file");
  }
  return text.substr(at + start.size(), text.find('"', at + start.size()) - at - start.size());
}

uint64_t
UnixMillis()
{
  const auto time = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

} // namespace

Record::Record(const std::string& aPath)
  : file_(std::fopen(aPath.c_str(), "w"))
{
  if (file_ == nullptr) {
    throw std::runtime_error("cannot write " + aPath);
  }
}

Record::~Record()
{
  std::fclose(file_);
}

void
Record::Line(const std::string& aText)
{
  const std::lock_guard lock(mutex_);
  std::fprintf(file_, "%8.3f %s\n", Now(), aText.c_str());
  std::fflush(file_);
}

Replica::Replica(Settings aSettings, Store& aStore, Record& aRecord)
  : settings_(std::move(aSettings))
  , store_(aStore)
  , record_(aRecord)
  , answer_(&Replica::Respond)
  , born_(UnixMillis())
  , listener_(settings_.address_, [this](Connection& aConnection) { Serve(aConnection); })
{
  CheckIn();
  checkIns_ = std::thread([this] {
    while (!ended_) {
      SleepFor(kCheckInPeriod);
      CheckIn();
    }
  });
}

Replica::~Replica()
{
  ended_ = true;
  checkIns_.join();
}

void
Replica::CheckIn()
{
  const std::lock_guard lock(mutex_);
  if (state_.empty() || isDown_) {
    return;
  }
  store_.Put("servers",
             settings_.id_,
             { { "service", settings_.service_ },
               { "address", settings_.address_.Text() },
               { "zone", settings_.zone_ },
               { "version", "v1" },
               { "slots", 4 },
               { "state", state_ },
               { "warmupLeftMs", 0 },
               { "seqNo", ++sequence_ },
               { "born", born_ } });
}

void
Replica::Register(const std::string& aState)
{
  {
    const std::lock_guard lock(mutex_);
    state_ = aState;
  }
  if (aState.empty()) {
    store_.Delete("servers", settings_.id_);
  } else {
    CheckIn();
  }
}

void
Replica::Crash()
{
  const std::lock_guard lock(mutex_);
  isDown_ = true;
  listener_.Crash();
}

void
Replica::Restart()
{
  {
    const std::lock_guard lock(mutex_);
    isDown_ = false;
    sequence_ = 0;
    born_ = UnixMillis();
    listener_.Open();
  }
  CheckIn();
}

void
Replica::Serve(Connection& aConnection)
{
  while (auto request = aConnection.ReadHead()) {
    const std::string expected = request->Field("Target-Instance");
    if (!expected.empty() && expected != settings_.id_) {
      aConnection.Send(FormatResponse(421, { { "Instance-Id", settings_.id_ } }, ""));
      return;
    }
    record_.Line("replica " + settings_.id_ + " (" + settings_.service_ + ") gets " + request->start_ + " id " +
                 request->Field("Request-Id"));
    answer_(*this, aConnection, *request);
  }
}

void
Replica::Respond(Replica& aReplica, Connection& aConnection, const Message& aRequest)
{
  Message request = aRequest;
  if (!aConnection.ReadBody(request, false)) {
    return;
  }
  SleepFor(aReplica.settings_.workSeconds_);
  const std::string id = aRequest.Field("Request-Id");
  aConnection.Send(FormatResponse(200,
                                  { { "Request-Id", id }, { "Server-Stamp", aReplica.Stamp(id) } },
                                  "answer of " + aReplica.settings_.service_ + " to " + id));
}

Instance::Instance(InstanceSettings aSettings, const std::string& aFolder)
  : settings_(std::move(aSettings))
  , file_(aFolder + "/" + settings_.node_ + ".conf")
  , log_(aFolder + "/" + settings_.node_ + ".log")
{
  std::ofstream(file_) << FillIn(ReadAll(DeployValue("template")),
                                 { { "node", settings_.node_ },
                                   { "zone", settings_.zone_ },
                                   { "listenAddrs.front", Front().Text() },
                                   { "listenAddrs.ready", settings_.ip_ + ":" + std::to_string(kReadyPort) },
                                   { "ip", settings_.ip_ },
                                   { "internalPorts.0", "7380" },
                                   { "platform.address", settings_.store_.Text() },
                                   { "bounds.graceS", "6" },
                                   { "bounds.configApplyMs", "3000" },
                                   { "bounds.drainMs", "3000" },
                                   { "bounds.retryBudgetRatio", "0.2" },
                                   { "bounds.budgetSlack", "54" } });
}

Instance::~Instance()
{
  if (process_ > 0) {
    ::kill(process_, SIGKILL);
    ::waitpid(process_, nullptr, 0);
  }
}

void
Instance::Start()
{
  const std::string program = DeployValue("run");
  process_ = ::fork();
  if (process_ != 0) {
    return;
  }
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(log, STDOUT_FILENO);
  ::dup2(log, STDERR_FILENO);
  ::setenv("IBISROCK_NODE_FILE", file_.c_str(), 1);
  ::execl(program.c_str(), program.c_str(), nullptr);
  ::_exit(kCouldNotRun);
}

void
Instance::Signal(int aSignal) const
{
  ::kill(process_, aSignal);
}

bool
Instance::HasEnded()
{
  if (process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) == process_) {
    process_ = -1;
  }
  return process_ <= 0;
}

bool
Instance::IsReady() const
{
  const auto answer =
    Call({ settings_.ip_, kReadyPort }, "GET /-/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n", 1);
  return answer && answer->Status() == 200;
}

Address
Instance::Front() const
{
  return { settings_.ip_, kFrontPort };
}

std::string
FormatRequest(const std::string& aMethod,
              const std::string& aPath,
              const std::string& aId,
              int aDeadlineMs,
              std::string_view aBody)
{
  std::string text = aMethod + " " + aPath + " HTTP/1.1\r\nHost: " + kHost + "\r\nRequest-Id: " + aId +
                     "\r\nDeadline-Ms: " + std::to_string(aDeadlineMs) + "\r\n";
  if (!aBody.empty()) {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return text.append("\r\n").append(aBody);
}

bool
WaitUntilReady(const std::vector<std::unique_ptr<Instance>>& aInstances, double aSeconds)
{
  const double end = Now() + aSeconds;
  while (Now() < end) {
    if (std::all_of(aInstances.begin(), aInstances.end(), [](const auto& aInstance) { return aInstance->IsReady(); })) {
      return true;
    }
    SleepFor(0.1);
  }
  return false;
}

std::string
LoopbackIp(int aLast)
{
  constexpr int kRange = 200;
  const int process = ::getpid();
  return "127." + std::to_string(20 + process % kRange) + "." + std::to_string(20 + process / kRange % kRange) + "." +
         std::to_string(aLast);
}

void
Exit(Result aResult)
{
  std::fflush(nullptr);
  ::_exit(aResult);
}

} // namespace review
