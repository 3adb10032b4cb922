#include "adapters/api_error.h"

#include <atomic>
#include <nlohmann/json.hpp>

namespace ibisrock::adapters {

HttpReply
NotRunReply(unsigned aStatus, const std::string& aReason, const std::string& aMessage)
{
  static std::atomic<uint64_t> lastId{ 0 };
  const std::string id = "rejected-" + std::to_string(++lastId);
  const nlohmann::json body{
    { "verdict", "not-run" }, { "reason", aReason }, { "message", aMessage }, { "request", id }
  };
  return { aStatus,
           "application/json",
           { { "Ibisrock-Verdict", "not-run" }, { "Ibisrock-Request", id } },
           body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n" };
}

} // namespace ibisrock::adapters
