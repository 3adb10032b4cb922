#include "adapters/http_caller.h"
#include "cli/command.h"
#include "cli/input.h"

namespace ibisrock::cli {

ExitCode
RunDump(const CommandCall& aCall)
{
  auto address = ReadAddress(aCall, "--instance");
  if (!address) {
    return ExitCode::BadInput;
  }
  adapters::HttpCall call;
  call.address_ = *address;
  call.url_ = "/debug/state";
  call.maxReply_ = adapters::HttpCall::kMaxStateDump;
  const adapters::HttpOutcome outcome = adapters::HttpCaller().Call(call);
  if (outcome.verdict_ != Verdict::Ran) {
    aCall.err_ << "ibisrock: " << *address << ": " << outcome.error_ << "\n";
    return ExitCode::Failed;
  }
  aCall.out_ << outcome.body_;
  return outcome.status_ == 200 ? ExitCode::Done : ExitCode::Failed;
}

} // namespace ibisrock::cli
