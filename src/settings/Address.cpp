#include "settings/Address.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>

namespace borageridge::settings {
namespace {

struct Parts {
  int Family = AF_INET;
  std::string Number;
  std::string_view Port;
};

std::optional<Parts> split(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::string_view Number = Text.substr(0, Colon);
  const std::string_view Port = Text.substr(Colon + 1);
  if (!Number.starts_with('['))
    return Parts{AF_INET, std::string(Number), Port};
  if (!Number.ends_with(']'))
    return std::nullopt;
  Number = Number.substr(1, Number.size() - 2);
  return Parts{AF_INET6, std::string(Number), Port};
}

bool isPort(std::string_view Text) {
  std::uint16_t Value = 0;
  const auto [End, Error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return Error == std::errc() && End == Text.data() + Text.size() &&
         Value != 0 && Text.front() != '0';
}

using Bytes = std::array<unsigned char, 16>;

std::optional<Bytes> ipNumber(const Parts &Address) {
  // inet_pton reads up to a zero byte; the rest would go unchecked.
  if (Address.Number.find('\0') != std::string::npos)
    return std::nullopt;
  Bytes Result{};
  if (inet_pton(Address.Family, Address.Number.c_str(), Result.data()) != 1)
    return std::nullopt;
  return Result;
}

} // namespace

bool isAddress(std::string_view Text) {
  const auto Address = split(Text);
  return Address && isPort(Address->Port) && ipNumber(*Address);
}

bool isUnspecified(std::string_view Address) {
  const auto Split = split(Address);
  const auto Number = Split ? ipNumber(*Split) : std::nullopt;
  return Number && std::ranges::all_of(*Number, [](auto B) { return B == 0; });
}

} // namespace borageridge::settings
