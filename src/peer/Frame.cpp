#include "peer/Frame.h"

#include "common/BoundedJson.h"

#include <utility>

namespace borageridge::peer {
std::string encodeFrame(const Message &Content) {
  std::string Frame(FrameHeaderBytes, '\0');
  nlohmann::json::to_msgpack(Content,
                             nlohmann::detail::output_adapter<char>(Frame));
  const std::size_t Size = Frame.size() - FrameHeaderBytes;
  for (std::size_t I = 0; I < FrameHeaderBytes; ++I)
    Frame[I] = static_cast<char>(Size >> (8 * (FrameHeaderBytes - 1 - I)));
  return Frame;
}

std::size_t frameSize(std::span<const std::uint8_t, FrameHeaderBytes> Header) {
  std::size_t Size = 0;
  for (const std::uint8_t Byte : Header)
    Size = Size << 8 | Byte;
  return Size;
}

Expected<Message> decodeFrame(std::span<const std::uint8_t> Bytes) {
  std::optional<Message> Result = parseMessagePack(Bytes, MaxFrameDepth);
  if (!Result || !Result->is_object())
    return Failure{FailureKind::Corrupt, "frame is not a MessagePack object"};
  const auto Id = Result->find("id");
  if (Id == Result->end() || !Id->is_number_unsigned())
    return Failure{FailureKind::Corrupt, "frame has no valid id"};
  return std::move(*Result);
}

} // namespace borageridge::peer
