#include "cluster/Records.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::cluster {
namespace {

class RecordsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RecordsTest);
  CPPUNIT_TEST(aGroupRecordIsRestoredByDecoding);
  CPPUNIT_TEST(theCandidateOfAChangeIsRestoredByDecoding);
  CPPUNIT_TEST(unsettledMembersOfARecordAreRestoredByDecoding);
  CPPUNIT_TEST(theWriterOfARecordIsRestoredByDecoding);
  CPPUNIT_TEST(theReceiversOfARecordAreRestoredByDecoding);
  CPPUNIT_TEST(aDaemonRecordIsRestoredByDecoding);
  CPPUNIT_TEST(aDaemonRecordWithoutAProcessorShareHasTheDefault);
  CPPUNIT_TEST(epochOfAGroupRecordDoesNotChangeWhenTheStoreIsRestored);
  CPPUNIT_TEST(aGroupRecordWithoutAnEraIsOfTheFirst);
  CPPUNIT_TEST(malformedRecordsAreCorrupt);
  CPPUNIT_TEST(recordsWithNumbersOutOfRangeAreCorrupt);
  CPPUNIT_TEST_SUITE_END();

  void aGroupRecordIsRestoredByDecoding() {
    const GroupRecord Record{12, 3, "i-1", true, -5};
    CPPUNIT_ASSERT(decodeGroup(encode(Record), 12).value() == Record);
  }

  void theCandidateOfAChangeIsRestoredByDecoding() {
    const GroupRecord Record{12, 3, "i-1", true, -5, "i-2"};
    CPPUNIT_ASSERT(decodeGroup(encode(Record), 12).value() == Record);
    CPPUNIT_ASSERT(!decodeGroup(R"({"term":3,"primary":"a","changing":true,)"
                                R"("born":0,"candidate":7})",
                                12));
  }

  // A list that cannot be read must not count as an empty one.
  void unsettledMembersOfARecordAreRestoredByDecoding() {
    const GroupRecord Record{12, 3, "i-1", false, -5, "", {"i-2", "i-3"}};
    CPPUNIT_ASSERT(decodeGroup(encode(Record), 12).value() == Record);
    for (const char *List : {"7", "{}", "\"i-2\"", "[7]", "[[\"i-2\"]]"})
      CPPUNIT_ASSERT_MESSAGE(
          List, !decodeGroup(std::string(R"({"term":3,"primary":"a",)"
                                         R"("changing":false,"born":0,)"
                                         R"("unsettled":)") +
                                 List + "}",
                             12));
  }

  void theWriterOfARecordIsRestoredByDecoding() {
    const GroupRecord Record{12, 3, "i-1", true, -5, "i-2", {}, "entry-1", 7};
    CPPUNIT_ASSERT(decodeGroup(encode(Record), 12).value() == Record);
    for (const char *Writer :
         {R"("writer":7,"writer_token":7)", R"("writer":"entry-1")",
          R"("writer":"entry-1","writer_token":-1)"})
      CPPUNIT_ASSERT_MESSAGE(
          Writer, !decodeGroup(std::string(R"({"term":3,"primary":"a",)"
                                           R"("changing":true,"born":0,)") +
                                   Writer + "}",
                               12));
  }

  // A list that cannot be read must not count as an empty one.
  void theReceiversOfARecordAreRestoredByDecoding() {
    GroupRecord Record{12, 3, "i-1", true, -5};
    Record.Receivers = {{"i-2", 7}, {"i-2", -8}, {"i-3", 7}};
    CPPUNIT_ASSERT(decodeGroup(encode(Record), 12).value() == Record);
    for (const char *Lists :
         {R"("receivers":["i-2"])", R"("receivers_born":[7])",
          R"("receivers":["i-2"],"receivers_born":[])",
          R"("receivers":[2],"receivers_born":[7])",
          R"("receivers":["i-2"],"receivers_born":["7"])",
          R"("receivers":["i-2"],"receivers_born":[18446744073709551615])",
          R"("receivers":"i-2","receivers_born":7)"})
      CPPUNIT_ASSERT_MESSAGE(
          Lists, !decodeGroup(std::string(R"({"term":3,"primary":"a",)"
                                          R"("changing":false,"born":0,)") +
                                  Lists + "}",
                              12));
  }

  // A copy that is some seconds old holds a record with the revision that it
  // had, so it never counts as newer than the one that replaced it.
  void epochOfAGroupRecordDoesNotChangeWhenTheStoreIsRestored() {
    const GroupRecord First{12, 3, "i-1", false, 0};
    CPPUNIT_ASSERT_EQUAL(Epoch(12),
                         decodeGroup(encode(First), 12).value().Epoch);
    const GroupRecord Second{makeEpoch(2, 0), 3, "i-1", false, 0};
    CPPUNIT_ASSERT_EQUAL(makeEpoch(2, 9),
                         decodeGroup(encode(Second), 9).value().Epoch);
  }

  // Written by daemons of earlier versions.
  void aGroupRecordWithoutAnEraIsOfTheFirst() {
    const auto Record = decodeGroup(
        R"({"term":3,"primary":"a","changing":false,"born":0})", 12);
    CPPUNIT_ASSERT_EQUAL(Epoch(12), Record.value().Epoch);
  }

  void aDaemonRecordIsRestoredByDecoding() {
    const DaemonRecord Record{"entry-1", "10.1.0.8", 7440, "z1", 99, 120};
    CPPUNIT_ASSERT(decodeDaemon(encode(Record)).value() == Record);
  }

  // Written by daemons of earlier versions.
  void aDaemonRecordWithoutAProcessorShareHasTheDefault() {
    const auto Record =
        decodeDaemon(R"({"name":"a","ip":"b","port":1,"availability_zone":"z",)"
                     R"("incarnation":2})");
    CPPUNIT_ASSERT_EQUAL(DaemonRecord::DefaultProcessorShare + 0,
                         Record.value().ProcessorShare);
  }

  void malformedRecordsAreCorrupt() {
    for (const char *Json : {"", "[]", "{}", R"({"term":"3"})",
                             R"({"term":3,"primary":"a","changing":1})"}) {
      CPPUNIT_ASSERT_MESSAGE(Json, decodeGroup(Json, 1).error().Kind ==
                                       FailureKind::Corrupt);
      CPPUNIT_ASSERT_MESSAGE(Json, decodeDaemon(Json).error().Kind ==
                                       FailureKind::Corrupt);
    }
    for (const char *Era : {"0", "-1", "\"2\"", "99999999999"})
      CPPUNIT_ASSERT(
          decodeGroup(std::string(R"({"term":3,"primary":"a","changing":false,)"
                                  R"("born":0,"era":)") +
                          Era + "}",
                      1)
              .error()
              .Kind == FailureKind::Corrupt);
  }

  // Guards against numbers that wrap around: port 70000 became 4464.
  void recordsWithNumbersOutOfRangeAreCorrupt() {
    for (const char *Port : {"0", "65535", "70000", "-1", "1e9", "\"7\""})
      CPPUNIT_ASSERT_MESSAGE(
          Port,
          !decodeDaemon(std::string(R"({"name":"a","ip":"b","port":)") + Port +
                        R"(,"availability_zone":"z","incarnation":2})"));
    for (const char *Number : {"-1", "18446744073709551615", "1e30"})
      CPPUNIT_ASSERT_MESSAGE(
          Number, !decodeGroup(std::string(R"({"term":)") + Number +
                                   R"(,"primary":"a","changing":false,)"
                                   R"("born":0})",
                               1));
    CPPUNIT_ASSERT(!decodeGroup(R"({"term":1,"primary":"a","changing":false,)"
                                R"("born":18446744073709551615})",
                                1));
    CPPUNIT_ASSERT(!decodeGroup(std::string(500000, '['), 1));
    CPPUNIT_ASSERT(!decodeDaemon(std::string(500000, '[')));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordsTest);

} // namespace
} // namespace borageridge::cluster
