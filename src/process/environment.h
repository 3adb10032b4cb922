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

/// Everything outside the library that an instance uses. It outlives the instance.
struct Environment
{
  TimerService& timers_;
  Random& random_;
  PeerTransport& transport_;
  TargetClient& targets_;
  ObjectStore& store_;
  InstanceList& instances_;
  /// Receives what the instance counts; none when it is null.
  MetricsSink* metrics_ = nullptr;
  /// Receives the log lines; none when it is null.
  LogSink* logs_ = nullptr;
};

/// Who an instance is. Fixed for the life of the process.
struct InstanceIdentity
{
  InstanceId id_;
  PeerAddress address_;
  DataCentre dataCentre_;
  Incarnation incarnation_;
};

/// Sends a message body to a peer in an envelope of this instance. Returns false when it was certainly not sent.
using SendToPeer = std::function<bool(const PeerAddress&, wire::Body)>;

} // namespace ibisrock

#endif
