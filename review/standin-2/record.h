#ifndef IBISROCK_REVIEW_STANDIN_2_RECORD_H
#define IBISROCK_REVIEW_STANDIN_2_RECORD_H

#include <cstdint>
#include <fstream>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "net.h"

namespace standin {

/// What was sent, answered and run, as clients and replicas have seen it, one line each.
class Record
{
public:
  struct Request
  {
    std::string kind_;
    int64_t sentAt_ = 0;
    int64_t answeredAt_ = 0;
    /// 0: no answer, or none that is complete.
    int status_ = 0;
    Message answer_;
    /// The replicas that ran it.
    std::vector<std::string> runs_;
  };

  explicit Record(const std::string& aFile);

  void Note(const std::string& aText);
  void Sent(const std::string& aId, const std::string& aKind);
  void Answered(const std::string& aId, const std::optional<Message>& aAnswer);
  void Ran(const std::string& aId, const std::string& aReplica);
  std::map<std::string, Request> Requests() const;

private:
  void Write(const std::string& aText);

  mutable std::mutex mutex_;
  std::ofstream file_;
  int64_t start_ = NowMs();
  std::map<std::string, Request> requests_;
};

} // namespace standin

#endif
