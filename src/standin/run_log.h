#ifndef IBISROCK_STANDIN_RUN_LOG_H
#define IBISROCK_STANDIN_RUN_LOG_H

#include "base/last_reason.h"

#include <memory>
#include <string>

namespace ibisrock::standin {

/// A file with one line for each run that a target began: shard, index version and the body as a JSON text, separated
/// by tabs. Each line is one write in append mode, so that the file outlives a kill of the process and several
/// processes can share it. Thread-safe.
class RunLog
{
public:
  /// Returns no log when the file cannot be opened for appending.
  static std::unique_ptr<RunLog> Open(const std::string& aPath, LastReason& aReason);
  ~RunLog();

  RunLog(const RunLog&) = delete;
  RunLog& operator=(const RunLog&) = delete;

  /// Ends the process when the line cannot be written: a run without a line would make the log useless as a proof.
  void Add(const std::string& aShard, const std::string& aVersion, const std::string& aBody);

private:
  explicit RunLog(int aFile);

  const int file_;
};

} // namespace ibisrock::standin

#endif
