#include "session/Token.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdlib>
#include <optional>

namespace borageridge::session {
namespace {

// Layout: version (1 byte), caller name, number of databases (2 bytes), then
// for each database in ascending order of names its name, term and index (8
// bytes each), then the MAC of all preceding bytes. A name is a length (2
// bytes) and that many bytes. Integers are big-endian.
constexpr char FormatVersion = 1;
constexpr std::size_t MacBytes = 32;
constexpr std::size_t MinBytes = 1 + 2 + 2 + MacBytes;
// Domain separation from any other use of the same key.
constexpr std::string_view MacContext = "borageridge session token";

using Mac = std::array<unsigned char, MacBytes>;

void appendInteger(std::string &Out, std::uint64_t Value, int Bytes) {
  for (int Shift = 8 * (Bytes - 1); Shift >= 0; Shift -= 8)
    Out.push_back(static_cast<char>((Value >> Shift) & 0xff));
}

void appendName(std::string &Out, std::string_view Name) {
  appendInteger(Out, Name.size(), 2);
  Out.append(Name);
}

struct MacContextDeleter {
  void operator()(EVP_MAC_CTX *Context) const { EVP_MAC_CTX_free(Context); }
};

// Fetching the algorithm and setting the key takes longer than computing the
// MAC of a typical token, so both are done only once.
std::shared_ptr<EVP_MAC_CTX> makeKeyedMac(std::string_view Key) {
  EVP_MAC *Algorithm = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
  std::shared_ptr<EVP_MAC_CTX> Context(EVP_MAC_CTX_new(Algorithm),
                                       MacContextDeleter());
  EVP_MAC_free(Algorithm);
  std::string Digest = "SHA256";
  const std::array<OSSL_PARAM, 2> Parameters{
      OSSL_PARAM_construct_utf8_string("digest", Digest.data(), Digest.size()),
      OSSL_PARAM_construct_end()};
  const int Initialized = EVP_MAC_init(
      Context.get(), reinterpret_cast<const unsigned char *>(Key.data()),
      Key.size(), Parameters.data());
  // Tokens must never be issued or accepted without a MAC.
  if (Initialized != 1)
    std::abort();
  return Context;
}

Mac computeMac(const EVP_MAC_CTX *KeyedContext, std::string_view Body) {
  const auto Bytes = [](std::string_view Text) {
    return reinterpret_cast<const unsigned char *>(Text.data());
  };
  const std::unique_ptr<EVP_MAC_CTX, MacContextDeleter> Context(
      EVP_MAC_CTX_dup(KeyedContext));
  Mac Result{};
  std::size_t Size = 0;
  const bool Succeeded =
      Context != nullptr &&
      EVP_MAC_update(Context.get(), Bytes(MacContext), MacContext.size()) ==
          1 &&
      EVP_MAC_update(Context.get(), Bytes(Body), Body.size()) == 1 &&
      EVP_MAC_final(Context.get(), Result.data(), &Size, Result.size()) == 1;
  if (!Succeeded || Size != Result.size())
    std::abort();
  return Result;
}

bool macMatches(const Mac &Computed, std::string_view Received) {
  return Received.size() == MacBytes &&
         CRYPTO_memcmp(Computed.data(), Received.data(), MacBytes) == 0;
}

// Reads the fields of a token body in order. Returns nothing if a field is
// truncated.
class TokenReader {
public:
  explicit TokenReader(std::string_view Body) : Rest(Body) {}

  std::optional<std::uint64_t> integer(std::size_t Bytes) {
    if (Rest.size() < Bytes)
      return std::nullopt;
    std::uint64_t Value = 0;
    for (const char Byte : Rest.substr(0, Bytes))
      Value = (Value << 8) | static_cast<unsigned char>(Byte);
    Rest.remove_prefix(Bytes);
    return Value;
  }

  std::optional<std::string_view> name() {
    const auto Size = integer(2);
    if (!Size || Rest.size() < *Size)
      return std::nullopt;
    const std::string_view Name = Rest.substr(0, *Size);
    Rest.remove_prefix(*Size);
    return Name;
  }

  bool atEnd() const { return Rest.empty(); }

private:
  std::string_view Rest;
};

bool readPosition(TokenReader &In, SessionPositions &Positions) {
  const auto Database = In.name();
  const auto EntryTerm = In.integer(8);
  const auto Index = In.integer(8);
  if (!Database || !EntryTerm || !Index)
    return false;
  const Position Value{*EntryTerm, *Index};
  return Positions.ByDatabase.emplace(*Database, Value).second;
}

Expected<SessionPositions, TokenError> readPositions(TokenReader &In) {
  const auto Count = In.integer(2);
  if (!Count)
    return TokenError::Truncated;
  if (*Count > SessionPositions::MaxDatabases)
    return TokenError::TooManyDatabases;
  SessionPositions Positions;
  for (std::uint64_t I = 0; I < *Count; ++I)
    if (!readPosition(In, Positions))
      return TokenError::Truncated;
  if (!In.atEnd())
    return TokenError::Truncated;
  return Positions;
}

} // namespace

std::string_view name(TokenError Error) {
  switch (Error) {
  case TokenError::TooLarge:
    return "too_large";
  case TokenError::Truncated:
    return "truncated";
  case TokenError::UnknownVersion:
    return "unknown_version";
  case TokenError::BadIntegrity:
    return "bad_integrity";
  case TokenError::OtherCaller:
    return "other_caller";
  case TokenError::TooManyDatabases:
    return "too_many_databases";
  }
  return "bad_integrity";
}

Position SessionPositions::at(std::string_view Database) const {
  const auto Found = ByDatabase.find(Database);
  return Found == ByDatabase.end() ? Position{} : Found->second;
}

void SessionPositions::advance(std::string_view Database, Position Reached) {
  const auto Found = ByDatabase.find(Database);
  if (Found == ByDatabase.end())
    ByDatabase.emplace(Database, Reached);
  else
    Found->second = std::max(Found->second, Reached);
}

bool SessionPositions::fits(std::string_view Database) const {
  if (Database.size() > MaxNameBytes)
    return false;
  return ByDatabase.size() < MaxDatabases || ByDatabase.contains(Database);
}

TokenCodec::TokenCodec(std::string_view SecretKey)
    : KeyedMac(makeKeyedMac(SecretKey)) {}

std::string TokenCodec::encode(std::string_view Caller,
                               const SessionPositions &Positions) const {
  std::string Token(1, FormatVersion);
  appendName(Token, Caller);
  appendInteger(Token, Positions.ByDatabase.size(), 2);
  for (const auto &[Database, Reached] : Positions.ByDatabase) {
    appendName(Token, Database);
    appendInteger(Token, Reached.EntryTerm, 8);
    appendInteger(Token, Reached.Index, 8);
  }
  const Mac Tag = computeMac(KeyedMac.get(), Token);
  Token.append(reinterpret_cast<const char *>(Tag.data()), Tag.size());
  return Token;
}

Expected<SessionPositions, TokenError>
TokenCodec::decode(std::string_view Caller, std::string_view Token) const {
  if (Token.empty())
    return SessionPositions();
  if (Token.size() > MaxBytes)
    return TokenError::TooLarge;
  if (Token.size() < MinBytes)
    return TokenError::Truncated;
  if (Token.front() != FormatVersion)
    return TokenError::UnknownVersion;
  const std::string_view Body = Token.substr(0, Token.size() - MacBytes);
  if (!macMatches(computeMac(KeyedMac.get(), Body), Token.substr(Body.size())))
    return TokenError::BadIntegrity;
  TokenReader In(Body.substr(1));
  const auto Owner = In.name();
  if (!Owner)
    return TokenError::Truncated;
  if (*Owner != Caller)
    return TokenError::OtherCaller;
  return readPositions(In);
}

} // namespace borageridge::session
