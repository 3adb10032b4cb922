#ifndef IBISROCK_REVIEW_STANDIN_2_REPLICA_H
#define IBISROCK_REVIEW_STANDIN_2_REPLICA_H

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <random>
#include <string>

#include <nlohmann/json.hpp>

#include "net.h"
#include "record.h"

namespace standin {

struct ReplicaSettings
{
  std::string id_;
  std::string service_ = "orders";
  int slots_ = 8;
  int queue_ = 8;
  int workMs_ = 20;
  uint32_t seed_ = 1;
};

/// A replica that keeps to the pages. While it is spoiled, some of its answers are followed by more bytes, late: when
/// the next request on that connection has been read.
class Replica
{
public:
  Replica(ReplicaSettings aSettings, Record& aRecord);
  uint16_t Port() const;
  const std::string& Id() const;

  /// Its entry in the platform's store, which counts the check-ins.
  nlohmann::json Entry();
  void Drain();
  bool HasExited() const;

  /// The share is that of the answers, in percent. {stamp} stands for the stamp of the answer before.
  void Spoil(int aPercent, std::string aBytes);
  int SpoiledAnswers() const;

  /// Ends as a process does: its connections close at once, and new ones are not served.
  void Exit();

private:
  void Serve(Stream& aStream);
  Message Answer(const Message& aRequest);
  Message Run(const Message& aRequest);
  Message Refuse(int aStatus, const Message& aRequest) const;
  std::string SpoiledBytes(const std::string& aStamp);
  bool DrawSpoiled();

  ReplicaSettings settings_;
  Record& record_;
  std::mutex mutex_;
  std::condition_variable free_;
  int running_ = 0;
  int waiting_ = 0;
  uint64_t stamps_ = 0;
  std::mt19937 random_;
  int spoiledPercent_ = 0;
  std::string bytes_;
  std::atomic<int> spoiled_ = 0;
  std::atomic<bool> hasExited_ = false;
  int64_t born_;
  uint64_t checkIns_ = 0;
  std::string state_ = "ready";
  Listener listener_;
};

} // namespace standin

#endif
