#ifndef BORAGERIDGE_PEER_FRAME_H
#define BORAGERIDGE_PEER_FRAME_H

#include "borageridge/Failure.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

namespace borageridge::peer {

using Message = nlohmann::json;

/// Size of the length that precedes each frame, in bytes.
constexpr std::size_t FrameHeaderBytes = 4;
/// Larger than a page of a range read from the store.
constexpr std::size_t MaxFrameBytes = std::size_t(8) << 20;
/// Deepest nesting of arrays and objects in a frame.
constexpr std::size_t MaxFrameDepth = 8;

/// Encodes a message as a 4-byte big-endian length followed by a MessagePack
/// object.
std::string encodeFrame(const Message &Content);

/// Returns the length of the frame whose header this is, in bytes.
std::size_t frameSize(std::span<const std::uint8_t, FrameHeaderBytes> Header);

/// Decodes a frame without its header. Returns Corrupt unless it is a
/// MessagePack object with an unsigned "id", nested at most MaxFrameDepth deep.
Expected<Message> decodeFrame(std::span<const std::uint8_t> Bytes);

} // namespace borageridge::peer

#endif // BORAGERIDGE_PEER_FRAME_H
