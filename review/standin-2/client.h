#ifndef IBISROCK_REVIEW_STANDIN_2_CLIENT_H
#define IBISROCK_REVIEW_STANDIN_2_CLIENT_H

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "record.h"

namespace standin {

struct ClientSettings
{
  std::string name_;
  uint16_t port_ = 0;
  std::string method_ = "POST";
  std::string path_;
  std::string body_;
  int budgetMs_ = 2000;
  int pauseMs_ = 30;
};

/// Sends one request after the other over a kept connection, each attempt with an id of its own.
class Client
{
public:
  Client(ClientSettings aSettings, Record& aRecord);
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
  Client(Client&&) = delete;
  Client& operator=(Client&&) = delete;
  ~Client();

  void Stop();

private:
  void Work();

  ClientSettings settings_;
  Record& record_;
  std::atomic<bool> isOver_ = false;
  std::thread thread_;
};

} // namespace standin

#endif
