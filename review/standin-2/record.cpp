#include "record.h"

namespace standin {

Record::Record(const std::string& aFile)
  : file_(aFile)
{
}

void
Record::Note(const std::string& aText)
{
  const std::lock_guard lock(mutex_);
  Write(aText);
  file_.flush();
}

void
Record::Sent(const std::string& aId, const std::string& aKind)
{
  const std::lock_guard lock(mutex_);
  requests_[aId].kind_ = aKind;
  requests_[aId].sentAt_ = NowMs();
  Write("sent " + aKind + " " + aId);
}

void
Record::Answered(const std::string& aId, const std::optional<Message>& aAnswer)
{
  const std::lock_guard lock(mutex_);
  Request& request = requests_[aId];
  request.answeredAt_ = NowMs();
  if (!aAnswer) {
    Write("no-answer " + aId);
    return;
  }
  request.status_ = aAnswer->Status();
  request.answer_ = *aAnswer;
  Write("answered " + aId + " " + std::to_string(request.status_) + " stamp=" + aAnswer->Get("Server-Stamp"));
}

void
Record::Ran(const std::string& aId, const std::string& aReplica)
{
  const std::lock_guard lock(mutex_);
  requests_[aId].runs_.push_back(aReplica);
  Write("run " + aId + " at " + aReplica);
}

std::map<std::string, Record::Request>
Record::Requests() const
{
  const std::lock_guard lock(mutex_);
  return requests_;
}

void
Record::Write(const std::string& aText)
{
  file_ << "t=" << NowMs() - start_ << " " << aText << "\n";
}

} // namespace standin
