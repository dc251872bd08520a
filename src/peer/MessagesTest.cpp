#include "peer/Messages.h"

#include <cppunit/extensions/HelperMacros.h>

namespace borageridge::peer {
namespace {

using std::chrono::milliseconds;

class MessagesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MessagesTest);
  CPPUNIT_TEST(reportsKeepTheirContent);
  CPPUNIT_TEST(requestsKeepTheirContent);
  CPPUNIT_TEST(rejectsEachFieldOfAWrongType);
  CPPUNIT_TEST(rejectsAgesThatWouldDateASampleInTheFuture);
  CPPUNIT_TEST(rejectsRelayedRequestsThatAreNoValidHttp);
  CPPUNIT_TEST(unknownRelayOutcomeIsNotTakenForNotExecuted);
  CPPUNIT_TEST_SUITE_END();

  static StateReport makeReport() {
    StateReport Report;
    GroupReport Group;
    Group.Record = {"db", 7, "{}"};
    Group.Primary = "p";
    Group.PrimarySilence = Silence{milliseconds(450), true};
    Group.Sample = PositionSample{6, milliseconds(12), 2, 90};
    Report.Groups.push_back(Group);
    Report.InFlight["p"] = 3;
    Report.StarvedMembers = {"q"};
    Report.ConfigVersion = 12;
    Report.ReachesStore = true;
    return Report;
  }

  void reportsKeepTheirContent() {
    const StateReport Decoded = decodeReport(encode(makeReport())).value();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Decoded.Groups.size());
    const GroupReport &Group = Decoded.Groups.front();
    CPPUNIT_ASSERT_EQUAL(std::string("db"), Group.Record.Service);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), Group.Record.Epoch);
    CPPUNIT_ASSERT(Group.PrimarySilence->Elapsed == milliseconds(450));
    CPPUNIT_ASSERT(Group.PrimarySilence->Refused);
    CPPUNIT_ASSERT(Group.Sample->Age == milliseconds(12));
    CPPUNIT_ASSERT_EQUAL(LogIndex(90), Group.Sample->Index);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t(3), Decoded.InFlight.at("p"));
    CPPUNIT_ASSERT_EQUAL(std::string("q"), Decoded.StarvedMembers.front());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(12), Decoded.ConfigVersion);
    CPPUNIT_ASSERT(Decoded.ReachesStore);
  }

  void requestsKeepTheirContent() {
    const Request Relayed =
        decodeRequest(encode(RelayRequest{"GET", "/v1/kv-range?prefix=a", "",
                                          milliseconds(800)}))
            .value();
    CPPUNIT_ASSERT(std::get<RelayRequest>(Relayed).Limit == milliseconds(800));
    RelayReply Reply;
    Reply.Status = 200;
    Reply.StoreEra = 3;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(3),
                         decodeRelayReply(encode(Reply)).value().StoreEra);
    const Request Ended =
        decodeRequest(encode(RelinquishRequest{{"db", 9, "{}"}, 8})).value();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(8),
                         std::get<RelinquishRequest>(Ended).EndsEpoch);
    CPPUNIT_ASSERT(decodeRelinquished(encodeRelinquished()));
  }

  void rejectsEachFieldOfAWrongType() {
    const Message Valid = encode(makeReport());
    for (const auto &[Key, Value] : Valid.items()) {
      Message Wrong = Valid;
      Wrong[Key] = Message::binary({1});
      CPPUNIT_ASSERT_MESSAGE(Key, !decodeReport(Wrong).has_value());
    }
    for (const auto &[Key, Value] : Valid["groups"][0].items()) {
      Message Wrong = Valid;
      Wrong["groups"][0][Key] = Message::array();
      CPPUNIT_ASSERT_MESSAGE(Key, !decodeReport(Wrong).has_value());
    }
    CPPUNIT_ASSERT(!decodeRequest({{"type", 5}}).has_value());
    CPPUNIT_ASSERT(!decodeRequest(Message::object()).has_value());
    CPPUNIT_ASSERT(!decodeRequest(Message::array()).has_value());
    CPPUNIT_ASSERT(!decodeRelinquished({{"done", 1}}));
  }

  void rejectsAgesThatWouldDateASampleInTheFuture() {
    for (const Message &Age :
         {Message(-1), Message(std::int64_t(1) << 62), Message(1.5)}) {
      Message Wrong = encode(makeReport());
      Wrong["groups"][0]["sample_age_us"] = Age;
      CPPUNIT_ASSERT(!decodeReport(Wrong).has_value());
    }
  }

  void rejectsRelayedRequestsThatAreNoValidHttp() {
    for (const char *Target : {"", "v1", "/a b", "/a\r\nHost: b"})
      CPPUNIT_ASSERT(!decodeRequest(encode(RelayRequest{"GET", Target, "", {}}))
                          .has_value());
    CPPUNIT_ASSERT(
        !decodeRequest(encode(RelayRequest{"G T", "/a", "", {}})).has_value());
  }

  void unknownRelayOutcomeIsNotTakenForNotExecuted() {
    CPPUNIT_ASSERT(!decodeRelayReply(encode(RelayReply{})).value().NotExecuted);
    CPPUNIT_ASSERT(!decodeRelayReply(Message::object()).value().NotExecuted);
    CPPUNIT_ASSERT(
        decodeRelayReply(encode(RelayReply{{}, "", true})).value().NotExecuted);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MessagesTest);

} // namespace
} // namespace borageridge::peer
