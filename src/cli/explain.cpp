#include "cli/command.h"
#include "cli/request_story.h"

#include <fstream>

namespace ibisrock::cli {

ExitCode
RunExplain(const CommandCall& aCall)
{
  const std::string request = aCall.arguments_.at("REQUEST").asString();
  RequestStory story(request);
  for (const std::string& path : aCall.arguments_.at("LOG").asStringList()) {
    std::ifstream log(path);
    if (!log) {
      aCall.err_ << "ibisrock: " << path << ": cannot be read\n";
      return ExitCode::BadInput;
    }
    story.Read(log);
  }
  for (const std::string& line : story.Lines()) {
    aCall.out_ << line << "\n";
  }
  if (!story.IsFound()) {
    aCall.err_ << "ibisrock: none of " << story.LineCount() << " log lines names request " << request << "\n";
  }
  if (story.LeftOutCount() > 0) {
    aCall.err_ << "ibisrock: the instances left out " << story.LeftOutCount()
               << " lines under load, so that the story may be incomplete\n";
  }
  return story.IsFound() ? ExitCode::Done : ExitCode::Failed;
}

} // namespace ibisrock::cli
