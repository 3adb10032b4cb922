#include "adapters/caller_api.h"
#include "adapters/http_instance_list.h"
#include "adapters/http_object_store.h"
#include "adapters/http_target_client.h"
#include "adapters/nng_transport.h"
#include "daemon/logging.h"
#include "daemon/settings.h"
#include "process/instance.h"

#include <chrono>
#include <csignal>
#include <easylogging++.h>
#include <iostream>
#include <random>
#include <thread>

namespace {

using namespace ibisrock;

constexpr const char* kVersion = "ibisrockd 0.1.0";
constexpr int kExitUsage = 2;
constexpr int kExitFailure = 1;
constexpr auto kIdlePollTime = std::chrono::milliseconds(20);
/// Time for the replies of finished requests to leave the process.
constexpr auto kFlushTime = std::chrono::milliseconds(200);

/// Start time of this process, which is higher for each later start on any machine with a set clock.
Incarnation
CurrentIncarnation()
{
  return Incarnation(static_cast<uint64_t>(
    std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch()).count()));
}

/// Blocks the stop signals in this thread and all later ones, so that only WaitForStop receives them.
sigset_t
BlockStopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

void
WaitForStop(const sigset_t& aSignals)
{
  int received = 0;
  sigwait(&aSignals, &received);
}

/// Serves for the balancer's lag and then until nothing is in flight.
void
Drain(Instance& aInstance, Micros aDrainTime)
{
  aInstance.BeginLeave();
  LOG(INFO) << "daemon: not ready, peers are told; serving for "
            << std::chrono::duration_cast<Millis>(aDrainTime).count() << " ms more";
  std::this_thread::sleep_for(aDrainTime);
  LOG(INFO) << "daemon: finishing " << aInstance.QueriesInFlight() << " queries in flight";
  while (!aInstance.IsIdle()) {
    std::this_thread::sleep_for(kIdlePollTime);
  }
  LOG(INFO) << "daemon: nothing in flight, closing";
  std::this_thread::sleep_for(kFlushTime);
}

int
Fail(const LastReason& aReason)
{
  LOG(ERROR) << "daemon: " << aReason.Text();
  return kExitFailure;
}

int
Run(const daemon::Settings& aSettings)
{
  const sigset_t signals = BlockStopSignals();
  LastReason reason;
  auto timers = SteadyTimerService::Create();
  Random random(std::random_device{}());
  auto transport = adapters::NngTransport::Create(aSettings.peerAddress_, reason);
  if (!transport) {
    return Fail(reason);
  }
  adapters::HttpTargetClient targets(aSettings.targetThreads_);
  adapters::HttpObjectStore store(aSettings.platformAddress_);
  adapters::HttpInstanceList instances(aSettings.platformAddress_);
  const InstanceIdentity self{ InstanceId(aSettings.instance_),
                               PeerAddress(aSettings.peerAdvertised_),
                               DataCentre(aSettings.dataCentre_),
                               CurrentIncarnation() };
  adapters::PrometheusMetrics metrics;
  daemon::EasyloggingSink logs;
  auto instance =
    Instance::Create(self, { *timers, random, **transport, targets, store, instances, &metrics, &logs }, reason);
  if (!instance) {
    return Fail(reason);
  }
  (*transport)->SetReceiver([&instance](std::string_view aBytes) { (*instance)->Receive(aBytes); });
  (*instance)->Start();
  auto server = adapters::HttpServer::Create({ .address_ = aSettings.callerAddress_,
                                               .minThreads_ = aSettings.minThreads_,
                                               .maxThreads_ = aSettings.maxCallers_,
                                               .backlog_ = aSettings.backlog_,
                                               .maxBody_ = aSettings.maxBody_,
                                               .maxHeader_ = aSettings.maxHeader_,
                                               .readTimeout_ = aSettings.readTimeout_,
                                               .keepAlive_ = aSettings.keepAlive_ },
                                             adapters::MakeCallerApi(**instance, &metrics),
                                             reason);
  if (!server) {
    return Fail(reason);
  }
  LOG(INFO) << "daemon: instance " << aSettings.instance_ << " serves callers on " << aSettings.callerAddress_;
  WaitForStop(signals);
  LOG(INFO) << "daemon: stop requested";
  Drain(**instance, aSettings.drainTime_);
  LOG(INFO) << "daemon: stopped";
  // Adapters call back from their own threads until they are destroyed, so the process ends without unwinding them.
  std::_Exit(0);
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  std::vector<daemon::SettingFault> faults;
  auto line = daemon::ReadCommandLine({ aArgv + 1, aArgv + aArgc }, daemon::ProcessVariables(), faults);
  if (!line) {
    for (const daemon::SettingFault& fault : faults) {
      std::cerr << "ibisrockd: " << fault.setting_ << " " << fault.text_ << "\n";
    }
    return kExitUsage;
  }
  switch (line->task_) {
    case daemon::Task::ShowHelp:
      std::cout << daemon::UsageText();
      return 0;
    case daemon::Task::ShowVersion:
      std::cout << kVersion << "\n";
      return 0;
    case daemon::Task::Check:
      std::cout << "settings are valid\n";
      return 0;
    case daemon::Task::Run:
      break;
  }
  daemon::ConfigureLogs(line->settings_.logLevel_);
  return Run(line->settings_);
}
