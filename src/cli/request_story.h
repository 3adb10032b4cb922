#ifndef IBISROCK_CLI_REQUEST_STORY_H
#define IBISROCK_CLI_REQUEST_STORY_H

#include "cli/log_line.h"

#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <vector>

namespace ibisrock::cli {

/// Follows one request through the logs of all instances, and what an instance knew when it decided.
class RequestStory
{
public:
  explicit RequestStory(std::string aRequest);

  /// Reads a log. Lines of several instances may be mixed, those of one instance must be in order.
  void Read(std::istream& aLog);

  /// Whether any line names the request.
  bool IsFound() const { return !parts_.empty(); }
  uint64_t LineCount() const { return lines_; }
  /// Lines that the instances say they left out.
  uint64_t LeftOutCount() const { return leftOut_; }
  /// The story, instance by instance.
  std::vector<std::string> Lines() const;

private:
  /// The last line of each kind that changed what an instance believes.
  using Beliefs = std::map<std::string, LogLine>;

  struct Part
  {
    std::vector<LogLine> lines_;
    /// What the instance believed at the first line of the request.
    Beliefs beliefs_;
  };

  void Take(LogLine aLine);

  const std::string request_;
  std::map<std::string, Beliefs> beliefs_;
  std::map<std::string, Part> parts_;
  uint64_t lines_ = 0;
  uint64_t leftOut_ = 0;
};

} // namespace ibisrock::cli

#endif
