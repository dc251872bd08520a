#ifndef BORAGERIDGE_COMMON_BOUNDEDJSON_H
#define BORAGERIDGE_COMMON_BOUNDEDJSON_H

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace borageridge {

/// Decodes JSON from another process. Returns none if it is malformed or if its
/// arrays and objects are nested more than MaxDepth deep.
std::optional<nlohmann::json> parseJson(std::string_view Text,
                                        std::size_t MaxDepth);

/// The same for MessagePack.
std::optional<nlohmann::json>
parseMessagePack(std::span<const std::uint8_t> Bytes, std::size_t MaxDepth);

/// Returns the field if it is an integer in [Min, Max].
std::optional<std::int64_t> integerIn(const nlohmann::json &Object,
                                      std::string_view Key, std::int64_t Min,
                                      std::int64_t Max);

} // namespace borageridge

#endif // BORAGERIDGE_COMMON_BOUNDEDJSON_H
