#include "adapters/socket_address.h"
#include "standin/forwarder.h"
#include "standin/platform_standin.h"
#include "standin/target_standin.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <docopt/docopt.h>
#include <iostream>
#include <map>
#include <memory>
#include <vector>

namespace {

using namespace ibisrock;

constexpr const char* kUsage =
  R"(ibisrock-standin: stand-ins for the platform, for targets and for the network between instances, for tests and
trials.

Usage:
  ibisrock-standin platform --listen IP:PORT
  ibisrock-standin targets --listen IP:PORT [--count N] [--service-ms N] [--slots N]
                   [--index-version N] [--run-log FILE]
  ibisrock-standin forwarder --listen IP:PORT ROUTE...
  ibisrock-standin --help

A ROUTE of the forwarder is NAME,IP:PORT,IP:PORT: an instance, the address to listen on, and the address at which the
instance listens for peers.

Options:
  --listen IP:PORT     Address of the platform, of the forwarder's /admin, or of the first target; the other targets
                       follow on the next ports.
  --count N            Number of targets in this process [default: 1].
  --service-ms N       Time in ms that one request holds a slot [default: 2].
  --slots N            Requests that a target runs at the same time [default: 2].
  --index-version N    Index version that the targets hold [default: 1].
  --run-log FILE       File to which the targets append one line for each run that they begin.
)";

constexpr int kExitFailure = 1;
/// A request crashed a target; it takes all targets of the process with it.
constexpr int kExitCrash = 3;
constexpr unsigned kPlatformThreads = 256;
constexpr unsigned kTargetThreads = 64;

using Arguments = std::map<std::string, docopt::value>;
using Servers = std::vector<std::unique_ptr<adapters::HttpServer>>;

bool
Listen(Servers& aServers, const std::string& aAddress, unsigned aThreads, adapters::HttpHandler aHandler)
{
  LastReason reason;
  auto server = adapters::HttpServer::Create({ aAddress, 1, aThreads }, std::move(aHandler), reason);
  if (!server) {
    std::cerr << "ibisrock-standin: " << reason.Text() << "\n";
    return false;
  }
  aServers.push_back(std::move(*server));
  return true;
}

bool
ListenTargets(Servers& aServers, const Arguments& aArguments)
{
  LastReason reason;
  auto first = adapters::ParseSocketAddress(aArguments.at("--listen").asString(), reason);
  if (!first) {
    std::cerr << "ibisrock-standin: " << reason.Text() << "\n";
    return false;
  }
  standin::TargetBehaviour behaviour;
  behaviour.serviceTime_ = Millis(aArguments.at("--service-ms").asLong());
  behaviour.slots_ = static_cast<unsigned>(aArguments.at("--slots").asLong());
  behaviour.versions_ = { static_cast<uint64_t>(aArguments.at("--index-version").asLong()) };
  std::shared_ptr<standin::RunLog> runLog;
  if (aArguments.at("--run-log")) {
    runLog = standin::RunLog::Open(aArguments.at("--run-log").asString(), reason);
    if (!runLog) {
      std::cerr << "ibisrock-standin: " << reason.Text() << "\n";
      return false;
    }
  }
  for (long index = 0; index < aArguments.at("--count").asLong(); index++) {
    auto target = std::make_shared<standin::TargetStandin>(
      behaviour, [] { std::_Exit(kExitCrash); }, runLog);
    const std::string address = first->ip_ + ":" + std::to_string(first->port_ + index);
    auto handler = [target](const adapters::HttpRequest& aRequest) { return target->Handle(aRequest); };
    if (!Listen(aServers, address, kTargetThreads, handler)) {
      return false;
    }
  }
  return true;
}

bool
ListenForwarder(Servers& aServers, const Arguments& aArguments)
{
  LastReason reason;
  std::vector<standin::ForwardRoute> routes;
  for (const std::string& text : aArguments.at("ROUTE").asStringList()) {
    auto route = standin::ParseRoute(text, reason);
    if (!route) {
      std::cerr << "ibisrock-standin: " << reason.Text() << "\n";
      return false;
    }
    routes.push_back(std::move(*route));
  }
  std::shared_ptr<standin::Forwarder> forwarder = standin::Forwarder::Create(std::move(routes), reason);
  if (!forwarder) {
    std::cerr << "ibisrock-standin: " << reason.Text() << "\n";
    return false;
  }
  return Listen(aServers, aArguments.at("--listen").asString(), 1, [forwarder](const adapters::HttpRequest& aRequest) {
    return forwarder->Handle(aRequest);
  });
}

bool
ListenPlatform(Servers& aServers, const Arguments& aArguments)
{
  auto platform = std::make_shared<standin::PlatformStandin>();
  return Listen(aServers,
                aArguments.at("--listen").asString(),
                kPlatformThreads,
                [platform](const adapters::HttpRequest& aRequest) { return platform->Handle(aRequest); });
}

struct Kind
{
  const char* name_;
  bool (*listen_)(Servers&, const Arguments&);
};

constexpr Kind kKinds[] = { { "platform", &ListenPlatform },
                            { "targets", &ListenTargets },
                            { "forwarder", &ListenForwarder } };

void
WaitForStop()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  int received = 0;
  sigwait(&signals, &received);
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  const Arguments arguments = docopt::docopt(kUsage, { aArgv + 1, aArgv + aArgc }, true);
  Servers servers;
  const bool listening = std::ranges::any_of(
    kKinds, [&](const Kind& aKind) { return arguments.at(aKind.name_).asBool() && aKind.listen_(servers, arguments); });
  if (!listening) {
    return kExitFailure;
  }
  WaitForStop();
  std::_Exit(0);
}
