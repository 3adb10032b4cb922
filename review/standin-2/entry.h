#ifndef IBISROCK_REVIEW_STANDIN_2_ENTRY_H
#define IBISROCK_REVIEW_STANDIN_2_ENTRY_H

#include <sys/types.h>

#include <cstdint>
#include <string>

namespace standin {

/// One entry instance: the program of the deploy file as a process of its own.
class Entry
{
public:
  /// The program is the path of ibisrock-entry, the folder is a temporary one for settings and logs.
  Entry(std::string aProgram, std::string aFolder, std::string aName, uint16_t aStorePort);
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;
  Entry(Entry&&) = delete;
  Entry& operator=(Entry&&) = delete;
  ~Entry();

  bool Start();
  void Signal(int aSignal) const;

  /// Waits until the process has ended by itself, and tells whether it has.
  bool WaitForEnd(int aTimeoutMs);

  /// Whether the readiness question is answered with 200.
  bool IsReady() const;
  bool WaitUntilReady(int aTimeoutMs) const;
  bool IsRunning();
  uint16_t Port() const;
  int ExitStatus() const;
  /// Memory that the process has resident, or 0 when it doesn't run.
  size_t ResidentKb() const;

private:
  std::string program_;
  std::string folder_;
  std::string name_;
  uint16_t store_;
  uint16_t front_;
  uint16_t ready_;
  uint16_t metrics_;
  uint16_t peer_;
  pid_t pid_ = -1;
  int status_ = 0;
};

} // namespace standin

#endif
