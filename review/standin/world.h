#ifndef REVIEW_STANDIN_WORLD_H
#define REVIEW_STANDIN_WORLD_H

#include "store.h"

#include <cstdio>
#include <sys/types.h>

namespace review {

/// The file record.txt of a case: what was sent, answered and run.
class Record
{
public:
  explicit Record(const std::string& aPath);
  ~Record();

  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void Line(const std::string& aText);

private:
  std::mutex mutex_;
  std::FILE* file_;
};

/// Exit codes of a case.
enum Result : int
{
  kHeld = 0,
  kBroken = 1,
  kCouldNotRun = 2,
};

/// One replica of a service. Serves requests as the pages say, and writes its check-ins to the store.
class Replica
{
public:
  struct Settings
  {
    std::string id_;
    std::string service_;
    std::string zone_;
    Address address_;
    double workSeconds_ = 0.01;
  };
  /// Answers a request in place of the usual answer.
  using Answer = std::function<void(Replica&, Connection&, const Message&)>;

  Replica(Settings aSettings, Store& aStore, Record& aRecord);
  ~Replica();

  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  /// Must be set before requests come. It gets the connection as soon as the head of a request has been read.
  void SetAnswer(Answer aAnswer) { answer_ = std::move(aAnswer); }
  const Settings& Config() const { return settings_; }
  /// Proof that this replica ran a request.
  std::string Stamp(const std::string& aRequestId) const { return settings_.id_ + ":" + aRequestId; }
  /// Writes the state to the store; "" removes the entry.
  void Register(const std::string& aState);
  /// Ends the process of the replica, with all its connections. It sends no check-ins until Restart().
  void Crash();
  /// Starts it again under its id.
  void Restart();

  /// The usual answer, with a whole body.
  static void Respond(Replica& aReplica, Connection& aConnection, const Message& aRequest);

private:
  void Serve(Connection& aConnection);
  void CheckIn();

  const Settings settings_;
  Store& store_;
  Record& record_;
  Answer answer_;
  std::mutex mutex_;
  std::string state_ = "ready";
  bool isDown_ = false;
  uint64_t sequence_ = 0;
  /// Start of the replica in Unix milliseconds.
  uint64_t born_;
  std::atomic<bool> ended_ = false;
  Listener listener_;
  std::thread checkIns_;
};

/// Fields of an installation that an instance gets through the template of the deploy file.
struct InstanceSettings
{
  std::string node_;
  std::string zone_;
  std::string ip_;
  Address store_;
};

/// One instance of the system as a process of its own.
class Instance
{
public:
  /// Writes the settings file to the folder.
  Instance(InstanceSettings aSettings, const std::string& aFolder);
  ~Instance();

  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  /// Starts the program of the deploy file.
  void Start();
  void Signal(int aSignal) const;
  /// Whether the process has ended by itself.
  bool HasEnded();
  bool IsReady() const;
  Address Front() const;
  const std::string& Name() const { return settings_.node_; }

private:
  const InstanceSettings settings_;
  const std::string file_;
  const std::string log_;
  pid_t process_ = -1;
};

/// Text of a request of a client.
std::string
FormatRequest(const std::string& aMethod,
              const std::string& aPath,
              const std::string& aId,
              int aDeadlineMs,
              std::string_view aBody = {});

/// Host of all routes.
inline constexpr const char* kHost = "pupu76.example";

/// Waits until all instances are ready. Returns false if some are not in time.
bool
WaitUntilReady(const std::vector<std::unique_ptr<Instance>>& aInstances, double aSeconds);

/// A loopback address of this run, so that runs beside each other do not meet.
std::string
LoopbackIp(int aLast);

/// Ends the program without waiting for threads. Instances must have been destroyed.
[[noreturn]] void
Exit(Result aResult);

} // namespace review

#endif
