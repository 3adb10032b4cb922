#ifndef IBISROCK_ADAPTERS_FRAME_H
#define IBISROCK_ADAPTERS_FRAME_H

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace ibisrock::adapters {

/// Packs messages into one frame, a msgpack array of byte strings.
std::string
EncodeFrame(const std::vector<std::string>& aMessages);

/// Calls aReceiver for each message of a frame. Does nothing for a malformed frame.
void
DecodeFrame(std::string_view aFrame, const std::function<void(std::string_view)>& aReceiver);

} // namespace ibisrock::adapters

#endif
