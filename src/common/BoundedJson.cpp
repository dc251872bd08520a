#include "common/BoundedJson.h"

#include <limits>
#include <string>

namespace borageridge {
namespace {

using nlohmann::json;
using DomParser = nlohmann::detail::json_sax_dom_parser<json>;

// The depth of the input bounds the use of the stack, since the binary reader
// calls itself for each nested value, and of memory, since a nested value takes
// many times the bytes of its text.
class BoundedDepthParser : public DomParser {
public:
  BoundedDepthParser(json &Result, std::size_t Limit)
      : DomParser(Result, false), MaxDepth(Limit) {}

  // NOLINTBEGIN(readability-identifier-naming): names of the parser's events.
  bool start_object(std::size_t Size) {
    return ++Depth <= MaxDepth && DomParser::start_object(Size);
  }
  bool end_object() {
    --Depth;
    return DomParser::end_object();
  }
  bool start_array(std::size_t Size) {
    return ++Depth <= MaxDepth && DomParser::start_array(Size);
  }
  bool end_array() {
    --Depth;
    return DomParser::end_array();
  }
  // NOLINTEND(readability-identifier-naming)

private:
  std::size_t MaxDepth;
  std::size_t Depth = 0;
};

template <typename Range>
std::optional<json> parse(const Range &Input, std::size_t MaxDepth,
                          json::input_format_t Format) {
  json Result;
  BoundedDepthParser Parser(Result, MaxDepth);
  if (!json::sax_parse(Input.begin(), Input.end(), &Parser, Format))
    return std::nullopt;
  return Result;
}

} // namespace

std::optional<json> parseJson(std::string_view Text, std::size_t MaxDepth) {
  return parse(Text, MaxDepth, json::input_format_t::json);
}

std::optional<json> parseMessagePack(std::span<const std::uint8_t> Bytes,
                                     std::size_t MaxDepth) {
  return parse(Bytes, MaxDepth, json::input_format_t::msgpack);
}

std::optional<std::int64_t> integerIn(const json &Object, std::string_view Key,
                                      std::int64_t Min, std::int64_t Max) {
  const auto Found = Object.find(std::string(Key));
  if (Found == Object.end() || !Found->is_number_integer())
    return std::nullopt;
  constexpr auto Largest =
      static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
  if (Found->is_number_unsigned() && Found->get<std::uint64_t>() > Largest)
    return std::nullopt;
  const auto Value = Found->get<std::int64_t>();
  return Value < Min || Value > Max ? std::nullopt : std::optional(Value);
}

} // namespace borageridge
