#include "authority/Fingerprint.h"

#include <openssl/sha.h>

#include <array>

namespace borageridge::authority {

std::string fingerprintOf(std::string_view Key) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Digest{};
  SHA256(reinterpret_cast<const unsigned char *>(Key.data()), Key.size(),
         Digest.data());
  constexpr std::size_t UsedBytes = 16;
  constexpr std::string_view Hex = "0123456789abcdef";
  std::string Result;
  Result.reserve(2 * UsedBytes);
  for (std::size_t I = 0; I < UsedBytes; ++I) {
    Result.push_back(Hex[Digest[I] >> 4]);
    Result.push_back(Hex[Digest[I] & 15]);
  }
  return Result;
}

} // namespace borageridge::authority
