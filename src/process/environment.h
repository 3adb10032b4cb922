#ifndef IBISROCK_PROCESS_ENVIRONMENT_H
#define IBISROCK_PROCESS_ENVIRONMENT_H

#include "base/instance_list.h"
#include "base/log_sink.h"
#include "base/object_store.h"
#include "base/peer_transport.h"
#include "base/random.h"
#include "base/target_client.h"
#include "base/timer_service.h"
#include "process/metrics_sink.h"
#include "wire/messages.h"

#include <functional>

namespace ibisrock {

/// The external dependencies of an instance. They must outlive the instance.
struct Environment
{
  TimerService& timers_;
  Random& random_;
  PeerTransport& transport_;
  TargetClient& targets_;
  ObjectStore& store_;
  InstanceList& instances_;
  /// Receives the metrics of the instance; no metrics are reported if it is null.
  MetricsSink* metrics_ = nullptr;
  /// Receives the log lines; nothing is logged if it is null.
  LogSink* logs_ = nullptr;
};

/// Identity of an instance, constant for the lifetime of the process.
struct InstanceIdentity
{
  InstanceId id_;
  PeerAddress address_;
  DataCentre dataCentre_;
  Incarnation incarnation_;
};

/// Sends a message body to a peer in an envelope of this instance. Returns false if the message was definitely not
/// sent.
using SendToPeer = std::function<bool(const PeerAddress&, wire::Body)>;

} // namespace ibisrock

#endif
