#include "peer/Frame.h"

namespace borageridge::peer {
namespace {

using DomParser = nlohmann::detail::json_sax_dom_parser<Message>;

// The binary reader calls itself for each nested value, so that the depth of
// the input bounds the use of the stack.
class BoundedDepthParser : public DomParser {
public:
  explicit BoundedDepthParser(Message &Result) : DomParser(Result, false) {}

  // NOLINTBEGIN(readability-identifier-naming): names of the parser's events.
  bool start_object(std::size_t Size) {
    return ++Depth <= MaxFrameDepth && DomParser::start_object(Size);
  }
  bool end_object() {
    --Depth;
    return DomParser::end_object();
  }
  bool start_array(std::size_t Size) {
    return ++Depth <= MaxFrameDepth && DomParser::start_array(Size);
  }
  bool end_array() {
    --Depth;
    return DomParser::end_array();
  }
  // NOLINTEND(readability-identifier-naming)

private:
  std::size_t Depth = 0;
};

} // namespace

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
  Message Result;
  BoundedDepthParser Parser(Result);
  if (!Message::sax_parse(Bytes.begin(), Bytes.end(), &Parser,
                          Message::input_format_t::msgpack) ||
      !Result.is_object())
    return Failure{FailureKind::Corrupt, "frame is not a MessagePack object"};
  const auto Id = Result.find("id");
  if (Id == Result.end() || !Id->is_number_unsigned())
    return Failure{FailureKind::Corrupt, "frame has no valid id"};
  return Result;
}

} // namespace borageridge::peer
