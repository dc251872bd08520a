#include "common/BoundedJson.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <string>
#include <vector>

namespace borageridge {
namespace {

class BoundedJsonTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BoundedJsonTest);
  CPPUNIT_TEST(decodesUpToTheGivenDepth);
  CPPUNIT_TEST(malformedTextIsNotDecoded);
  CPPUNIT_TEST(deepNestingIsNotDecoded);
  CPPUNIT_TEST(integersOutsideTheBoundsAreNotReturned);
  CPPUNIT_TEST_SUITE_END();

  void decodesUpToTheGivenDepth() {
    CPPUNIT_ASSERT(parseJson(R"({"a":[1,{"b":2}],"c":[[3]]})", 3).has_value());
    CPPUNIT_ASSERT(!parseJson(R"({"a":[1,{"b":2}]})", 2).has_value());
    CPPUNIT_ASSERT_EQUAL(7, parseJson("7", 0)->get<int>());
  }

  void malformedTextIsNotDecoded() {
    for (const char *Text : {"", "{", "[1,]", "\xff", "1e999", "{} {}"})
      CPPUNIT_ASSERT_MESSAGE(Text, !parseJson(Text, 8).has_value());
  }

  // Guards against an overflow of the stack and memory in proportion to depth.
  void deepNestingIsNotDecoded() {
    constexpr std::size_t Depth = 1000000;
    CPPUNIT_ASSERT(!parseJson(std::string(Depth, '['), 8).has_value());
    const std::vector<std::uint8_t> Bytes(Depth, 0x91);
    CPPUNIT_ASSERT(!parseMessagePack(Bytes, 8).has_value());
  }

  void integersOutsideTheBoundsAreNotReturned() {
    const nlohmann::json Object = {
        {"a", 5},
        {"negative", -1},
        {"text", "5"},
        {"fraction", 5.0},
        {"large", std::numeric_limits<std::uint64_t>::max()}};
    constexpr auto Max = std::numeric_limits<std::int64_t>::max();
    CPPUNIT_ASSERT(integerIn(Object, "a", 5, 5) == 5);
    CPPUNIT_ASSERT(integerIn(Object, "negative", -1, 0) == -1);
    CPPUNIT_ASSERT(!integerIn(Object, "a", 6, Max));
    CPPUNIT_ASSERT(!integerIn(Object, "a", 0, 4));
    for (const char *Key : {"negative", "text", "fraction", "large", "none"})
      CPPUNIT_ASSERT_MESSAGE(Key, !integerIn(Object, Key, 0, Max));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BoundedJsonTest);

} // namespace
} // namespace borageridge
