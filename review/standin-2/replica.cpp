#include "replica.h"

#include <chrono>
#include <utility>

namespace standin {

namespace {

constexpr int kIdleMs = 60000;

int64_t
UnixMs()
{
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  return duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

Replica::Replica(ReplicaSettings aSettings, Record& aRecord)
  : settings_(std::move(aSettings))
  , record_(aRecord)
  , random_(settings_.seed_)
  , born_(UnixMs())
  , listener_([this](Stream& aStream) { Serve(aStream); })
{
}

uint16_t
Replica::Port() const
{
  return listener_.Port();
}

const std::string&
Replica::Id() const
{
  return settings_.id_;
}

nlohmann::json
Replica::Entry()
{
  const std::lock_guard lock(mutex_);
  return { { "service", settings_.service_ },
           { "address", "127.0.0.1:" + std::to_string(Port()) },
           { "zone", "zone-a" },
           { "version", 1 },
           { "slots", settings_.slots_ },
           { "state", state_ },
           { "warmupLeftMs", 0 },
           { "seqNo", ++checkIns_ },
           { "born", born_ } };
}

void
Replica::Spoil(int aPercent, std::string aBytes)
{
  const std::lock_guard lock(mutex_);
  spoiledPercent_ = aPercent;
  bytes_ = std::move(aBytes);
}

int
Replica::SpoiledAnswers() const
{
  return spoiled_;
}

void
Replica::Drain()
{
  const std::lock_guard lock(mutex_);
  state_ = "draining";
}

bool
Replica::HasExited() const
{
  return hasExited_;
}

void
Replica::Exit()
{
  hasExited_ = true;
}

void
Replica::Serve(Stream& aStream)
{
  std::string late;
  int64_t idleUntil = NowMs() + kIdleMs;
  while (!hasExited_ && aStream.IsOpen() && NowMs() < idleUntil) {
    if (!aStream.WaitForBytes(20)) {
      continue;
    }
    const std::optional<Message> request = aStream.Read(kIdleMs);
    if (!request || hasExited_) {
      return;
    }
    if (!late.empty()) {
      record_.Note("additional bytes from " + settings_.id_ + " while it serves " + request->Get("Request-Id"));
      spoiled_++;
      aStream.Send(std::exchange(late, {}));
    }
    const Message answer = Answer(*request);
    if (hasExited_ || !aStream.Send(answer.Text())) {
      return;
    }
    if (DrawSpoiled()) {
      late = SpoiledBytes(answer.Get("Server-Stamp"));
    }
    idleUntil = NowMs() + kIdleMs;
  }
}

Message
Replica::Answer(const Message& aRequest)
{
  if (aRequest.Target() == "/healthcheck") {
    return MakeAnswer(200, { { "Instance-Id", settings_.id_ } }, "");
  }
  const std::string expected = aRequest.Get("Target-Instance");
  if (!expected.empty() && expected != settings_.id_) {
    return Refuse(421, aRequest);
  }
  if (aRequest.Get("Request-Id").empty()) {
    return Refuse(400, aRequest);
  }
  std::unique_lock lock(mutex_);
  if (running_ >= settings_.slots_ && waiting_ >= settings_.queue_) {
    return Refuse(503, aRequest);
  }
  waiting_++;
  const auto budget = std::chrono::milliseconds(std::stol("0" + aRequest.Get("Deadline-Ms")));
  const bool isFree = free_.wait_for(lock, budget, [this] { return running_ < settings_.slots_; });
  waiting_--;
  if (!isFree) {
    return Refuse(503, aRequest);
  }
  running_++;
  lock.unlock();
  Message answer = Run(aRequest);
  lock.lock();
  running_--;
  free_.notify_one();
  return answer;
}

Message
Replica::Run(const Message& aRequest)
{
  const std::string id = aRequest.Get("Request-Id");
  record_.Ran(id, settings_.id_);
  SleepMs(settings_.workMs_);
  std::string stamp = settings_.id_ + ".";
  {
    const std::lock_guard lock(mutex_);
    stamp += std::to_string(++stamps_);
  }
  return MakeAnswer(200, { { "Request-Id", id }, { "Server-Stamp", stamp } }, "done " + id + "\n");
}

Message
Replica::Refuse(int aStatus, const Message& aRequest) const
{
  std::vector<Field> fields{ { "Not-Executed", "1" }, { "Instance-Id", settings_.id_ } };
  if (!aRequest.Get("Request-Id").empty()) {
    fields.emplace_back("Request-Id", aRequest.Get("Request-Id"));
  }
  return MakeAnswer(aStatus, std::move(fields), "");
}

std::string
Replica::SpoiledBytes(const std::string& aStamp)
{
  static const std::string kStamp = "{stamp}";
  const std::lock_guard lock(mutex_);
  std::string bytes = bytes_;
  const size_t place = bytes.find(kStamp);
  return place == std::string::npos ? bytes : bytes.replace(place, kStamp.size(), aStamp);
}

bool
Replica::DrawSpoiled()
{
  const std::lock_guard lock(mutex_);
  return static_cast<int>(random_() % 100) < spoiledPercent_;
}

} // namespace standin
