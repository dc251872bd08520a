#include "telemetry/LibraryMessages.h"

#include "caller.pb.h"

#include <cppunit/extensions/HelperMacros.h>
#include <grpc/support/log.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <sstream>
#include <thread>

namespace borageridge::telemetry {
namespace {

class LibraryMessagesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LibraryMessagesTest);
  CPPUNIT_TEST(writesMessagesOfTheLibrariesAsEvents);
  CPPUNIT_TEST(limitsTheLinesOfASecond);
  CPPUNIT_TEST_SUITE_END();

  std::ostringstream Out;

  void writesMessagesOfTheLibrariesAsEvents() {
    waitForAFreshSecond();
    {
      Log Subject("proxy-1", LogLevel::Info, Out);
      const LibraryMessages Messages(Subject);
      gpr_log(GPR_ERROR, "broken \"handshake\"");
      gpr_log(GPR_INFO, "not of interest");
      // Field 1 is a string that is not UTF-8.
      caller::LookUpRequest Request;
      Request.ParseFromString("\x0a\x01\xff");
    }
    assertContains(R"("event":"library_message")");
    assertContains(R"("library":"grpc","message":"broken \"handshake\"")");
    assertContains(R"("library":"protobuf")");
    CPPUNIT_ASSERT(Out.str().find("not of interest") == std::string::npos);
  }

  // Guards against a stranger who fills the log with bad handshakes.
  void limitsTheLinesOfASecond() {
    constexpr int Sent = 1000;
    waitForAFreshSecond();
    {
      Log Subject("proxy-1", LogLevel::Info, Out);
      const LibraryMessages Messages(Subject);
      for (int I = 0; I < Sent; ++I)
        gpr_log(GPR_ERROR, "flood");
    }
    const std::string Text = Out.str();
    const auto Lines = std::ranges::count(Text, '\n');
    // The loop may meet the start of another second.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(Lines), Lines >= 10 && Lines <= 30);
  }

  // The limit is one of the process, so that tests must not share a second.
  static void waitForAFreshSecond() {
    const std::time_t Now = std::time(nullptr);
    while (std::time(nullptr) == Now)
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }

  void assertContains(const std::string &Piece) {
    CPPUNIT_ASSERT_MESSAGE(Piece + " in " + Out.str(),
                           Out.str().find(Piece) != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LibraryMessagesTest);

} // namespace
} // namespace borageridge::telemetry
