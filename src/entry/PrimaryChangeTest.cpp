#include "entry/Coordinator.h"

#include "entry/FakeMember.h"
#include "entry/StateFixture.h"
#include "platform/testing/FakeStore.h"
#include "runtime/Clock.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace borageridge::entry {
namespace {

using std::chrono::milliseconds;

const std::string RecordKey = "borageridge/groups/db";

/// Three members of a service and the platform's promotion service. A member
/// leads a new term some time after the call.
class FakeGroup {
public:
  explicit FakeGroup(runtime::asio::io_context &Context) : Io(Context) {
    for (std::size_t I = 0; I < Ids.size(); ++I) {
      Members.push_back(std::make_unique<FakeMember>(Io, Ids[I]));
      Members.back()->Answer = [this, I](const std::string &Text) {
        if (Text.find("STEPDOWN") != std::string::npos && Ids[I] == Leader)
          Leader.clear();
        Statuses[I] =
            "ROW " + std::string(Ids[I] == Leader ? "primary " : "replica ") +
            std::to_string(termOf(I)) + " 1.5 " + std::to_string(termOf(I)) +
            " 0 0 1\r\nCOMPLETE -\r\nREADY I 1.5\r\n";
        return std::string_view(Statuses[I]);
      };
    }
    Expected<runtime::tcp::acceptor> Acceptor = runtime::listen(
        Io,
        runtime::tcp::endpoint(runtime::asio::ip::address_v4::loopback(), 0));
    Address = Acceptor.value().local_endpoint();
    runtime::spawn(Io, runtime::acceptConnections(
                           std::move(Acceptor).value(),
                           http::connectionHandler(
                               Io, [this](const http::Request &Request) {
                                 return answerPromotion(Request);
                               })));
  }

  std::vector<catalog::Member> infos() const {
    std::vector<catalog::Member> Result;
    for (const auto &M : Members)
      Result.push_back(M->info());
    return Result;
  }

  /// Lets the member lead the next term after the delay.
  void promoteAfter(std::string Id, Duration Delay) {
    const auto TakeOver = [](FakeGroup &Self, std::string NewLeader,
                             Duration After) -> runtime::Task<void> {
      co_await runtime::sleepFor(After);
      Self.Leader = NewLeader;
      Self.CurrentTerm = std::max(Self.CurrentTerm, Self.TermOfOthers) + 1;
    };
    runtime::spawn(Io, TakeOver(*this, std::move(Id), Delay));
  }

  http::Response answerPromotion(const http::Request &Request) {
    const std::string Id = nlohmann::json::parse(Request.Body).at("id");
    Calls.push_back(Id);
    OnCall(Id);
    if (Id == Stopped)
      return {409, "{}"};
    if (Id != Leader || TermOfOthers > CurrentTerm)
      promoteAfter(Id, EffectDelay);
    return {200, "{}"};
  }

  Term termOf(std::size_t Member) const {
    return Ids[Member] == Leader ? CurrentTerm
                                 : std::max(CurrentTerm, TermOfOthers);
  }

  std::string Leader = "p";
  Term CurrentTerm = 1;
  /// If higher, the term of the members that do not lead.
  Term TermOfOthers = 0;
  Duration EffectDelay = milliseconds(200);
  /// A member that is not running, according to the promotion service.
  std::string Stopped;
  /// The members for which a promotion was called, in order.
  std::vector<std::string> Calls;
  std::function<void(const std::string &Id)> OnCall = [](const std::string &) {
  };
  runtime::tcp::endpoint Address;

private:
  runtime::asio::io_context &Io;
  std::vector<std::string> Ids = {"p", "q", "r"};
  std::vector<std::unique_ptr<FakeMember>> Members;
  std::vector<std::string> Statuses{3};
};

// Tests changes of primary that another coordinator continues, with members and
// a promotion service on loopback sockets.
class PrimaryChangeTest : public CppUnit::TestFixture, StateFixture {
  CPPUNIT_TEST_SUITE(PrimaryChangeTest);
  CPPUNIT_TEST(acceptsOnlyTheMemberThatWasNamedLast);
  CPPUNIT_TEST(recordsTheCandidateBeforeItCallsForThePromotion);
  CPPUNIT_TEST(completesAChangeBeforeItResignsForAStop);
  CPPUNIT_TEST(callsForTheCandidateOfAFormerCoordinatorAgain);
  CPPUNIT_TEST(waitsForThePromotionThatAFormerCoordinatorHasCalledFor);
  CPPUNIT_TEST(namesAnotherMemberIfTheCandidateIsNotRunning);
  CPPUNIT_TEST(endsTheLeaseOnlyAfterTheCallForAPromotion);
  CPPUNIT_TEST(doesNotCallForAPromotionWithoutTheRole);
  CPPUNIT_TEST(keepsACandidateWhosePromotionTakesLong);
  CPPUNIT_TEST(listsACandidateThatAnotherCoordinatorMayHaveCalledFor);
  CPPUNIT_TEST(keepsUnsettledMembersThroughTheNextChange);
  CPPUNIT_TEST(aPromotionThatTookEffectLeavesNothingUnsettled);
  CPPUNIT_TEST(takesAMemberThatTookOverLateAsThePrimary);
  CPPUNIT_TEST(doesNotTakeALeaderOfAnEarlierTermAsTheResult);
  CPPUNIT_TEST(keepsTheMembersThatAFirstRecordAfterARestoreLists);
  CPPUNIT_TEST_SUITE_END();

  platform::FakeStore Store{Io};
  FakeGroup Group{Io};
  State S{Io, settings(), Store.address(), Log};
  Exchange Others{S};
  Coordinator Subject{S, Others, Group.Address};

public:
  void setUp() override {
    S.Loaded = true;
    S.Lease.confirm(7, runtime::bootTime(), std::chrono::seconds(60));
    S.Daemons["entry-1"].Name = "entry-1";
  }

private:
  nlohmann::json storedRecord() const {
    return nlohmann::json::parse(Store.value(RecordKey));
  }

  std::vector<std::string> unsettled() const {
    return storedRecord().value("unsettled", std::vector<std::string>());
  }

  /// Writes the record as another coordinator left it. Without a change in
  /// progress, the primary leaves.
  void addRecord(bool Changing, const std::string &Candidate,
                 const std::vector<std::string> &Unsettled = {}) {
    nlohmann::json Record = {{"term", 1},
                             {"primary", "p"},
                             {"changing", Changing},
                             {"born", 0},
                             {"era", 1}};
    if (!Candidate.empty())
      Record["candidate"] = Candidate;
    if (!Unsettled.empty())
      Record["unsettled"] = Unsettled;
    keyvalue::Transaction Change;
    Change.Puts.push_back({RecordKey, Record.dump(), 0});
    const keyvalue::Revision Written = Store.commit(Change);
    const cluster::GroupRecord Known =
        cluster::decodeGroup(Record.dump(), Written).value();
    auto &Pool = S.ByService["db"];
    Pool = std::make_unique<pool::ServicePool>(S.Shared, "db");
    Pool->setRecord(Known, runtime::bootTime());
    S.Records["db"] = Known;
    setMembers(Changing ? "" : "p");
  }

  void startWith(bool Changing, const std::string &Candidate) {
    addRecord(Changing, Candidate);
    runtime::spawn(Io, Subject.run());
  }

  void setMembers(const std::string &Leaving) {
    std::vector<catalog::Member> Infos = Group.infos();
    for (catalog::Member &M : Infos) {
      M.Leaving = M.Id == Leaving;
      S.Members[M.Id] = M;
    }
    S.ByService["db"]->setMembers(Infos, runtime::bootTime(), std::nullopt);
  }

  /// Runs until the record names a primary again; the test fails after Limit.
  std::string primaryAfterChange(Duration Limit = std::chrono::seconds(5)) {
    const Time Start = runtime::bootTime();
    while (storedRecord().at("changing") || storedRecord().at("term") == 1) {
      CPPUNIT_ASSERT(runtime::bootTime() - Start < Limit);
      runLoopFor(milliseconds(10));
    }
    return storedRecord().at("primary");
  }

  // Guards against writes to a member that led for a moment only: the promotion
  // of another one, which was called for later, takes its place.
  void acceptsOnlyTheMemberThatWasNamedLast() {
    Group.Leader = "q";
    Group.CurrentTerm = 2;
    Group.promoteAfter("r", milliseconds(700));
    startWith(true, "r");
    CPPUNIT_ASSERT_EQUAL(std::string("r"), primaryAfterChange());
    CPPUNIT_ASSERT_EQUAL(3, storedRecord().at("term").get<int>());
  }

  // Guards against a successor that cannot know which promotion may still take
  // effect.
  void recordsTheCandidateBeforeItCallsForThePromotion() {
    std::string Recorded;
    Group.OnCall = [&](const std::string &) {
      Recorded = storedRecord().value("candidate", "");
    };
    startWith(false, "");
    const std::string Primary = primaryAfterChange();
    CPPUNIT_ASSERT_EQUAL(Primary, Recorded);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Group.Calls.size());
  }

  // Guards against two promotions on their way: the next coordinator would
  // begin before the first has taken effect.
  void completesAChangeBeforeItResignsForAStop() {
    Group.OnCall = [&](const std::string &) {
      S.Stopping = true;
      runtime::spawn(
          Io, Subject.stop(runtime::bootTime() + std::chrono::seconds(3)));
    };
    bool WasComplete = false;
    Store.Intercept =
        [&](const http::Request &Call) -> std::optional<http::Response> {
      if (Call.Target.find("kv-lease-end") != std::string::npos)
        WasComplete = !storedRecord().at("changing").get<bool>() &&
                      storedRecord().at("term").get<int>() > 1;
      return std::nullopt;
    };
    startWith(false, "");
    primaryAfterChange();
    runLoopFor(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Store.count("kv-lease-end"));
    CPPUNIT_ASSERT(WasComplete);
  }

  // The former coordinator stopped between the record and the call.
  void callsForTheCandidateOfAFormerCoordinatorAgain() {
    startWith(true, "r");
    CPPUNIT_ASSERT_EQUAL(std::string("r"), primaryAfterChange());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Group.Calls.size());
  }

  // A second call would make the member begin another term.
  void waitsForThePromotionThatAFormerCoordinatorHasCalledFor() {
    Group.promoteAfter("q", milliseconds(900));
    startWith(true, "q");
    CPPUNIT_ASSERT_EQUAL(std::string("q"), primaryAfterChange());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Group.Calls.size());
    CPPUNIT_ASSERT_EQUAL(2, storedRecord().at("term").get<int>());
  }

  void namesAnotherMemberIfTheCandidateIsNotRunning() {
    Group.Stopped = "q";
    startWith(true, "q");
    CPPUNIT_ASSERT_EQUAL(std::string("r"), primaryAfterChange());
    const std::vector<std::string> Expected = {"q", "r"};
    CPPUNIT_ASSERT(Group.Calls == Expected);
  }

  // Guards against a second member that is promoted while the promotion of the
  // first may still take effect.
  void keepsACandidateWhosePromotionTakesLong() {
    Group.EffectDelay = milliseconds(5000);
    startWith(false, "");
    const std::string Primary = primaryAfterChange(std::chrono::seconds(9));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Group.Calls.size());
    CPPUNIT_ASSERT_EQUAL(Primary, Group.Calls[0]);
    CPPUNIT_ASSERT_EQUAL(Primary, Group.Calls[1]);
    // The second call may take effect after the next change.
    CPPUNIT_ASSERT(unsettled() == std::vector<std::string>{Primary});
  }

  void listsACandidateThatAnotherCoordinatorMayHaveCalledFor() {
    Group.Stopped = "q";
    startWith(true, "q");
    CPPUNIT_ASSERT_EQUAL(std::string("r"), primaryAfterChange());
    CPPUNIT_ASSERT(unsettled() == std::vector<std::string>{"q"});
  }

  // Guards against a call of two changes ago that takes effect.
  void keepsUnsettledMembersThroughTheNextChange() {
    Group.Stopped = "q";
    addRecord(false, "", {"q"});
    runtime::spawn(Io, Subject.run());
    CPPUNIT_ASSERT_EQUAL(std::string("r"), primaryAfterChange());
    CPPUNIT_ASSERT(unsettled() == std::vector<std::string>{"q"});
  }

  void aPromotionThatTookEffectLeavesNothingUnsettled() {
    startWith(false, "");
    primaryAfterChange();
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Group.Calls.size());
    CPPUNIT_ASSERT(unsettled().empty());
  }

  void takesAMemberThatTookOverLateAsThePrimary() {
    addRecord(false, "", {"r"});
    setMembers("");
    Group.Leader = "r";
    Group.CurrentTerm = 2;
    runtime::spawn(Io, Subject.run());
    CPPUNIT_ASSERT_EQUAL(std::string("r"), primaryAfterChange());
    CPPUNIT_ASSERT(Group.Calls.empty());
    CPPUNIT_ASSERT(unsettled() == std::vector<std::string>{"r"});
  }

  // Guards against a member that led for a moment and has been superseded
  // before it was called for.
  void doesNotTakeALeaderOfAnEarlierTermAsTheResult() {
    Group.Leader = "r";
    Group.CurrentTerm = 2;
    Group.TermOfOthers = 3;
    startWith(true, "r");
    const std::string Primary = primaryAfterChange();
    CPPUNIT_ASSERT_EQUAL(std::string("r"), Primary);
    CPPUNIT_ASSERT(storedRecord().at("term") > 2);
  }

  // The restored store may have lost the record of a change whose promotion is
  // still under way.
  void keepsTheMembersThatAFirstRecordAfterARestoreLists() {
    Store.takeCopy();
    Store.restore();
    const auto Read = [](PrimaryChangeTest &Self) -> runtime::Task<void> {
      const auto Known = co_await Self.S.Store.range("borageridge/");
      CPPUNIT_ASSERT(Known.has_value());
    };
    runtime::spawn(Io, Read(*this));
    runLoopFor(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(keyvalue::Era(2), S.Store.era());
    S.Lease.confirm(8, runtime::bootTime(), std::chrono::seconds(60), 2);
    S.Records["other"].Epoch = cluster::makeEpoch(2, 1);
    S.ByService["db"] = std::make_unique<pool::ServicePool>(S.Shared, "db");
    setMembers("");
    runtime::spawn(Io, Subject.run());
    runLoopFor(milliseconds(1500));
    CPPUNIT_ASSERT((unsettled() == std::vector<std::string>{"p", "q", "r"}));
  }

  // Guards against a call that reaches the platform after one of the next
  // coordinator, with the lower fencing token.
  void endsTheLeaseOnlyAfterTheCallForAPromotion() {
    FakeMember SilentService{Io, "promotions"};
    SilentService.Answer = [](const std::string &) { return ""; };
    Coordinator Waiting{
        S, Others,
        runtime::tcp::endpoint(runtime::asio::ip::address_v4::loopback(),
                               SilentService.port())};
    addRecord(false, "");
    runtime::spawn(Io, Waiting.run());
    const auto Called = [&] { return SilentService.count("/promote") != 0; };
    while (!Called())
      CPPUNIT_ASSERT(Io.run_one_for(std::chrono::seconds(2)) != 0);
    runtime::spawn(Io, Waiting.resign("test"));
    runLoopFor(milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Store.count("kv-lease-end"));
    runLoopFor(milliseconds(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Store.count("kv-lease-end"));
    Io.stop();
  }

  void doesNotCallForAPromotionWithoutTheRole() {
    Store.Intercept =
        [&](const http::Request &Call) -> std::optional<http::Response> {
      // The claim of the role, the begin of the change, and the candidate.
      if (Call.Target.find("kv-txn") != std::string::npos &&
          Store.count("kv-txn") == 3)
        runtime::spawn(Io, Subject.resign("test"));
      return std::nullopt;
    };
    startWith(false, "");
    runLoopFor(milliseconds(600));
    CPPUNIT_ASSERT(!storedRecord().value("candidate", "").empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Store.count("kv-lease-end"));
    CPPUNIT_ASSERT(Group.Calls.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrimaryChangeTest);

} // namespace
} // namespace borageridge::entry
