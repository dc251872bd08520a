#include "operator/CommandFixture.h"

namespace borageridge::operators {
namespace {

class ProxyCommandsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProxyCommandsTest);
  CPPUNIT_TEST(statusPrintsVersionAndRecencyOfEachProxy);
  CPPUNIT_TEST(statusPrintsPeersThatWereNotAsked);
  CPPUNIT_TEST(statusWithAProxyThatDoesNotAnswerIsUnreachable);
  CPPUNIT_TEST(statusReadsAddressesFromAFile);
  CPPUNIT_TEST(drainNeedsExactlyOneProxy);
  CPPUNIT_TEST(lookUpTellsRanNotRunAndUnknownApart);
  CPPUNIT_TEST(lookUpWithoutAReachableProxyIsUnreachable);
  CPPUNIT_TEST(lookUpWithAWrongSecretIsAFailure);
  CPPUNIT_TEST_SUITE_END();

  FakeProxy Proxy;
  TemporaryFile Secret{"secret\n"};

  static bool contains(const std::string &Text, const std::string &Part) {
    return Text.find(Part) != std::string::npos;
  }

  void statusPrintsVersionAndRecencyOfEachProxy() {
    Proxy.StatusAnswer.set_instance("proxy-1");
    Proxy.StatusAnswer.set_table_version(7);
    Proxy.StatusAnswer.set_table_recent(true);
    const Outcome Done = runCommand({"--admin", Proxy.address(), "status"});
    assertCode(ExitCode::Ok, Done);
    CPPUNIT_ASSERT_EQUAL("proxy-1\t\t" + Proxy.address() +
                             "\tyes\t7\tyes\t0\t0\tno\n",
                         Done.Results);
    const Outcome Json =
        runCommand({"--admin", Proxy.address(), "--output", "json", "status"});
    CPPUNIT_ASSERT(contains(Json.Results, "\"table_recent\":true"));
  }

  void statusPrintsPeersThatWereNotAsked() {
    Proxy.StatusAnswer.set_instance("proxy-1");
    admin::PeerStatus *Peer = Proxy.StatusAnswer.add_peers();
    Peer->set_instance("proxy-2");
    Peer->set_table_version(6);
    const Outcome Done = runCommand({"--admin", Proxy.address(), "status"});
    CPPUNIT_ASSERT_MESSAGE(
        Done.Results,
        contains(Done.Results, "proxy-2\t\tpeer of proxy-1\t\t6\t"));
  }

  void statusWithAProxyThatDoesNotAnswerIsUnreachable() {
    const Outcome Done = runCommand(
        {"--admin", Proxy.address(), "--admin", RefusedAddress, "status"});
    assertCode(ExitCode::Unreachable, Done);
    CPPUNIT_ASSERT(contains(Done.Results, Proxy.address()));
  }

  void statusReadsAddressesFromAFile() {
    const TemporaryFile List("# proxies\n\n" + Proxy.address() + "\n");
    assertCode(ExitCode::Ok, runCommand({"--admin-file", List.Path, "status"}));
  }

  void drainNeedsExactlyOneProxy() {
    assertCode(ExitCode::Usage,
               runCommand({"proxy", "drain", "--admin", Proxy.address(),
                           "--admin", Proxy.address()}));
    const Outcome Done =
        runCommand({"proxy", "drain", "--admin", Proxy.address()});
    assertCode(ExitCode::Ok, Done);
    CPPUNIT_ASSERT_EQUAL(std::string("3\n"), Done.Results);
  }

  Outcome lookUp(const std::string &Address) {
    return runCommand({"request", "lookup", "ledger-1", "id-1",
                       "--caller-address", Address, "--caller", "counter",
                       "--secret-file", Secret.Path});
  }

  // Guards against a script that repeats a request which did run.
  void lookUpTellsRanNotRunAndUnknownApart() {
    Proxy.LookUpAnswer.set_outcome(caller::OUTCOME_RAN);
    const Outcome Ran = lookUp(Proxy.address());
    assertCode(ExitCode::Ok, Ran);
    CPPUNIT_ASSERT_EQUAL(std::string("ledger-1\tid-1\tran\n"), Ran.Results);
    Proxy.LookUpAnswer.set_outcome(caller::OUTCOME_NOT_RUN);
    assertCode(ExitCode::NotRun, lookUp(Proxy.address()));
    Proxy.LookUpAnswer.clear_outcome();
    assertCode(ExitCode::Unknown, lookUp(Proxy.address()));
    Proxy.LookUpAnswer.mutable_refusal()->set_reason(
        caller::REFUSAL_REASON_NO_PRIMARY);
    assertCode(ExitCode::Unknown, lookUp(Proxy.address()));
    Proxy.LookUpAnswer.mutable_refusal()->set_reason(
        caller::REFUSAL_REASON_UNKNOWN_DATABASE);
    assertCode(ExitCode::NotFound, lookUp(Proxy.address()));
  }

  void lookUpWithoutAReachableProxyIsUnreachable() {
    assertCode(ExitCode::Unreachable, lookUp(RefusedAddress));
  }

  void lookUpWithAWrongSecretIsAFailure() {
    Secret.write("other");
    assertCode(ExitCode::Failure, lookUp(Proxy.address()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProxyCommandsTest);

} // namespace
} // namespace borageridge::operators
