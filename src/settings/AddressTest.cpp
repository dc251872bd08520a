#include "settings/Address.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace borageridge::settings {
namespace {

using namespace std::string_view_literals;

class AddressTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AddressTest);
  CPPUNIT_TEST(acceptsIpNumbersWithPort);
  CPPUNIT_TEST(refusesEverythingElse);
  CPPUNIT_TEST(recognisesTheUnspecifiedAddress);
  CPPUNIT_TEST_SUITE_END();

  void acceptsIpNumbersWithPort() {
    for (const auto Text : {"127.0.0.1:1"sv, "10.1.2.3:65535"sv, "[::1]:7001"sv,
                            "[2001:db8::7]:80"sv})
      CPPUNIT_ASSERT_MESSAGE(std::string(Text), isAddress(Text));
  }

  void refusesEverythingElse() {
    for (const auto Text : {""sv,
                            ":"sv,
                            "127.0.0.1"sv,
                            "127.0.0.1:"sv,
                            ":7001"sv,
                            "localhost:7001"sv,
                            "127.0.0.1:0"sv,
                            "127.0.0.1:65536"sv,
                            "127.0.0.1:07001"sv,
                            "127.0.0.1:+1"sv,
                            "127.0.0.1:70 "sv,
                            " 127.0.0.1:70"sv,
                            "256.0.0.1:70"sv,
                            "127.0.1:70"sv,
                            "::1:70"sv,
                            "[::1]70"sv,
                            "[::1:70"sv,
                            "[127.0.0.1]:70"sv,
                            "[]:70"sv,
                            "[:70"sv,
                            "127.0.0.1\0x:70"sv,
                            "127.0.0.1:7\0"sv})
      CPPUNIT_ASSERT_MESSAGE(std::string(Text), !isAddress(Text));
  }

  void recognisesTheUnspecifiedAddress() {
    CPPUNIT_ASSERT(isUnspecified("0.0.0.0:7001"));
    CPPUNIT_ASSERT(isUnspecified("[::]:7001"));
    CPPUNIT_ASSERT(!isUnspecified("127.0.0.1:7001"));
    CPPUNIT_ASSERT(!isUnspecified("[::1]:7001"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AddressTest);

} // namespace
} // namespace borageridge::settings
