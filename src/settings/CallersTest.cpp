#include "settings/Callers.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::settings {
namespace {

using Reason = SettingsError::Reason;

constexpr std::string_view Good = R"([[caller]]
name = "counter"
secret = "0123456789abcdef"
[[caller]]
name = "dispatch"
certificate_name = "dispatch.atlas.example"
[[caller]]
name = "crew"
secret = "fedcba9876543210"
certificate_name = "crew.atlas.example"
)";

struct BadCase {
  std::string Text;
  Reason Why;
  std::uint32_t Line;
  std::string Key;
};

std::string row(std::string_view Rest) {
  return "[[caller]]\nname = \"a\"\n" + std::string(Rest) + "\n";
}

const std::string Secret = "secret = \"0123456789abcdef\"";
const std::string OtherRow = "[[caller]]\nname = \"b\"\n";

class CallersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CallersTest);
  CPPUNIT_TEST(acceptsOnlyTheCallersOwnSecret);
  CPPUNIT_TEST(findsCallersByCertificateName);
  CPPUNIT_TEST(refusesMalformedFiles);
  CPPUNIT_TEST(errorNamesTheFileAndNeverTheSecret);
  CPPUNIT_TEST(misplacedSecretIsNotPrinted);
  CPPUNIT_TEST(missingFileIsATypedError);
  CPPUNIT_TEST_SUITE_END();

  const CallerDirectory Callers =
      CallerDirectory::parse(Good, "callers.toml").value();

  void acceptsOnlyTheCallersOwnSecret() {
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Callers.size());
    CPPUNIT_ASSERT(Callers.hasSecret("counter", "0123456789abcdef"));
    CPPUNIT_ASSERT(!Callers.hasSecret("counter", "fedcba9876543210"));
    CPPUNIT_ASSERT(!Callers.hasSecret("counter", "0123456789abcde"));
    CPPUNIT_ASSERT(!Callers.hasSecret("counter", "0123456789abcdef0"));
    CPPUNIT_ASSERT(!Callers.hasSecret("counter", ""));
    CPPUNIT_ASSERT(!Callers.hasSecret("unknown", "0123456789abcdef"));
    CPPUNIT_ASSERT(!Callers.hasSecret("dispatch", ""));
    CPPUNIT_ASSERT(!Callers.hasSecret("", ""));
  }

  void findsCallersByCertificateName() {
    CPPUNIT_ASSERT(Callers.byCertificateName("crew.atlas.example") == "crew");
    CPPUNIT_ASSERT(!Callers.byCertificateName("crew"));
    CPPUNIT_ASSERT(!Callers.byCertificateName(""));
  }

  void refusesMalformedFiles() {
    for (const BadCase &Case : badCases()) {
      const auto Parsed = CallerDirectory::parse(Case.Text, "callers.toml");
      CPPUNIT_ASSERT_MESSAGE(Case.Text, !Parsed.has_value());
      const SettingsError &Error = Parsed.error();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Text, name(Case.Why), name(Error.Why));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Text, Case.Line, Error.Line);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Case.Text, Case.Key, Error.Key);
    }
  }

  static std::vector<BadCase> badCases() {
    return {
        {"", Reason::Missing, 0, "caller"},
        {"caller = 1", Reason::WrongType, 1, "caller"},
        {"caller = [1]", Reason::WrongType, 1, "caller"},
        {"callers = 1", Reason::UnknownKey, 1, "callers"},
        {"[[caller]", Reason::Syntax, 1, ""},
        {"[[caller]]\n" + Secret, Reason::Missing, 1, "caller.name"},
        {row(""), Reason::Missing, 1, "caller.secret"},
        {row("secret = 1"), Reason::WrongType, 3, "caller.secret"},
        {row("secret = \"short\""), Reason::OutOfRange, 3, "caller.secret"},
        {row("secret = \"0123456789 abcdef\""), Reason::OutOfRange, 3,
         "caller.secret"},
        {row("secret = \"" + std::string(257, 'x') + "\""), Reason::OutOfRange,
         3, "caller.secret"},
        {row("certificate_name = \"\""), Reason::OutOfRange, 3,
         "caller.certificate_name"},
        {row(Secret + "\nsecrets = 1"), Reason::UnknownKey, 4,
         "caller.secrets"},
        {row(Secret) + row("certificate_name = \"x\""), Reason::Duplicate, 5,
         "caller.name"},
        {row(Secret) + OtherRow + Secret, Reason::Duplicate, 6,
         "caller.secret"},
        {row("certificate_name = \"x\"") + OtherRow +
             "certificate_name = \"x\"",
         Reason::Duplicate, 6, "caller.certificate_name"},
        {"[[caller]]\nname = \"\"\n" + Secret, Reason::OutOfRange, 2,
         "caller.name"},
        {"[[caller]]\nname = \"" + std::string(65, 'n') + "\"\n" + Secret,
         Reason::OutOfRange, 2, "caller.name"},
    };
  }

  void errorNamesTheFileAndNeverTheSecret() {
    const auto Parsed =
        CallerDirectory::parse(row("secret = \"hidden\""), "callers.toml");
    std::ostringstream Out;
    Out << Parsed.error();
    CPPUNIT_ASSERT_EQUAL(
        std::string("callers.toml:3: caller.secret: out_of_range: allowed: 16 "
                    "to 256 printable characters without spaces"),
        Out.str());
  }

  // Guards against messages that quote a secret which stands in a wrong place.
  void misplacedSecretIsNotPrinted() {
    for (const std::string Rest :
         {"secret.0123456789abcdef = 1\nsecret.0123456789abcdef = 2",
          "0123456789abcdef = 1", "secret = 0123456789abcdef"}) {
      const auto Parsed = CallerDirectory::parse(row(Rest), "callers.toml");
      CPPUNIT_ASSERT(!Parsed.has_value());
      std::ostringstream Out;
      Out << Parsed.error();
      CPPUNIT_ASSERT_MESSAGE(Out.str(), Out.str().find("0123456789abcdef") ==
                                            std::string::npos);
    }
  }

  void missingFileIsATypedError() {
    const auto Loaded = CallerDirectory::load("does-not-exist.toml");
    CPPUNIT_ASSERT(!Loaded.has_value());
    CPPUNIT_ASSERT_EQUAL(name(Reason::Unreadable), name(Loaded.error().Why));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallersTest);

} // namespace
} // namespace borageridge::settings
