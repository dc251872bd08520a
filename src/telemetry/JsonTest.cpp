#include "telemetry/Json.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <limits>

namespace borageridge::telemetry {
namespace {

using namespace std::string_literals;
using namespace std::string_view_literals;

template <typename T> std::string json(T Value) {
  std::string Out;
  appendJson(Out, Value);
  return Out;
}

class JsonTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JsonTest);
  CPPUNIT_TEST(escapesQuotesBackslashesAndControls);
  CPPUNIT_TEST(keepsValidCharactersOfEveryLength);
  CPPUNIT_TEST(replacesInvalidBytes);
  CPPUNIT_TEST(printsNumbersAndBooleans);
  CPPUNIT_TEST_SUITE_END();

  // Guards against log lines that a caller's text can split or forge.
  void escapesQuotesBackslashesAndControls() {
    CPPUNIT_ASSERT_EQUAL(R"("a\"b\\c\u000ad\u0000e\u007f")"s,
                         json("a\"b\\c\nd\0e\x7f"sv));
  }

  void keepsValidCharactersOfEveryLength() {
    const std::string_view Text = "a\u0161\u20ac\U0001f33f";
    CPPUNIT_ASSERT_EQUAL("\"" + std::string(Text) + "\"", json(Text));
  }

  void replacesInvalidBytes() {
    for (const auto Text :
         {"\x80"sv, "\xff"sv, "\xc3"sv, "\xc0\xaf"sv, "\xe0\x80\x80"sv,
          "\xed\xa0\x80"sv, "\xf0\x80\x80\x80"sv, "\xf4\x90\x80\x80"sv,
          "\xf0\x9f\x8c"sv}) {
      std::string Wanted = "\"";
      for (std::size_t I = 0; I < Text.size(); ++I)
        Wanted.append("\\ufffd");
      CPPUNIT_ASSERT_EQUAL(Wanted + "\"", json(Text));
    }
  }

  void printsNumbersAndBooleans() {
    CPPUNIT_ASSERT_EQUAL("18446744073709551615"s,
                         json(std::numeric_limits<std::uint64_t>::max()));
    CPPUNIT_ASSERT_EQUAL("-5"s, json(-5));
    CPPUNIT_ASSERT_EQUAL("true"s, json(true));
    CPPUNIT_ASSERT_EQUAL("0.25"s, json(0.25));
    CPPUNIT_ASSERT_EQUAL("null"s,
                         json(std::numeric_limits<double>::infinity()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonTest);

} // namespace
} // namespace borageridge::telemetry
