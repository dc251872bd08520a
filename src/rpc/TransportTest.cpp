#include "rpc/Credentials.h"
#include "rpc/TestCertificates.h"
#include "rpc/TestServer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>

namespace borageridge::rpc {
namespace {

const std::string Secret = "0123456789abcdef";

constexpr std::string_view CallersText = R"([[caller]]
name = "counter"
secret = "0123456789abcdef"
[[caller]]
name = "dispatch"
certificate_name = "dispatch.example"
)";

settings::CallerDirectory callers() {
  return settings::CallerDirectory::parse(CallersText, "callers.toml").value();
}

Credentials loaded(const settings::SecuritySettings &Security) {
  return Credentials::load(Security).value();
}

settings::SecuritySettings plaintext() {
  settings::SecuritySettings Result;
  Result.Mode = settings::Transport::Plaintext;
  return Result;
}

class TransportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TransportTest);
  CPPUNIT_TEST(callerWithSecretIsServedOverTls);
  CPPUNIT_TEST(callerWithCertificateIsServedWithoutSecret);
  CPPUNIT_TEST(wrongOrMissingSecretIsUnauthenticated);
  CPPUNIT_TEST(certificateOfAnotherAuthorityIsRefused);
  CPPUNIT_TEST(serverOfAnotherAuthorityIsRefused);
  CPPUNIT_TEST(plaintextAndTlsDoNotMix);
  CPPUNIT_TEST(peersNeedACertificateThatIsNoCallers);
  CPPUNIT_TEST(plaintextServesCallersWithSecret);
  CPPUNIT_TEST_SUITE_END();

  const TestAuthority Authority;
  const TestAuthority Foreign;
  const Credentials Own = loaded(Authority.issue("proxy-1"));
  const settings::LimitSettings Limits{};
  const Authenticator Callers{callers(), settings::Transport::Tls};
  TestServer Server{Own.forCallers(), Limits,
                    [this](const grpc::ServerContextBase &Context) {
                      return Callers.caller(Context);
                    }};
  TestServer PeerServer{
      Own.forInstances(), Limits,
      [this](const grpc::ServerContextBase &C) -> Expected<std::string> {
        const auto Allowed = Callers.instance(C);
        if (!Allowed.has_value())
          return Allowed.error();
        return std::string("instance");
      }};

  std::shared_ptr<grpc::Channel>
  channel(const TestServer &To,
          const std::shared_ptr<grpc::ChannelCredentials> &With) const {
    return grpc::CreateCustomChannel(To.address(), With,
                                     channelArguments(Limits));
  }

  // Trusts the authority, but has no certificate.
  std::shared_ptr<grpc::ChannelCredentials> anonymous() const {
    grpc::SslCredentialsOptions Options;
    std::ifstream In(Authority.directory() / "authority.pem");
    Options.pem_root_certs.assign(std::istreambuf_iterator<char>(In), {});
    return grpc::SslCredentials(Options);
  }

  void callerWithSecretIsServedOverTls() {
    const TestCall Call(channel(Server, anonymous()), "counter", Secret);
    assertCode(grpc::StatusCode::OK, Call);
    CPPUNIT_ASSERT_EQUAL(std::string("counter"), Call.Identity);
  }

  void callerWithCertificateIsServedWithoutSecret() {
    const Credentials Dispatch = loaded(Authority.issue("dispatch.example"));
    const TestCall Call(channel(Server, Dispatch.forChannels()), "", "");
    assertCode(grpc::StatusCode::OK, Call);
    CPPUNIT_ASSERT_EQUAL(std::string("dispatch"), Call.Identity);
  }

  void wrongOrMissingSecretIsUnauthenticated() {
    const auto Channel = channel(Server, anonymous());
    const TestCall Wrong(Channel, "counter", "0123456789abcdeg");
    assertCode(grpc::StatusCode::UNAUTHENTICATED, Wrong);
    CPPUNIT_ASSERT_EQUAL(std::string("wrong_secret"),
                         Wrong.Status.error_message());
    const TestCall Missing(Channel, "", "");
    assertCode(grpc::StatusCode::UNAUTHENTICATED, Missing);
    CPPUNIT_ASSERT_EQUAL(std::string("no_credentials"),
                         Missing.Status.error_message());
  }

  void certificateOfAnotherAuthorityIsRefused() {
    settings::SecuritySettings Mixed = Foreign.issue("dispatch.example");
    Mixed.AuthorityFile = Authority.directory() / "authority.pem";
    const auto Forged = loaded(Mixed).forChannels();
    assertCode(grpc::StatusCode::UNAVAILABLE,
               TestCall(channel(Server, Forged), "", ""));
    assertCode(grpc::StatusCode::UNAVAILABLE,
               TestCall(channel(PeerServer, Forged), "", ""));
  }

  void serverOfAnotherAuthorityIsRefused() {
    const Credentials Other = loaded(Foreign.issue("proxy-2"));
    const TestCall Call(channel(Server, Other.forChannels()), "counter",
                        Secret);
    assertCode(grpc::StatusCode::UNAVAILABLE, Call);
  }

  // Guards against a secret that leaves over plaintext by a downgrade.
  void plaintextAndTlsDoNotMix() {
    const TestCall Plain(channel(Server, grpc::InsecureChannelCredentials()),
                         "counter", Secret);
    assertCode(grpc::StatusCode::UNAVAILABLE, Plain);
    TestServer PlainServer(
        loaded(plaintext()).forCallers(), Limits,
        [](const auto &) { return Expected<std::string>(std::string()); });
    const TestCall Tls(channel(PlainServer, anonymous()), "counter", Secret);
    assertCode(grpc::StatusCode::UNAVAILABLE, Tls);
  }

  void peersNeedACertificateThatIsNoCallers() {
    const Credentials Peer = loaded(Authority.issue("proxy-2"));
    assertCode(grpc::StatusCode::OK,
               TestCall(channel(PeerServer, Peer.forChannels()), "", ""));
    assertCode(grpc::StatusCode::UNAVAILABLE,
               TestCall(channel(PeerServer, anonymous()), "counter", Secret));
    const Credentials Dispatch = loaded(Authority.issue("dispatch.example"));
    const TestCall Call(channel(PeerServer, Dispatch.forChannels()), "", "");
    assertCode(grpc::StatusCode::UNAUTHENTICATED, Call);
    CPPUNIT_ASSERT_EQUAL(std::string("caller_certificate"),
                         Call.Status.error_message());
  }

  void plaintextServesCallersWithSecret() {
    const Credentials Plain = loaded(plaintext());
    const Authenticator PlainCallers(callers(), Plain.transport());
    TestServer PlainServer(Plain.forCallers(), Limits,
                           [&PlainCallers](const grpc::ServerContextBase &C) {
                             return PlainCallers.caller(C);
                           });
    const auto Channel = channel(PlainServer, Plain.forChannels());
    const TestCall Good(Channel, "counter", Secret);
    assertCode(grpc::StatusCode::OK, Good);
    CPPUNIT_ASSERT_EQUAL(std::string("counter"), Good.Identity);
    assertCode(grpc::StatusCode::UNAUTHENTICATED,
               TestCall(Channel, "dispatch", "dispatch.example"));
  }

  static void assertCode(grpc::StatusCode Wanted, const TestCall &Call) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Call.Status.error_message(), int(Wanted),
                                 int(Call.Status.error_code()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TransportTest);

} // namespace
} // namespace borageridge::rpc
