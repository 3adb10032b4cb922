#ifndef IBISROCK_ADAPTERS_WORKER_POOL_H
#define IBISROCK_ADAPTERS_WORKER_POOL_H

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace ibisrock::adapters {

/// Runs blocking calls on a fixed number of threads, in the order in which they were added.
class WorkerPool
{
public:
  explicit WorkerPool(unsigned aThreads);
  /// Runs what was added and then stops the threads.
  ~WorkerPool();

  void Add(std::function<void()> aWork);

private:
  void Run();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::function<void()>> work_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

} // namespace ibisrock::adapters

#endif
