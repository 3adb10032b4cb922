#ifndef IBISROCK_ENTRY_LOOP_RUNNER_H
#define IBISROCK_ENTRY_LOOP_RUNNER_H

#include "base/log_sink.h"
#include "base/timer_service.h"

#include <boost/asio/io_context.hpp>

namespace ibisrock::entry {

/// Runs the loop until it has nothing to do. An exception that leaves a handler ends the work of that handler only and
/// is logged. If too many come, the last one is thrown again, because the process cannot do its work then.
void
RunLoop(boost::asio::io_context& aLoop, TimerService& aTimers, LogSink& aLogs);

} // namespace ibisrock::entry

#endif
