#include "runtime/Async.h"

#include <cppunit/extensions/HelperMacros.h>

#include <stdexcept>
#include <string>
#include <vector>

namespace borageridge::runtime {
namespace {

class AsyncTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AsyncTest);
  CPPUNIT_TEST(exceptionOfOneCoroutineDoesNotEndTheOthers);
  CPPUNIT_TEST(taskIsStartedAgainAfterAnException);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context Io;

  static Task<void> fail() {
    co_await sleepFor(std::chrono::milliseconds(1));
    throw std::runtime_error("bad field");
  }

  Task<void> finishLater(bool &Finished) {
    co_await sleepFor(std::chrono::milliseconds(20));
    Finished = true;
    Io.stop();
  }

  void exceptionOfOneCoroutineDoesNotEndTheOthers() {
    bool Finished = false;
    std::vector<std::string> Errors;
    spawn(Io, fail());
    spawn(Io, finishLater(Finished));
    runUntilStopped(
        Io, [&](std::string_view Error) { Errors.emplace_back(Error); });
    CPPUNIT_ASSERT(Finished);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Errors.size());
    CPPUNIT_ASSERT_EQUAL(std::string("bad field"), Errors.front());
  }

  void taskIsStartedAgainAfterAnException() {
    unsigned Runs = 0;
    std::vector<std::string> Errors;
    const auto Work = [&]() -> Task<void> {
      if (++Runs < 3)
        co_await fail();
    };
    spawn(Io,
          keepRunning(
              Work, [&](std::string_view Error) { Errors.emplace_back(Error); },
              std::chrono::milliseconds(1)));
    Io.run();
    CPPUNIT_ASSERT_EQUAL(3U, Runs);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Errors.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AsyncTest);

} // namespace
} // namespace borageridge::runtime
