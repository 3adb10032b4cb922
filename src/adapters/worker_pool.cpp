#include "adapters/worker_pool.h"

#include <utility>

namespace ibisrock::adapters {

WorkerPool::WorkerPool(unsigned aThreads)
  : WorkerPool(aThreads, aThreads)
{
}

WorkerPool::WorkerPool(unsigned aThreads, unsigned aMostThreads)
  : mostThreads_(aMostThreads)
{
  for (unsigned index = 0; index < aThreads; index++) {
    threads_.emplace_back([this] { Run(); });
  }
}

WorkerPool::~WorkerPool()
{
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void
WorkerPool::Add(std::function<void()> aWork)
{
  {
    std::lock_guard lock(mutex_);
    work_.push_back(std::move(aWork));
    if (work_.size() > idle_ && threads_.size() < mostThreads_) {
      threads_.emplace_back([this] { Run(); });
    }
  }
  changed_.notify_one();
}

void
WorkerPool::Run()
{
  std::unique_lock lock(mutex_);
  while (true) {
    idle_++;
    changed_.wait(lock, [this] { return stopping_ || !work_.empty(); });
    idle_--;
    if (work_.empty()) {
      return;
    }
    std::function<void()> work = std::move(work_.front());
    work_.pop_front();
    lock.unlock();
    work();
    work = nullptr;
    lock.lock();
  }
}

} // namespace ibisrock::adapters
