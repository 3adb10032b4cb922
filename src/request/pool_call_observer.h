#ifndef IBISROCK_REQUEST_POOL_CALL_OBSERVER_H
#define IBISROCK_REQUEST_POOL_CALL_OBSERVER_H

#include <cstddef>

namespace ibisrock {

/// Notified when a pool call has its final reply or has been given up.
class PoolCallObserver
{
public:
  virtual ~PoolCallObserver() = default;

  virtual void OnPoolCallEnded(size_t aIndex) = 0;
};

} // namespace ibisrock

#endif
