#include "adapters/read_buffer.h"

#include <array>
#include <cstddef>

namespace ibisrock::adapters {

namespace {

/// A part of a gathered answer with its header takes one read.
constexpr size_t kSize = 16 << 10;

} // namespace

std::span<char>
SharedReadBuffer()
{
  thread_local std::array<char, kSize> buffer;
  return buffer;
}

} // namespace ibisrock::adapters
