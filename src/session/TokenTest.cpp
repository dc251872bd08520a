#include "session/Token.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <atomic>
#include <thread>

namespace borageridge::session {
namespace {

const std::string Key(32, 'k');

SessionPositions positions(const std::map<std::string, std::uint64_t> &Terms) {
  SessionPositions Result;
  for (const auto &[Database, EntryTerm] : Terms)
    if (Result.fits(Database))
      Result.advance(Database, {EntryTerm, ~EntryTerm});
  return Result;
}

class TokenTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TokenTest);
  CPPUNIT_TEST(tokenRoundTrip);
  CPPUNIT_TEST(rejectsEveryModifiedByte);
  CPPUNIT_TEST(rejectsEveryTruncationAndExtension);
  CPPUNIT_TEST(rejectsTheTokenOfAnotherCaller);
  CPPUNIT_TEST(rejectsATokenWithAnotherKey);
  CPPUNIT_TEST(rejectsRandomBytes);
  CPPUNIT_TEST(rejectsAnUnknownVersion);
  CPPUNIT_TEST(rejectsOversizedTokens);
  CPPUNIT_TEST(rejectsTooManyDatabases);
  CPPUNIT_TEST(largestSessionFitsIntoAToken);
  CPPUNIT_TEST(emptyTokenIsANewSession);
  CPPUNIT_TEST(advanceKeepsTheLaterPosition);
  CPPUNIT_TEST(codecIsThreadSafe);
  CPPUNIT_TEST_SUITE_END();

  const TokenCodec Codec{Key};

  void tokenRoundTrip() {
    CPPUNIT_ASSERT(
        rc::check([this](const std::string &Caller,
                         const std::map<std::string, std::uint64_t> &Terms) {
          const SessionPositions Wanted = positions(Terms);
          const auto Decoded =
              Codec.decode(Caller, Codec.encode(Caller, Wanted));
          RC_ASSERT(Decoded.has_value());
          RC_ASSERT(Decoded.value().ByDatabase == Wanted.ByDatabase);
        }));
  }

  // Guards against a field that the MAC does not cover.
  void rejectsEveryModifiedByte() {
    CPPUNIT_ASSERT(
        rc::check([this](const std::map<std::string, std::uint64_t> &Terms) {
          const std::string Token = Codec.encode("counter", positions(Terms));
          for (std::size_t I = 0; I < Token.size(); ++I) {
            std::string Changed = Token;
            Changed[I] =
                static_cast<char>(Changed[I] ^ *rc::gen::inRange<int>(1, 256));
            RC_ASSERT(!Codec.decode("counter", Changed).has_value());
          }
        }));
  }

  // Starts at size 1: an empty token is valid and stands for a new session.
  void rejectsEveryTruncationAndExtension() {
    CPPUNIT_ASSERT(
        rc::check([this](const std::map<std::string, std::uint64_t> &Terms,
                         const std::string &More) {
          RC_PRE(!More.empty());
          const std::string Token = Codec.encode("counter", positions(Terms));
          for (std::size_t Size = 1; Size < Token.size(); ++Size)
            RC_ASSERT(
                !Codec.decode("counter", Token.substr(0, Size)).has_value());
          RC_ASSERT(!Codec.decode("counter", Token + More).has_value());
          RC_ASSERT(!Codec.decode("counter", More + Token).has_value());
        }));
  }

  void rejectsTheTokenOfAnotherCaller() {
    CPPUNIT_ASSERT(
        rc::check([this](const std::string &Caller, const std::string &Other) {
          RC_PRE(Caller != Other);
          const auto Decoded =
              Codec.decode(Other, Codec.encode(Caller, positions({{"d", 1}})));
          RC_ASSERT(!Decoded.has_value());
          RC_ASSERT(Decoded.error() == TokenError::OtherCaller);
        }));
  }

  void rejectsATokenWithAnotherKey() {
    const TokenCodec Foreign(std::string(32, 'f'));
    assertRejected(TokenError::BadIntegrity, "counter",
                   Foreign.encode("counter", positions({{"d", 1}})));
  }

  void rejectsRandomBytes() {
    CPPUNIT_ASSERT(rc::check([this](const std::string &Bytes) {
      RC_PRE(!Bytes.empty());
      RC_ASSERT(!Codec.decode("counter", Bytes).has_value());
      RC_ASSERT(!Codec.decode("counter", '\1' + Bytes).has_value());
    }));
  }

  void rejectsAnUnknownVersion() {
    std::string Token = Codec.encode("counter", positions({{"d", 1}}));
    Token.front() = 2;
    assertRejected(TokenError::UnknownVersion, "counter", Token);
  }

  void rejectsOversizedTokens() {
    assertRejected(TokenError::TooLarge, "counter",
                   std::string(TokenCodec::MaxBytes + 1, '\1'));
  }

  void rejectsTooManyDatabases() {
    const SessionPositions Positions = full("d", 1);
    CPPUNIT_ASSERT(!Positions.fits("one more"));
    SessionPositions Beyond = Positions;
    Beyond.advance("one more", {1, 1});
    assertRejected(TokenError::TooManyDatabases, "counter",
                   Codec.encode("counter", Beyond));
  }

  void largestSessionFitsIntoAToken() {
    const SessionPositions Positions = full("", SessionPositions::MaxNameBytes);
    const std::string Caller(200, 'c');
    const std::string Token = Codec.encode(Caller, Positions);
    CPPUNIT_ASSERT(Token.size() <= TokenCodec::MaxBytes);
    CPPUNIT_ASSERT(Codec.decode(Caller, Token).has_value());
    CPPUNIT_ASSERT(
        !Positions.fits(std::string(SessionPositions::MaxNameBytes + 1, 'd')));
  }

  void emptyTokenIsANewSession() {
    const auto Decoded = Codec.decode("counter", "");
    CPPUNIT_ASSERT(Decoded.has_value());
    CPPUNIT_ASSERT(Decoded.value().ByDatabase.empty());
  }

  void advanceKeepsTheLaterPosition() {
    SessionPositions Positions;
    Positions.advance("d", {2, 5});
    Positions.advance("d", {1, 9});
    CPPUNIT_ASSERT_EQUAL(Position({2, 5}), Positions.at("d"));
    Positions.advance("d", {2, 6});
    CPPUNIT_ASSERT_EQUAL(Position({2, 6}), Positions.at("d"));
    CPPUNIT_ASSERT_EQUAL(Position({0, 0}), Positions.at("unused"));
  }

  // Guards against MAC state shared between threads.
  void codecIsThreadSafe() {
    std::atomic<int> Good = 0;
    {
      std::vector<std::jthread> Threads;
      Threads.reserve(4);
      for (int I = 0; I < 4; ++I)
        Threads.emplace_back([this, I, &Good] {
          const std::string Caller = "caller" + std::to_string(I);
          for (int Round = 0; Round < 500; ++Round)
            Good += Codec.decode(Caller, Codec.encode(Caller, full("d", 1)))
                        .has_value();
        });
    }
    CPPUNIT_ASSERT_EQUAL(4 * 500, Good.load());
  }

  static SessionPositions full(std::string_view Prefix, std::size_t NameBytes) {
    SessionPositions Result;
    for (std::size_t I = 0; I < SessionPositions::MaxDatabases; ++I) {
      std::string Name = std::string(Prefix) + std::to_string(I);
      Name.resize(std::max(Name.size(), NameBytes), 'd');
      Result.advance(Name, {I + 1, I});
    }
    return Result;
  }

  void assertRejected(TokenError Wanted, std::string_view Caller,
                      std::string_view Token) {
    const auto Decoded = Codec.decode(Caller, Token);
    CPPUNIT_ASSERT(!Decoded.has_value());
    CPPUNIT_ASSERT_EQUAL(name(Wanted), name(Decoded.error()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TokenTest);

} // namespace
} // namespace borageridge::session
