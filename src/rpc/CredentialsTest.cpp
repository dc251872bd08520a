#include "rpc/Credentials.h"
#include "rpc/TestCertificates.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>

namespace borageridge::rpc {
namespace {

class CredentialsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CredentialsTest);
  CPPUNIT_TEST(loadsMatchingFiles);
  CPPUNIT_TEST(plaintextNeedsNoFiles);
  CPPUNIT_TEST(missingFilesAreTypedFailures);
  CPPUNIT_TEST(filesThatAreNotPemAreTypedFailures);
  CPPUNIT_TEST(keyOfAnotherCertificateIsATypedFailure);
  CPPUNIT_TEST_SUITE_END();

  const TestAuthority Authority;
  settings::SecuritySettings Security = Authority.issue("proxy-1");

  void loadsMatchingFiles() {
    const auto Loaded = Credentials::load(Security);
    CPPUNIT_ASSERT(Loaded.has_value());
    CPPUNIT_ASSERT(Loaded.value().transport() == settings::Transport::Tls);
  }

  void plaintextNeedsNoFiles() {
    settings::SecuritySettings Plain;
    Plain.Mode = settings::Transport::Plaintext;
    CPPUNIT_ASSERT(Credentials::load(Plain).has_value());
  }

  void missingFilesAreTypedFailures() {
    for (auto Member : {&settings::SecuritySettings::CertificateFile,
                        &settings::SecuritySettings::KeyFile,
                        &settings::SecuritySettings::AuthorityFile}) {
      settings::SecuritySettings Broken = Security;
      Broken.*Member = Authority.directory() / "missing";
      assertFails(FailureKind::Unavailable, Broken, Broken.*Member);
    }
  }

  void filesThatAreNotPemAreTypedFailures() {
    const std::filesystem::path Text = Authority.directory() / "text";
    std::ofstream(Text) << "not a certificate\n";
    for (auto Member : {&settings::SecuritySettings::CertificateFile,
                        &settings::SecuritySettings::KeyFile,
                        &settings::SecuritySettings::AuthorityFile}) {
      settings::SecuritySettings Broken = Security;
      Broken.*Member = Text;
      assertFails(FailureKind::InvalidArgument, Broken, Text);
    }
  }

  void keyOfAnotherCertificateIsATypedFailure() {
    Security.KeyFile = Authority.issue("proxy-2").KeyFile;
    assertFails(FailureKind::InvalidArgument, Security, Security.KeyFile);
  }

  static void assertFails(FailureKind Wanted,
                          const settings::SecuritySettings &Broken,
                          const std::filesystem::path &File) {
    const auto Loaded = Credentials::load(Broken);
    CPPUNIT_ASSERT(!Loaded.has_value());
    CPPUNIT_ASSERT_EQUAL(name(Wanted), name(Loaded.error().Kind));
    CPPUNIT_ASSERT_MESSAGE(Loaded.error().Detail,
                           Loaded.error().Detail.starts_with(File.string()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CredentialsTest);

} // namespace
} // namespace borageridge::rpc
