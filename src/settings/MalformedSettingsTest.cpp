#include "settings/Settings.h"
#include "settings/TestSettings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <span>
#include <sstream>

namespace borageridge::settings {
namespace {

using Reason = SettingsError::Reason;

// One line of the complete settings is replaced by a text.
struct BadLine {
  std::uint32_t Line;
  std::string_view Text;
  Reason Why;
  std::string_view Key;
  /// Line that the error names; 0 stands for the replaced line.
  std::uint32_t ErrorLine = 0;
};

std::string withLine(std::uint32_t Line, std::string_view Text) {
  std::istringstream In{std::string(CompleteSettings)};
  std::string Result;
  std::string Present;
  for (std::uint32_t Number = 1; std::getline(In, Present); ++Number)
    Result.append(Number == Line ? Text : Present).append("\n");
  return Result;
}

constexpr BadLine InstanceCases[] = {
    {1, "[instances]", Reason::UnknownKey, "instances"},
    {1, "instance = 1", Reason::UnknownKey, "admin_address", 6},
    {1, "[[instance]]", Reason::WrongType, "instance"},
    {2, "", Reason::Missing, "instance.name", 1},
    {2, "name = 7", Reason::WrongType, "instance.name"},
    {2, "name = true", Reason::WrongType, "instance.name"},
    {2, "name = [\"proxy-1\"]", Reason::WrongType, "instance.name"},
    {2, "name = \"\"", Reason::OutOfRange, "instance.name"},
    {2, "name = \"proxy 1\"", Reason::OutOfRange, "instance.name"},
    {2, "name = \"proxy/1\"", Reason::OutOfRange, "instance.name"},
    {2, "name = \"pr\u00f6xy\"", Reason::OutOfRange, "instance.name"},
    {2, "name = \"proxy-1", Reason::Syntax, ""},
    {2, "name = proxy-1", Reason::Syntax, ""},
    {2, "name =", Reason::Syntax, ""},
    {2, "names = \"proxy-1\"", Reason::UnknownKey, "instance.names"},
    {2, "Name = \"proxy-1\"", Reason::UnknownKey, "instance.Name"},
    {3, "", Reason::Missing, "instance.availability_zone", 1},
    {3, "availability_zone = 1", Reason::WrongType,
     "instance.availability_zone"},
    {3, "zone = \"az-1\"", Reason::UnknownKey, "instance.zone"},
    {3, "name = \"proxy-2\"", Reason::Syntax, ""},
    {4, "", Reason::Missing, "instance.caller_address", 1},
    {4, "caller_address = 7001", Reason::WrongType, "instance.caller_address"},
    {4, "caller_address = \"localhost:7001\"", Reason::BadAddress,
     "instance.caller_address"},
    {4, "caller_address = \"127.0.0.1\"", Reason::BadAddress,
     "instance.caller_address"},
    {4, "caller_address = \"127.0.0.1:0\"", Reason::BadAddress,
     "instance.caller_address"},
    {4, "caller_address = \"127.0.0.1:70010\"", Reason::BadAddress,
     "instance.caller_address"},
    {4, "caller_address = \"https://127.0.0.1:7001\"", Reason::BadAddress,
     "instance.caller_address"},
    {4, "caller_address = \"\"", Reason::BadAddress, "instance.caller_address"},
    {5, "peer_address = \"0.0.0.0:7101\"", Reason::BadAddress,
     "instance.peer_address"},
    {5, "peer_address = \"127.0.0.1:7001\"", Reason::Duplicate,
     "instance.peer_address"},
    {6, "admin_address = \"127.0.0.1:7101\"", Reason::Duplicate,
     "instance.admin_address"},
    {7, "metrics_address = \"127.0.0.1:7201\"", Reason::Duplicate,
     "instance.metrics_address"},
    {7, "metric_address = \"127.0.0.1:7301\"", Reason::UnknownKey,
     "instance.metric_address"},
};

constexpr BadLine PlatformCases[] = {
    {8, "[stores]", Reason::UnknownKey, "stores"},
    {9, "", Reason::Missing, "store.addresses", 8},
    {9, "addresses = []", Reason::OutOfRange, "store.addresses"},
    {9, "addresses = \"127.0.0.1:7500\"", Reason::WrongType, "store.addresses"},
    {9, "addresses = [7500]", Reason::WrongType, "store.addresses"},
    {9, "addresses = [\"store:7500\"]", Reason::BadAddress, "store.addresses"},
    {9, "addresses = [\"[::]:7500\"]", Reason::BadAddress, "store.addresses"},
    {9, "addresses = [\"127.0.0.1:7500\", \"127.0.0.1:7500\"]",
     Reason::Duplicate, "store.addresses"},
    {9, "addresses = [\"127.0.0.1:7500\"", Reason::Syntax, "", 10},
    {10, "prefix = \"borageridge/\"", Reason::OutOfRange, "store.prefix"},
    {10, "prefix = \"/borageridge\"", Reason::OutOfRange, "store.prefix"},
    {10, "prefix = \"/borage ridge/\"", Reason::OutOfRange, "store.prefix"},
    {10, "prefix = 1", Reason::WrongType, "store.prefix"},
    {11, "call_timeout_s = 1", Reason::UnknownKey, "store.call_timeout_s"},
    {11, "call_timeout = 500", Reason::UnknownKey, "store.call_timeout"},
    {11, "call_timeout_ms = \"500\"", Reason::WrongType,
     "store.call_timeout_ms"},
    {11, "call_timeout_ms = 500.0", Reason::WrongType, "store.call_timeout_ms"},
    {11, "call_timeout_ms = 0", Reason::OutOfRange, "store.call_timeout_ms"},
    {11, "call_timeout_ms = -1", Reason::OutOfRange, "store.call_timeout_ms"},
    {11, "call_timeout_ms = 60001", Reason::OutOfRange,
     "store.call_timeout_ms"},
    {11, "call_timeout_ms = 9223372036854775808", Reason::Syntax, ""},
    {11, "call_timeout_ms = 2026-01-01", Reason::WrongType,
     "store.call_timeout_ms"},
    {13, "", Reason::Missing, "instance_list.address", 12},
    {13, "address = [\"127.0.0.1:7600\"]", Reason::WrongType,
     "instance_list.address"},
    {13, "address = \"0.0.0.0:7600\"", Reason::BadAddress,
     "instance_list.address"},
    {14, "poll_interval_ms = 99", Reason::OutOfRange,
     "instance_list.poll_interval_ms"},
    {14, "poll_interval_ms = inf", Reason::WrongType,
     "instance_list.poll_interval_ms"},
    {14, "poll_seconds = 1", Reason::UnknownKey, "instance_list.poll_seconds"},
    {16, "seeds = {}", Reason::WrongType, "peers.seeds"},
    {16, "seeds = [\"peer\"]", Reason::BadAddress, "peers.seeds"},
    {16, "seeds = [\"127.0.0.1:1\", \"127.0.0.1:1\"]", Reason::Duplicate,
     "peers.seeds"},
    {17, "exchange_interval_ms = 1", Reason::OutOfRange,
     "peers.exchange_interval_ms"},
};

constexpr BadLine SecurityCases[] = {
    {18, "[securities]", Reason::UnknownKey, "securities"},
    {19, "", Reason::Missing, "security.transport", 18},
    {19, "transport = \"Plaintext\"", Reason::OutOfRange, "security.transport"},
    {19, "transport = \"none\"", Reason::OutOfRange, "security.transport"},
    {19, "transport = false", Reason::WrongType, "security.transport"},
    {19, "transport = \"tls\"", Reason::Missing, "security.certificate_file",
     18},
    {19, "transport = \"tls\"\ncertificate_file = \"c\"", Reason::Missing,
     "security.key_file", 18},
    {19, "transport = \"tls\"\ncertificate_file = \"c\"\nkey_file = \"k\"",
     Reason::Missing, "security.authority_file", 18},
    {19, "transport = \"plaintext\"\nkey_file = \"k\"", Reason::Inconsistent,
     "security.key_file", 20},
    {20, "", Reason::Missing, "security.token_key_file", 18},
    {20, "token_key_file = \"\"", Reason::OutOfRange,
     "security.token_key_file"},
    {20, "token_key_file = \"a\\u0000b\"", Reason::OutOfRange,
     "security.token_key_file"},
    {20, "token_key = \"0123\"", Reason::UnknownKey, "security.token_key"},
    {21, "", Reason::Missing, "security.callers_file", 18},
    {21, "callers_file = 1", Reason::WrongType, "security.callers_file"},
};

constexpr BadLine LimitCases[] = {
    {23, "max_message_bytes = 1023", Reason::OutOfRange,
     "limits.max_message_bytes"},
    {23, "max_message_bytes = 67108865", Reason::OutOfRange,
     "limits.max_message_bytes"},
    {23, "max_message_kib = 1024", Reason::UnknownKey,
     "limits.max_message_kib"},
    {24, "max_metadata_bytes = 65537", Reason::OutOfRange,
     "limits.max_metadata_bytes"},
    {25, "max_streams_per_connection = 0", Reason::OutOfRange,
     "limits.max_streams_per_connection"},
    {26, "max_queued_requests = -4096", Reason::OutOfRange,
     "limits.max_queued_requests"},
    {26, "max_queued_requests = 1e3", Reason::WrongType,
     "limits.max_queued_requests"},
    {27, "max_queued_bytes = 1048575", Reason::Inconsistent,
     "limits.max_queued_bytes"},
    {28, "drain_timeout_ms = 600001", Reason::OutOfRange,
     "limits.drain_timeout_ms"},
    {28, "drain_timeout_min = 1", Reason::UnknownKey,
     "limits.drain_timeout_min"},
    {30, "ping_interval_ms = 9", Reason::OutOfRange,
     "failover.ping_interval_ms"},
    {31, "quick_suspicion_ms = 199", Reason::Inconsistent,
     "failover.quick_suspicion_ms"},
    {32, "refused_confirmation_ms = -1", Reason::OutOfRange,
     "failover.refused_confirmation_ms"},
    {33, "silent_confirmation_ms = 299", Reason::Inconsistent,
     "failover.silent_confirmation_ms"},
    {34, "minimum_change_interval_ms = 999", Reason::OutOfRange,
     "failover.minimum_change_interval_ms"},
    {35, "policy = \"three_level\"", Reason::OutOfRange, "failover.policy"},
    {35, "policy = 2", Reason::WrongType, "failover.policy"},
    {36, "[log.level]", Reason::WrongType, "log.level"},
    {37, "level = \"verbose\"", Reason::OutOfRange, "log.level"},
    {37, "level = \"info\"\n[log]", Reason::Syntax, "", 38},
    {37, "level = \"\\x\"", Reason::Syntax, ""},
    {37, "level = \"info\" level = \"info\"", Reason::Syntax, ""},
    {37, "level = \"info\"\n[unknown]", Reason::UnknownKey, "unknown", 38},
    {37, "level = \"\xff\"", Reason::Syntax, ""},
};

std::string printed(const SettingsError &Error) {
  std::ostringstream Out;
  Out << Error;
  return Out.str();
}

class MalformedSettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MalformedSettingsTest);
  CPPUNIT_TEST(refusesBadInstanceSections);
  CPPUNIT_TEST(refusesBadPlatformSections);
  CPPUNIT_TEST(refusesBadSecuritySections);
  CPPUNIT_TEST(refusesBadLimitAndFailoverSections);
  CPPUNIT_TEST(wrongUnitNamesTheExpectedKey);
  CPPUNIT_TEST(unknownKeyWithoutResemblanceListsTheKnownKeys);
  CPPUNIT_TEST(refusesEmptyAndOversizedTexts);
  CPPUNIT_TEST(refusesDeepNesting);
  CPPUNIT_TEST_SUITE_END();

  void refusesBadInstanceSections() { assertAllRefused(InstanceCases); }
  void refusesBadPlatformSections() { assertAllRefused(PlatformCases); }
  void refusesBadSecuritySections() { assertAllRefused(SecurityCases); }
  void refusesBadLimitAndFailoverSections() { assertAllRefused(LimitCases); }

  void wrongUnitNamesTheExpectedKey() {
    assertPrints(11, "call_timeout_s = 1",
                 "proxy.toml:11: store.call_timeout_s: unknown_key: unknown; "
                 "expected call_timeout_ms");
    assertPrints(28, "drain_timeout_min = 1",
                 "proxy.toml:28: limits.drain_timeout_min: unknown_key: "
                 "unknown; expected drain_timeout_ms");
  }

  void unknownKeyWithoutResemblanceListsTheKnownKeys() {
    assertPrints(37, "colour = 1",
                 "proxy.toml:37: log.colour: unknown_key: unknown; known are "
                 "level");
  }

  void refusesEmptyAndOversizedTexts() {
    const auto Empty = parse("", "proxy.toml");
    CPPUNIT_ASSERT_EQUAL(name(Reason::Missing), name(Empty.error().Why));
    const std::string Large(std::size_t(2) << 20, '#');
    const auto Oversized = parse(Large, "proxy.toml");
    CPPUNIT_ASSERT_EQUAL(name(Reason::TooLarge), name(Oversized.error().Why));
  }

  // Guards against a stack overflow in the TOML parser.
  void refusesDeepNesting() {
    const auto Parsed = parse("a = " + std::string(100000, '['), "proxy.toml");
    CPPUNIT_ASSERT_EQUAL(name(Reason::Syntax), name(Parsed.error().Why));
  }

  static void assertAllRefused(std::span<const BadLine> Cases) {
    for (const BadLine &Case : Cases) {
      const auto Parsed = parse(withLine(Case.Line, Case.Text), "proxy.toml");
      const std::string Text(Case.Text);
      CPPUNIT_ASSERT_MESSAGE(Text, !Parsed.has_value());
      const SettingsError &Error = Parsed.error();
      const std::string Place = Text + " gave " + printed(Error);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Place, name(Case.Why), name(Error.Why));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Place, std::string(Case.Key), Error.Key);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          Place, Case.ErrorLine != 0 ? Case.ErrorLine : Case.Line, Error.Line);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Place, std::string("proxy.toml"),
                                   Error.File);
    }
  }

  static void assertPrints(std::uint32_t Line, std::string_view Text,
                           const std::string &Wanted) {
    const auto Parsed = parse(withLine(Line, Text), "proxy.toml");
    CPPUNIT_ASSERT(!Parsed.has_value());
    CPPUNIT_ASSERT_EQUAL(Wanted, printed(Parsed.error()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MalformedSettingsTest);

} // namespace
} // namespace borageridge::settings
