#include "adapters/frame.h"

#include <exception>
#include <msgpack.hpp>

namespace ibisrock::adapters {

namespace {

/// A frame is one array of messages.
constexpr size_t kMaxDepth = 1;

} // namespace

std::string
EncodeFrame(const std::vector<std::string>& aMessages)
{
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(static_cast<uint32_t>(aMessages.size()));
  for (const std::string& message : aMessages) {
    packer.pack_bin(static_cast<uint32_t>(message.size()));
    packer.pack_bin_body(message.data(), static_cast<uint32_t>(message.size()));
  }
  return { buffer.data(), buffer.size() };
}

void
DecodeFrame(std::string_view aFrame, const std::function<void(std::string_view)>& aReceiver)
{
  std::vector<std::string_view> messages;
  msgpack::object_handle handle;
  try {
    // No element of a frame takes less than one byte. Without these limits, a frame that announces 2^32 messages makes
    // the library reserve memory for all of them.
    const size_t size = aFrame.size();
    const msgpack::unpack_limit limit(size, size, size, size, size, kMaxDepth);
    handle = msgpack::unpack(aFrame.data(), size, nullptr, nullptr, limit);
    messages = handle.get().as<std::vector<std::string_view>>();
  } catch (const std::exception&) {
    return;
  }
  for (const std::string_view message : messages) {
    aReceiver(message);
  }
}

} // namespace ibisrock::adapters
