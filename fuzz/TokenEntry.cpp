#include "FuzzEntry.h"

#include "session/Token.h"

#include <algorithm>

namespace borageridge::fuzz {
namespace {

using session::SessionPositions;

const session::TokenCodec &codec() {
  static const session::TokenCodec Codec(std::string(32, 'k'));
  return Codec;
}

SessionPositions positions(std::size_t Databases) {
  SessionPositions Result;
  for (std::size_t I = 0; I < Databases; ++I)
    Result.advance("ledger-" + std::to_string(I), {I + 1, I * 1000});
  return Result;
}

} // namespace

std::vector<std::string> seeds() {
  return {codec().encode("counter", positions(0)),
          codec().encode("counter", positions(1)),
          codec().encode("counter", positions(3)),
          codec().encode("counter", positions(64))};
}

// Nothing but the tokens that were issued and the empty one is accepted.
std::string decode(std::string_view Input) {
  static const std::vector<std::string> Issued = seeds();
  const auto Decoded = codec().decode("counter", Input);
  if (!Decoded.has_value())
    return std::string(name(Decoded.error()));
  check(Input.empty() || std::ranges::find(Issued, Input) != Issued.end(),
        "a token that was never issued is accepted");
  check(Input.empty() || codec().encode("counter", Decoded.value()) == Input,
        "the positions do not give the token again");
  return "accepted";
}

} // namespace borageridge::fuzz
