#include "telemetry/Json.h"

#include <array>
#include <charconv>
#include <cmath>
#include <cstdint>

namespace borageridge::telemetry {
namespace {

constexpr std::string_view Replacement = "\\ufffd";

bool isContinuation(unsigned char Byte) { return (Byte & 0xc0) == 0x80; }

std::size_t sequenceLength(unsigned char Lead) {
  if (Lead >= 0xc2 && Lead <= 0xdf)
    return 2;
  if (Lead >= 0xe0 && Lead <= 0xef)
    return 3;
  return Lead >= 0xf0 && Lead <= 0xf4 ? 4 : 0;
}

// Excludes overlong forms, surrogates and code points above U+10FFFF.
bool secondByteFits(unsigned char Lead, unsigned char Second) {
  switch (Lead) {
  case 0xe0:
    return Second >= 0xa0;
  case 0xed:
    return Second <= 0x9f;
  case 0xf0:
    return Second >= 0x90;
  case 0xf4:
    return Second <= 0x8f;
  default:
    return true;
  }
}

// Length of the valid multi-byte character at the start of Text, else 0.
std::size_t validSequence(std::string_view Text) {
  const auto Lead = static_cast<unsigned char>(Text[0]);
  const std::size_t Length = sequenceLength(Lead);
  if (Length == 0 || Text.size() < Length)
    return 0;
  for (std::size_t I = 1; I < Length; ++I)
    if (!isContinuation(static_cast<unsigned char>(Text[I])))
      return 0;
  return secondByteFits(Lead, static_cast<unsigned char>(Text[1])) ? Length : 0;
}

void appendControl(std::string &Out, unsigned char Byte) {
  constexpr std::string_view Digits = "0123456789abcdef";
  Out.append("\\u00");
  Out.push_back(Digits[Byte >> 4]);
  Out.push_back(Digits[Byte & 0xf]);
}

void appendAscii(std::string &Out, char Byte) {
  if (Byte == '"' || Byte == '\\')
    Out.push_back('\\');
  if (static_cast<unsigned char>(Byte) < 0x20 || Byte == 0x7f)
    appendControl(Out, static_cast<unsigned char>(Byte));
  else
    Out.push_back(Byte);
}

} // namespace

void appendJson(std::string &Out, std::string_view Text) {
  Out.push_back('"');
  while (!Text.empty()) {
    std::size_t Used = 1;
    if (static_cast<unsigned char>(Text[0]) < 0x80)
      appendAscii(Out, Text[0]);
    else if (const std::size_t Length = validSequence(Text); Length != 0)
      Out.append(Text.substr(0, Used = Length));
    else
      Out.append(Replacement);
    Text.remove_prefix(Used);
  }
  Out.push_back('"');
}

void appendJson(std::string &Out, bool Value) {
  Out.append(Value ? "true" : "false");
}

void appendJson(std::string &Out, double Value) {
  if (!std::isfinite(Value)) {
    Out.append("null");
    return;
  }
  std::array<char, 32> Buffer{};
  const auto Result =
      std::to_chars(Buffer.data(), Buffer.data() + Buffer.size(), Value);
  Out.append(Buffer.data(), Result.ptr);
}

} // namespace borageridge::telemetry
