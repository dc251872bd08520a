#include "settings/Settings.h"

#include "settings/Fields.h"
#include "settings/TestSettings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <set>
#include <sstream>

namespace borageridge::settings {
namespace {

// Only what has no default.
constexpr std::string_view Minimal = R"([instance]
name = "proxy-1"
availability_zone = "az-1"
caller_address = "0.0.0.0:7001"
peer_address = "127.0.0.1:7101"
admin_address = "127.0.0.1:7201"
metrics_address = "127.0.0.1:7301"
[store]
addresses = ["127.0.0.1:7500"]
[instance_list]
address = "127.0.0.1:7600"
[security]
transport = "plaintext"
token_key_file = "token.key"
callers_file = "/etc/borageridge/callers.toml"
)";

std::string readSource(const std::string &Name) {
  std::ifstream In(std::string(BORAGERIDGE_SOURCE_DIRECTORY) + "/" + Name);
  CPPUNIT_ASSERT_MESSAGE(Name, In.good());
  std::ostringstream Out;
  Out << In.rdbuf();
  return Out.str();
}

std::string referenceRow(const Field &F) {
  const std::string Default = F.Required ? "required" : F.defaultText();
  return "| `" + F.fullKey() + "` | " + std::string(name(F.Type)) + " | " +
         (Default.empty() ? "none" : Default) + " | " + F.range() + " |";
}

std::set<std::string> referenceRows(const std::string &Page) {
  std::istringstream In(Page);
  std::set<std::string> Rows;
  std::string Line;
  while (std::getline(In, Line))
    if (Line.starts_with("| `"))
      Rows.insert(Line);
  return Rows;
}

// The second TOML block of section 4a holds the settings.
std::string settingsOfDesignPage() {
  const std::string Page = readSource("docs/design.md");
  const std::size_t Begin = Page.find("[instance]\n");
  const std::size_t End = Page.find("```", Begin);
  CPPUNIT_ASSERT(Begin != std::string::npos && End != std::string::npos);
  return Page.substr(Begin, End - Begin);
}

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(readsEveryKey);
  CPPUNIT_TEST(keepsDefaultsForMissingKeys);
  CPPUNIT_TEST(defaultsAreThoseOfTheDesignPage);
  CPPUNIT_TEST(readsTlsFilesRelativeToTheSettings);
  CPPUNIT_TEST(acceptsTheLimitsOfEachRange);
  CPPUNIT_TEST(referencePageListsEveryKeyAsInTheCode);
  CPPUNIT_TEST(loadsFilesAndReportsMissingOnes);
  CPPUNIT_TEST(tokenKeyNeedsThirtyTwoBytes);
  CPPUNIT_TEST_SUITE_END();

  void readsEveryKey() {
    std::string Text(CompleteSettings);
    Text.replace(Text.find("\"info\""), 6, "\"debug\"");
    Text.replace(Text.find("\"two_level\""), 11, "\"one_level\"");
    Text.replace(Text.find("= 500"), 5, "= 501");
    const ProxySettings Settings = parse(Text, "proxy.toml").value();
    CPPUNIT_ASSERT_EQUAL(std::string("proxy-1"), Settings.Instance.Name);
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:7301"),
                         Settings.Instance.MetricsAddress);
    CPPUNIT_ASSERT(Settings.Store.CallTimeout == Milliseconds(501));
    CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1:7102"),
                         Settings.Peers.Seeds.at(0));
    CPPUNIT_ASSERT(Settings.Security.Mode == Transport::Plaintext);
    CPPUNIT_ASSERT(Settings.Log.Level == LogLevel::Debug);
    CPPUNIT_ASSERT(Settings.Failover.Policy == SuspicionPolicy::OneLevel);
  }

  void keepsDefaultsForMissingKeys() {
    const ProxySettings Settings = parse(Minimal, "proxy.toml").value();
    CPPUNIT_ASSERT_EQUAL(std::string("/borageridge/"), Settings.Store.Prefix);
    CPPUNIT_ASSERT(Settings.Peers.Seeds.empty());
    CPPUNIT_ASSERT_EQUAL(4096U, Settings.Limits.MaxQueuedRequests);
    CPPUNIT_ASSERT(Settings.Failover.SilentConfirmation == Milliseconds(1200));
    CPPUNIT_ASSERT(Settings.Log.Level == LogLevel::Info);
  }

  // Compares each value of the page with the default of its key.
  void defaultsAreThoseOfTheDesignPage() {
    const auto Settings = parse(settingsOfDesignPage(), "design.md");
    CPPUNIT_ASSERT(Settings.has_value());
    const ProxySettings Default;
    for (const Field &F : fields())
      if (!F.Required && F.Key != "seeds")
        CPPUNIT_ASSERT_MESSAGE(F.fullKey(),
                               F.Read(Settings.value()) == F.Read(Default));
  }

  void readsTlsFilesRelativeToTheSettings() {
    std::string Text(Minimal);
    Text.replace(Text.find("\"plaintext\""), 11,
                 "\"tls\"\ncertificate_file = \"c.pem\"\nkey_file = \"k.pem\""
                 "\nauthority_file = \"/a.pem\"");
    const SecuritySettings Security =
        parse(Text, "/etc/borageridge/proxy.toml").value().Security;
    CPPUNIT_ASSERT(Security.Mode == Transport::Tls);
    CPPUNIT_ASSERT_EQUAL(std::string("/etc/borageridge/c.pem"),
                         Security.CertificateFile.string());
    CPPUNIT_ASSERT_EQUAL(std::string("/a.pem"),
                         Security.AuthorityFile.string());
    CPPUNIT_ASSERT_EQUAL(std::string("/etc/borageridge/token.key"),
                         Security.TokenKeyFile.string());
  }

  // Guards against limits that are off by one.
  void acceptsTheLimitsOfEachRange() {
    for (const Field &F : fields()) {
      if (F.Max == 0)
        continue;
      assertOnlyRangeMatters(F, F.Min - 1, false);
      assertOnlyRangeMatters(F, F.Min, true);
      assertOnlyRangeMatters(F, F.Max, true);
      assertOnlyRangeMatters(F, F.Max + 1, false);
    }
  }

  static void assertOnlyRangeMatters(const Field &F, std::int64_t Value,
                                     bool Allowed) {
    const std::string Key(F.Key);
    std::string Text(CompleteSettings);
    const std::size_t Begin = Text.find("\n" + Key + " = ") + 1;
    Text.replace(Begin, Text.find('\n', Begin) - Begin,
                 Key + " = " + std::to_string(Value));
    const auto Parsed = parse(Text, "proxy.toml");
    const bool Refused =
        !Parsed.has_value() &&
        Parsed.error().Why == SettingsError::Reason::OutOfRange;
    CPPUNIT_ASSERT_EQUAL_MESSAGE(F.fullKey() + " " + std::to_string(Value),
                                 Allowed, !Refused);
  }

  void referencePageListsEveryKeyAsInTheCode() {
    std::set<std::string> Wanted;
    for (const Field &F : fields())
      Wanted.insert(referenceRow(F));
    const auto Found = referenceRows(readSource("docs/settings.md"));
    for (const std::string &Row : Wanted)
      CPPUNIT_ASSERT_MESSAGE("missing: " + Row, Found.contains(Row));
    CPPUNIT_ASSERT_EQUAL(Wanted.size(), Found.size());
  }

  void loadsFilesAndReportsMissingOnes() {
    const std::string Path = "settings_test_proxy.toml";
    std::ofstream(Path) << Minimal;
    CPPUNIT_ASSERT(load(Path).has_value());
    std::filesystem::remove(Path);
    const auto Missing = load(Path);
    CPPUNIT_ASSERT_EQUAL(name(SettingsError::Reason::Unreadable),
                         name(Missing.error().Why));
    CPPUNIT_ASSERT_EQUAL(Path, Missing.error().File);
    const auto Directory = load(".");
    CPPUNIT_ASSERT_EQUAL(name(SettingsError::Reason::Unreadable),
                         name(Directory.error().Why));
  }

  void tokenKeyNeedsThirtyTwoBytes() {
    const std::string Path = "settings_test_token.key";
    std::ofstream(Path) << std::string(31, 'k');
    CPPUNIT_ASSERT_EQUAL(name(SettingsError::Reason::OutOfRange),
                         name(loadTokenKey(Path).error().Why));
    std::ofstream(Path) << std::string(32, 'k');
    CPPUNIT_ASSERT_EQUAL(std::string(32, 'k'), loadTokenKey(Path).value());
    std::filesystem::remove(Path);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

} // namespace
} // namespace borageridge::settings
