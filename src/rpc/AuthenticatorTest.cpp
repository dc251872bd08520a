#include "rpc/Authenticator.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::rpc {
namespace {

constexpr std::string_view CallersText = R"([[caller]]
name = "counter"
secret = "0123456789abcdef"
[[caller]]
name = "dispatch"
certificate_name = "dispatch.example"
)";

class AuthenticatorTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AuthenticatorTest);
  CPPUNIT_TEST(acceptsTheSecretOfACaller);
  CPPUNIT_TEST(refusesWrongAndMissingSecrets);
  CPPUNIT_TEST(refusesRepeatedMetadata);
  CPPUNIT_TEST(acceptsAKnownCertificate);
  CPPUNIT_TEST(refusesAnUnknownCertificate);
  CPPUNIT_TEST(refusesCredentialsOfTwoCallers);
  CPPUNIT_TEST_SUITE_END();

  using Names = std::vector<std::string>;

  const Authenticator Subject{
      settings::CallerDirectory::parse(CallersText, "callers.toml").value(),
      settings::Transport::Tls};

  void acceptsTheSecretOfACaller() {
    const auto Caller = Subject.identify(
        metadata("counter", "Bearer 0123456789abcdef"), Names{});
    CPPUNIT_ASSERT(Caller.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("counter"), Caller.value());
  }

  void refusesWrongAndMissingSecrets() {
    using Error = AuthenticationError;
    assertRefused(Error::NoCredentials, {});
    assertRefused(Error::WrongSecret,
                  metadata("counter", "Bearer 0123456789abcdeg"));
    assertRefused(Error::WrongSecret,
                  metadata("unknown", "Bearer 0123456789abcdef"));
    assertRefused(Error::WrongSecret, metadata("dispatch", "Bearer "));
    assertRefused(Error::Malformed, metadata("counter", "0123456789abcdef"));
    assertRefused(Error::Malformed,
                  metadata("counter", "Basic 0123456789abcdef"));
    assertRefused(Error::Malformed, {{"x-borageridge-caller", "counter"}});
    assertRefused(Error::Malformed,
                  {{"authorization", "Bearer 0123456789abcdef"}});
  }

  // Guards against one check that reads the first and another the last value.
  void refusesRepeatedMetadata() {
    auto Given = metadata("counter", "Bearer 0123456789abcdef");
    Given.emplace("x-borageridge-caller", "dispatch");
    assertRefused(AuthenticationError::Malformed, Given);
  }

  void acceptsAKnownCertificate() {
    const auto Caller =
        Subject.identify({}, Names{"other", "dispatch.example"});
    CPPUNIT_ASSERT(Caller.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("dispatch"), Caller.value());
  }

  void refusesAnUnknownCertificate() {
    assertRefused(AuthenticationError::UnknownCertificate, {},
                  {"counter", "x.example"});
  }

  void refusesCredentialsOfTwoCallers() {
    assertRefused(AuthenticationError::Ambiguous,
                  metadata("counter", "Bearer 0123456789abcdef"),
                  {"dispatch.example"});
    const auto Intermediary =
        Subject.identify(metadata("counter", "Bearer 0123456789abcdef"),
                         Names{"gateway.example"});
    CPPUNIT_ASSERT(Intermediary.has_value());
  }

  static Authenticator::Metadata metadata(const char *Caller,
                                          const char *Authorization) {
    return {{"x-borageridge-caller", Caller}, {"authorization", Authorization}};
  }

  void assertRefused(AuthenticationError Wanted,
                     const Authenticator::Metadata &Given,
                     const Names &CertificateNames = {}) {
    const auto Caller = Subject.identify(Given, CertificateNames);
    CPPUNIT_ASSERT(!Caller.has_value());
    CPPUNIT_ASSERT_EQUAL(name(Wanted), name(Caller.error()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AuthenticatorTest);

} // namespace
} // namespace borageridge::rpc
