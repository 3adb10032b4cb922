#ifndef IBISROCK_ADAPTERS_READ_BUFFER_H
#define IBISROCK_ADAPTERS_READ_BUFFER_H

#include <span>

namespace ibisrock::adapters {

/// The buffer that all connections of this thread read into, one after another. A connection copies what it has to
/// keep, so that idle connections need no buffer.
std::span<char>
SharedReadBuffer();

} // namespace ibisrock::adapters

#endif
