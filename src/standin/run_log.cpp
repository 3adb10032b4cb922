#include "standin/run_log.h"

#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace ibisrock::standin {

std::unique_ptr<RunLog>
RunLog::Open(const std::string& aPath, LastReason& aReason)
{
  constexpr mode_t kMode = 0644;
  const int file = open(aPath.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, kMode);
  if (file < 0) {
    aReason.Set("cannot open " + aPath + ": " + std::strerror(errno));
    return nullptr;
  }
  return std::unique_ptr<RunLog>(new RunLog(file));
}

RunLog::RunLog(int aFile)
  : file_(aFile)
{
}

RunLog::~RunLog()
{
  close(file_);
}

void
RunLog::Add(const std::string& aShard, const std::string& aVersion, const std::string& aBody)
{
  const std::string body = nlohmann::json(aBody).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  const std::string line = aShard + "\t" + aVersion + "\t" + body + "\n";
  if (write(file_, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
    std::perror("ibisrock-standin: run log");
    std::abort();
  }
}

} // namespace ibisrock::standin
