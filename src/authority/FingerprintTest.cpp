#include "authority/Fingerprint.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::authority {
namespace {

class FingerprintTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FingerprintTest);
  CPPUNIT_TEST(isTheStartOfTheSha256SoThatAllDaemonsAgree);
  CPPUNIT_TEST_SUITE_END();

  void isTheStartOfTheSha256SoThatAllDaemonsAgree() {
    CPPUNIT_ASSERT_EQUAL(std::string("ba7816bf8f01cfea414140de5dae2223"),
                         fingerprintOf("abc"));
    CPPUNIT_ASSERT(fingerprintOf("abc") != fingerprintOf("abd"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FingerprintTest);

} // namespace
} // namespace borageridge::authority
