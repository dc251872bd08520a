#include "telemetry/Log.h"

#include <cppunit/extensions/HelperMacros.h>

#include <condition_variable>
#include <mutex>
#include <regex>
#include <sstream>
#include <thread>
#include <vector>

namespace borageridge::telemetry {
namespace {

// Holds every write until it is opened.
class BlockedBuffer : public std::stringbuf {
public:
  void open() {
    const std::lock_guard Lock(Guard);
    Opened = true;
    Changed.notify_all();
  }

protected:
  std::streamsize xsputn(const char *Text, std::streamsize Size) override {
    std::unique_lock Lock(Guard);
    Changed.wait(Lock, [this] { return Opened; });
    return std::stringbuf::xsputn(Text, Size);
  }

private:
  std::mutex Guard;
  std::condition_variable Changed;
  bool Opened = false;
};

std::vector<std::string> lines(const std::string &Text) {
  std::istringstream In(Text);
  std::vector<std::string> Result;
  std::string Line;
  while (std::getline(In, Line))
    Result.push_back(Line);
  return Result;
}

class LogTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogTest);
  CPPUNIT_TEST(writesOneObjectALineWithFixedFields);
  CPPUNIT_TEST(escapesValuesThatCallersChoose);
  CPPUNIT_TEST(leavesOutEventsBelowTheLevel);
  CPPUNIT_TEST(logsOfOneProcessDoNotMix);
  CPPUNIT_TEST(keepsEveryLineOfSeveralThreads);
  CPPUNIT_TEST(neverBlocksOnASlowStreamAndTellsWhatItDropped);
  CPPUNIT_TEST_SUITE_END();

  std::ostringstream Out;

  void writesOneObjectALineWithFixedFields() {
    {
      Log Subject("proxy-1", LogLevel::Info, Out);
      Subject.write(event::TableApplied, 7, "ana", 2);
    }
    const std::regex Wanted(
        R"(\{"time":"\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z","level":"info",)"
        R"("event":"table_applied","instance":"proxy-1","version":7,)"
        R"("author":"ana","changes":2\}\n)");
    CPPUNIT_ASSERT_MESSAGE(Out.str(), std::regex_match(Out.str(), Wanted));
  }

  void escapesValuesThatCallersChoose() {
    {
      Log Subject("a\"b", LogLevel::Info, Out);
      Subject.write(event::AuthenticationFailed, "x\",\"level\":\"info\n", "y");
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), lines(Out.str()).size());
    CPPUNIT_ASSERT(Out.str().find(R"("instance":"a\"b")") != std::string::npos);
    CPPUNIT_ASSERT(Out.str().find(R"("peer":"x\",\"level\":\"info\u000a")") !=
                   std::string::npos);
  }

  void leavesOutEventsBelowTheLevel() {
    {
      Log Subject("proxy-1", LogLevel::Warning, Out);
      CPPUNIT_ASSERT(!Subject.enabled(LogLevel::Info));
      Subject.write(event::PeerSeen, "proxy-2", "127.0.0.1:1", "az-1");
      Subject.write(event::PeerLost, "proxy-2", 900);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), lines(Out.str()).size());
    CPPUNIT_ASSERT(Out.str().find("peer_lost") != std::string::npos);
  }

  void logsOfOneProcessDoNotMix() {
    std::ostringstream Other;
    {
      Log First("first", LogLevel::Info, Out);
      Log Second("second", LogLevel::Info, Other);
      First.write(event::GroupAdded, "ledger-1", 3);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), lines(Out.str()).size());
    CPPUNIT_ASSERT_EQUAL(std::string(), Other.str());
  }

  void keepsEveryLineOfSeveralThreads() {
    constexpr int Threads = 4;
    constexpr int LinesEach = 500;
    {
      Log Subject("proxy-1", LogLevel::Info, Out);
      std::vector<std::jthread> Writers;
      Writers.reserve(Threads);
      for (int I = 0; I < Threads; ++I)
        Writers.emplace_back([&Subject] {
          for (int Line = 0; Line < LinesEach; ++Line)
            Subject.write(event::GroupAdded, "ledger-1", 3);
        });
    }
    const auto Written = lines(Out.str());
    CPPUNIT_ASSERT_EQUAL(std::size_t(Threads * LinesEach), Written.size());
    for (const std::string &Line : Written)
      CPPUNIT_ASSERT_MESSAGE(Line, Line.ends_with(R"("members":3})"));
  }

  // Guards against a request path that waits for a full pipe.
  void neverBlocksOnASlowStreamAndTellsWhatItDropped() {
    constexpr int Lines = 30000;
    BlockedBuffer Buffer;
    std::ostream Slow(&Buffer);
    {
      Log Subject("proxy-1", LogLevel::Info, Slow);
      for (int I = 0; I < Lines; ++I)
        Subject.write(event::GroupAdded, "ledger-1", 3);
      Buffer.open();
      Subject.flush();
      Subject.write(event::GroupAdded, "ledger-1", 3);
    }
    const auto Written = lines(Buffer.str());
    const std::string &Notice = Written.back();
    const std::size_t Kept = Written.size() - 2;
    CPPUNIT_ASSERT_MESSAGE(Notice, Notice.find("log_lines_dropped") !=
                                       std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(
        Notice,
        Notice.ends_with("\"lines\":" + std::to_string(Lines - Kept) + "}"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogTest);

} // namespace
} // namespace borageridge::telemetry
