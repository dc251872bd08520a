#ifndef BORAGERIDGE_SESSION_TOKEN_H
#define BORAGERIDGE_SESSION_TOKEN_H

#include "borageridge/Failure.h"
#include "borageridge/Types.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>

struct evp_mac_ctx_st;

namespace borageridge::session {

/// Reason for rejecting a token. A rejected token is never treated as a new
/// session.
enum class TokenError {
  TooLarge,
  Truncated,
  UnknownVersion,
  BadIntegrity,
  OtherCaller,
  TooManyDatabases
};

std::string_view name(TokenError Error);

/// Latest position that a session has written or read in each database.
class SessionPositions {
public:
  static constexpr std::size_t MaxDatabases = 64;
  /// Maximum length in bytes of a database name in a token.
  static constexpr std::size_t MaxNameBytes = 96;

  /// Returns position 0:0 if the session has not used the database.
  Position at(std::string_view Database) const;
  /// Sets the position of the database to the later of its current value and
  /// Reached.
  void advance(std::string_view Database, Position Reached);
  /// Whether a token has room for a position of the database. Check this before
  /// a request runs, because decode() rejects a token that exceeds the limits.
  bool fits(std::string_view Database) const;

  std::map<std::string, Position, std::less<>> ByDatabase;
};

/// Encodes, authenticates and decodes session tokens with one key. Thread-safe;
/// copies share the key.
class TokenCodec {
public:
  /// Maximum size of a token. Has room for MaxDatabases names of MaxNameBytes
  /// and a caller name of 200 bytes.
  static constexpr std::size_t MaxBytes = 8192;

  /// SecretKey must have at least 32 bytes and be the same on every proxy.
  explicit TokenCodec(std::string_view SecretKey);

  /// Binds the token to the caller; decode() rejects it for any other caller.
  std::string encode(std::string_view Caller,
                     const SessionPositions &Positions) const;
  /// Decodes an empty token as a new session.
  Expected<SessionPositions, TokenError> decode(std::string_view Caller,
                                                std::string_view Token) const;

private:
  /// HMAC-SHA256 context with the key set. Duplicated for each use and never
  /// modified.
  std::shared_ptr<evp_mac_ctx_st> KeyedMac;
};

} // namespace borageridge::session

#endif // BORAGERIDGE_SESSION_TOKEN_H
