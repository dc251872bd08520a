#include "table/Table.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace borageridge::table {
namespace {

using Reason = TableError::Reason;

struct Malformed {
  std::string_view Text;
  Reason Why;
  std::uint32_t Line;
  std::string_view Key;
};

// A valid read class and a valid write class, one per line.
#define CLASSES                                                                \
  "[[class]]\nname='glance'\nkind='read'\npriority=2\n"                        \
  "[[class]]\nname='order'\nkind='write'\npriority=1\n"
// The first line after CLASSES.
constexpr std::uint32_t After = 9;

constexpr Malformed MalformedTexts[] = {
    // Syntax.
    {"[[class", Reason::Syntax, 1, ""},
    {"[[class]]\nname=", Reason::Syntax, 2, ""},
    {"\n\nname 'x'", Reason::Syntax, 3, ""},
    {"[[class]]\nname='a\nkind='read'", Reason::Syntax, 2, ""},
    {"[[class]]\nname='a'\nname='b'", Reason::Syntax, 3, ""},
    {"[[class]]\nname='\xff'", Reason::Syntax, 2, ""},
    {"[class]\n[[class]]", Reason::Syntax, 2, ""},
    {"[[class]]\npriority=99999999999999999999", Reason::Syntax, 2, ""},
    // Kinds of rows.
    {"[[grups]]", Reason::UnknownKey, 1, "grups"},
    {"version=3", Reason::UnknownKey, 1, "version"},
    {"[group]\ndatabase='x'", Reason::WrongType, 1, "group"},
    {"group=3", Reason::WrongType, 1, "group"},
    {"class=[1]", Reason::WrongType, 1, "class"},
    {"read='all'", Reason::WrongType, 1, "read"},
    {"write=[[]]", Reason::WrongType, 1, "write"},
    {"caller=[true]", Reason::WrongType, 1, "caller"},
    // Classes.
    {"[[class]]\nkind='read'\npriority=1", Reason::Missing, 1, "name"},
    {"[[class]]\nname='a'\npriority=1", Reason::Missing, 1, "kind"},
    {"[[class]]\nname='a'\nkind='read'", Reason::Missing, 1, "priority"},
    {"[[class]]\nname=1\nkind='read'\npriority=1", Reason::WrongType, 2,
     "name"},
    {"[[class]]\nname=''\nkind='read'\npriority=1", Reason::OutOfRange, 2,
     "name"},
    {"[[class]]\nname='*'\nkind='read'\npriority=1", Reason::OutOfRange, 2,
     "name"},
    {"[[class]]\nname='a b'\nkind='read'\npriority=1", Reason::OutOfRange, 2,
     "name"},
    {"[[class]]\nname='a/b'\nkind='read'\npriority=1", Reason::OutOfRange, 2,
     "name"},
    {"[[class]]\nname='a'\nkind='Read'\npriority=1", Reason::OutOfRange, 3,
     "kind"},
    {"[[class]]\nname='a'\nkind=1\npriority=1", Reason::WrongType, 3, "kind"},
    {"[[class]]\nname='a'\nkind='read'\npriority=-1", Reason::OutOfRange, 4,
     "priority"},
    {"[[class]]\nname='a'\nkind='read'\npriority=10", Reason::OutOfRange, 4,
     "priority"},
    {"[[class]]\nname='a'\nkind='read'\npriority=1.0", Reason::WrongType, 4,
     "priority"},
    {"[[class]]\nname='a'\nkind='read'\npriority='1'", Reason::WrongType, 4,
     "priority"},
    {"[[class]]\nname='a'\nkind='read'\npriority=1\nweight=2",
     Reason::UnknownKey, 5, "weight"},
    {CLASSES "[[class]]\nname='order'\nkind='read'\npriority=1",
     Reason::Duplicate, After + 1, "name"},
    // Groups.
    {"[[group]]\nmax_proxies=1\nconnections_per_member=1\n"
     "primary_write_reserve=0",
     Reason::Missing, 1, "database"},
    {"[[group]]\ndatabase='d'\nconnections_per_member=1\n"
     "primary_write_reserve=0",
     Reason::Missing, 1, "max_proxies"},
    {"[[group]]\ndatabase='d'\nmax_proxies=1\nprimary_write_reserve=0",
     Reason::Missing, 1, "connections_per_member"},
    {"[[group]]\ndatabase='d'\nmax_proxies=1\nconnections_per_member=1",
     Reason::Missing, 1, "primary_write_reserve"},
    {"[[group]]\ndatabase='d'\nmax_proxies=0\nconnections_per_member=1\n"
     "primary_write_reserve=0",
     Reason::OutOfRange, 3, "max_proxies"},
    {"[[group]]\ndatabase='d'\nmax_proxies=100001\n"
     "connections_per_member=1\nprimary_write_reserve=0",
     Reason::OutOfRange, 3, "max_proxies"},
    {"[[group]]\ndatabase='d'\nmax_proxies=1\nconnections_per_member=-3\n"
     "primary_write_reserve=0",
     Reason::OutOfRange, 4, "connections_per_member"},
    {"[[group]]\ndatabase='d'\nmax_proxies=1\nconnections_per_member=1\n"
     "primary_write_reserve=1.01",
     Reason::OutOfRange, 5, "primary_write_reserve"},
    {"[[group]]\ndatabase='d'\nmax_proxies=1\nconnections_per_member=1\n"
     "primary_write_reserve=-0.01",
     Reason::OutOfRange, 5, "primary_write_reserve"},
    {"[[group]]\ndatabase='d'\nmax_proxies=1\nconnections_per_member=1\n"
     "primary_write_reserve=nan",
     Reason::OutOfRange, 5, "primary_write_reserve"},
    {"[[group]]\ndatabase='d'\nmax_proxies=1\nconnections_per_member=1\n"
     "primary_write_reserve=inf",
     Reason::OutOfRange, 5, "primary_write_reserve"},
    {"[[group]]\ndatabase='d'\nmax_proxies=1\nconnections_per_member=1\n"
     "primary_write_reserve='half'",
     Reason::WrongType, 5, "primary_write_reserve"},
    {"[[group]]\ndatabase='d'\nmax_proxies=true\nconnections_per_member=1\n"
     "primary_write_reserve=0",
     Reason::WrongType, 3, "max_proxies"},
    {"[[group]]\ndatabase='d d'\nmax_proxies=1\nconnections_per_member=1\n"
     "primary_write_reserve=0",
     Reason::OutOfRange, 2, "database"},
    {"[[group]]\ndatabase='d'\nmax_proxies=1\nconnections_per_member=1\n"
     "primary_write_reserve=0\n"
     "[[group]]\ndatabase='d'\nmax_proxies=2\nconnections_per_member=1\n"
     "primary_write_reserve=0",
     Reason::Duplicate, 7, "database"},
    {"[[group]]\ndatabase='d'\nclass='glance'\nmax_proxies=1\n"
     "connections_per_member=1\nprimary_write_reserve=0",
     Reason::UnknownKey, 3, "class"},
    // Reads.
    {CLASSES "[[read]]\nclass='glance'\nreplica_share=1\naccepted_age_ms=0",
     Reason::Missing, After, "database"},
    {CLASSES "[[read]]\ndatabase='*'\nreplica_share=1\naccepted_age_ms=0",
     Reason::Missing, After, "class"},
    {CLASSES "[[read]]\ndatabase='*'\nclass='glance'\naccepted_age_ms=0",
     Reason::Missing, After, "replica_share"},
    {CLASSES "[[read]]\ndatabase='*'\nclass='glance'\nreplica_share=1",
     Reason::Missing, After, "accepted_age_ms"},
    {CLASSES "[[read]]\ndatabase='*'\nclass='glanse'\nreplica_share=1\n"
             "accepted_age_ms=0",
     Reason::UnknownClass, After + 2, "class"},
    {CLASSES "[[read]]\ndatabase='*'\nclass='order'\nreplica_share=1\n"
             "accepted_age_ms=0",
     Reason::WrongKind, After + 2, "class"},
    {CLASSES "[[read]]\ndatabase='*'\nclass='glance'\nreplica_share=1.5\n"
             "accepted_age_ms=0",
     Reason::OutOfRange, After + 3, "replica_share"},
    {CLASSES "[[read]]\ndatabase='*'\nclass='glance'\nreplica_share=-1\n"
             "accepted_age_ms=0",
     Reason::OutOfRange, After + 3, "replica_share"},
    {CLASSES "[[read]]\ndatabase='*'\nclass='glance'\nreplica_share=[1]\n"
             "accepted_age_ms=0",
     Reason::WrongType, After + 3, "replica_share"},
    {CLASSES "[[read]]\ndatabase='*'\nclass='glance'\nreplica_share=1\n"
             "accepted_age_ms=-1",
     Reason::OutOfRange, After + 4, "accepted_age_ms"},
    {CLASSES "[[read]]\ndatabase='*'\nclass='glance'\nreplica_share=1\n"
             "accepted_age_ms=86400001",
     Reason::OutOfRange, After + 4, "accepted_age_ms"},
    {CLASSES "[[read]]\ndatabase='*'\nclass='glance'\nreplica_share=1\n"
             "accepted_age_ms=0.5",
     Reason::WrongType, After + 4, "accepted_age_ms"},
    {CLASSES "[[read]]\ndatabase='*'\nclass='glance'\nreplica_share=1\n"
             "accepted_age=1000\naccepted_age_ms=0",
     Reason::UnknownKey, After + 4, "accepted_age"},
    {CLASSES "[[read]]\ndatabase='*'\nclass='glance'\nreplica_share=1\n"
             "accepted_age_ms=0\n[[read]]\ndatabase='*'\nclass='glance'\n"
             "replica_share=0\naccepted_age_ms=0",
     Reason::Duplicate, After + 7, "class"},
    // Writes.
    {CLASSES "[[write]]\nclass='order'\nacknowledge='majority'",
     Reason::Missing, After, "database"},
    {CLASSES "[[write]]\ndatabase='*'\nacknowledge='majority'", Reason::Missing,
     After, "class"},
    {CLASSES "[[write]]\ndatabase='*'\nclass='order'", Reason::Missing, After,
     "acknowledge"},
    {CLASSES "[[write]]\ndatabase='*'\nclass='orders'\nacknowledge='primary'",
     Reason::UnknownClass, After + 2, "class"},
    {CLASSES "[[write]]\ndatabase='*'\nclass='glance'\nacknowledge='primary'",
     Reason::WrongKind, After + 2, "class"},
    {CLASSES "[[write]]\ndatabase='*'\nclass='order'\nacknowledge='all'",
     Reason::OutOfRange, After + 3, "acknowledge"},
    {CLASSES "[[write]]\ndatabase='*'\nclass='order'\nacknowledge=2",
     Reason::WrongType, After + 3, "acknowledge"},
    {CLASSES "[[write]]\ndatabase='*'\nclass='order'\nacknowledge='primary'\n"
             "[[write]]\ndatabase='*'\nclass='order'\nacknowledge='majority'",
     Reason::Duplicate, After + 6, "class"},
    // Callers.
    {"[[caller]]\ndatabase='*'\nmax_connections=1\nmax_in_flight=1",
     Reason::Missing, 1, "name"},
    {"[[caller]]\nname='c'\nmax_connections=1\nmax_in_flight=1",
     Reason::Missing, 1, "database"},
    {"[[caller]]\nname='c'\ndatabase='*'\nmax_in_flight=1", Reason::Missing, 1,
     "max_connections"},
    {"[[caller]]\nname='c'\ndatabase='*'\nmax_connections=1", Reason::Missing,
     1, "max_in_flight"},
    {"[[caller]]\nname='c'\ndatabase='*'\nmax_connections=0\n"
     "max_in_flight=1",
     Reason::OutOfRange, 4, "max_connections"},
    {"[[caller]]\nname='c'\ndatabase='*'\nmax_connections=1\n"
     "max_in_flight=100001",
     Reason::OutOfRange, 5, "max_in_flight"},
    {"[[caller]]\nname='c'\ndatabase='*'\nmax_connections=1\n"
     "max_in_flight=2024-01-01",
     Reason::WrongType, 5, "max_in_flight"},
    {"[[caller]]\nname='c'\ndatabase='*'\nmax_connections=1\n"
     "max_in_flight=1\n[[caller]]\nname='c'\ndatabase='*'\n"
     "max_connections=1\nmax_in_flight=1",
     Reason::Duplicate, 7, "name"},
    // The first error in the text is reported, whatever the kind of row.
    {"[[caller]]\nname=''\ndatabase='*'\nmax_connections=1\n"
     "max_in_flight=1\n[[class]]\nname=''\nkind='read'\npriority=1",
     Reason::OutOfRange, 2, "name"},
};

class TableParserTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TableParserTest);
  CPPUNIT_TEST(refusesEachMalformedTextWithItsReasonLineAndKey);
  CPPUNIT_TEST(refusesATextAboveTheSizeLimit);
  CPPUNIT_TEST(acceptsATextAtTheSizeLimit);
  CPPUNIT_TEST(acceptsTheBoundsOfEachRange);
  CPPUNIT_TEST(acceptsRowsThatNameAClassOfALaterRow);
  CPPUNIT_TEST(acceptsAnEmptyTextAsATableOfDefaults);
  CPPUNIT_TEST_SUITE_END();

  // Guards against errors that an operator cannot find in the text.
  void refusesEachMalformedTextWithItsReasonLineAndKey() {
    CPPUNIT_ASSERT(std::size(MalformedTexts) >= 60);
    for (const Malformed &Case : MalformedTexts) {
      const auto Parsed = Table::parse(Case.Text);
      const std::string Text(Case.Text);
      CPPUNIT_ASSERT_MESSAGE(Text, !Parsed.has_value());
      const TableError &Error = Parsed.error();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Text, name(Case.Why), name(Error.Why));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Text, Case.Line, Error.Line);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Text, std::string(Case.Key), Error.Key);
    }
  }

  void refusesATextAboveTheSizeLimit() {
    const auto Parsed =
        Table::parse(std::string(Table::MaxTextBytes + 1, '\n'));
    CPPUNIT_ASSERT(!Parsed.has_value());
    CPPUNIT_ASSERT_EQUAL(name(Reason::TooLarge), name(Parsed.error().Why));
    CPPUNIT_ASSERT_EQUAL(0U, Parsed.error().Line);
  }

  void acceptsATextAtTheSizeLimit() {
    const auto Parsed = Table::parse(std::string(Table::MaxTextBytes, '\n'));
    CPPUNIT_ASSERT(Parsed.has_value());
  }

  void acceptsTheBoundsOfEachRange() {
    const auto Parsed =
        Table::parse("[[class]]\nname='a'\nkind='read'\npriority=0\n"
                     "[[class]]\nname='b'\nkind='read'\npriority=9\n"
                     "[[group]]\ndatabase='d'\nmax_proxies=1\n"
                     "connections_per_member=100000\nprimary_write_reserve=1\n"
                     "[[read]]\ndatabase='*'\nclass='a'\nreplica_share=0\n"
                     "accepted_age_ms=86400000\n"
                     "[[read]]\ndatabase='*'\nclass='b'\nreplica_share=1.0\n"
                     "accepted_age_ms=0\n");
    CPPUNIT_ASSERT(Parsed.has_value());
    const Table &Result = Parsed.value();
    CPPUNIT_ASSERT_EQUAL(100000U, Result.group("d").ConnectionsPerMember);
    CPPUNIT_ASSERT_EQUAL(1.0, Result.group("d").PrimaryWriteReserve);
    CPPUNIT_ASSERT_EQUAL(
        std::int64_t(86400000),
        std::int64_t(Result.read("x", "a").AcceptedAge.count()));
    CPPUNIT_ASSERT_EQUAL(9U, Result.requestClass("b")->Priority);
  }

  void acceptsRowsThatNameAClassOfALaterRow() {
    const auto Parsed = Table::parse("[[write]]\ndatabase='*'\nclass='order'\n"
                                     "acknowledge='primary'\n" CLASSES);
    CPPUNIT_ASSERT(Parsed.has_value());
    CPPUNIT_ASSERT(Parsed.value().acknowledge("x", "order") ==
                   Acknowledge::Primary);
  }

  void acceptsAnEmptyTextAsATableOfDefaults() {
    const auto Parsed = Table::parse("");
    CPPUNIT_ASSERT(Parsed.has_value());
    CPPUNIT_ASSERT(Parsed.value() == Table());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableParserTest);

} // namespace
} // namespace borageridge::table
