#ifndef IBISROCK_STANDIN_PLATFORM_STANDIN_H
#define IBISROCK_STANDIN_PLATFORM_STANDIN_H

#include "adapters/http_server.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>

namespace ibisrock::standin {

/// A stand-in for the platform's object API and instance list, for tests and trials.
class PlatformStandin
{
public:
  adapters::HttpReply Handle(const adapters::HttpRequest& aRequest);

private:
  struct Object
  {
    uint64_t revision_ = 0;
    std::string value_;
  };

  adapters::HttpReply GetObject(const std::string& aKey);
  adapters::HttpReply PutObject(const std::string& aKey, const adapters::HttpRequest& aRequest);
  adapters::HttpReply WatchObject(const std::string& aKey, const adapters::HttpRequest& aRequest);

  std::mutex mutex_;
  std::condition_variable changed_;
  uint64_t lastRevision_ = 0;
  std::map<std::string, Object> objects_;
  std::string instances_ = "[]";
};

} // namespace ibisrock::standin

#endif
