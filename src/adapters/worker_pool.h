#ifndef IBISROCK_ADAPTERS_WORKER_POOL_H
#define IBISROCK_ADAPTERS_WORKER_POOL_H

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace ibisrock::adapters {

/// Runs blocking calls on threads, in the order in which they were added. A thread is added when all are busy, up to a
/// largest number.
class WorkerPool
{
public:
  explicit WorkerPool(unsigned aThreads);
  WorkerPool(unsigned aThreads, unsigned aMostThreads);
  /// Runs what was added and then stops the threads.
  ~WorkerPool();

  void Add(std::function<void()> aWork);

private:
  void Run();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::function<void()>> work_;
  bool stopping_ = false;
  size_t idle_ = 0;
  const size_t mostThreads_;
  std::vector<std::thread> threads_;
};

} // namespace ibisrock::adapters

#endif
