#include "runtime/SharedCheck.h"

#include <cppunit/extensions/HelperMacros.h>

#include <stdexcept>

namespace borageridge::runtime {
namespace {

using std::chrono::milliseconds;

class SharedCheckTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SharedCheckTest);
  CPPUNIT_TEST(aRoundServesOnlyThoseThatWaitedWhenItBegan);
  CPPUNIT_TEST(aRoundWithoutResultIsRepeatedUntilTheLimit);
  CPPUNIT_TEST(aRoundIsRunOnDemandOnly);
  CPPUNIT_TEST(anExceptionDoesNotEndTheChecks);
  CPPUNIT_TEST_SUITE_END();

  asio::io_context Io;
  int Rounds = 0;
  int Errors = 0;
  bool Throws = false;
  std::optional<bool> Next = true;
  SharedCheck Subject{Io,
                      [this]() -> Task<std::optional<bool>> {
                        ++Rounds;
                        if (std::exchange(Throws, false))
                          throw std::runtime_error("bad field");
                        const std::optional<bool> Seen = Next;
                        co_await sleepFor(milliseconds(20));
                        co_return Seen;
                      },
                      milliseconds(5), [this](std::string_view) { ++Errors; }};
  std::vector<bool> Results;

  void start(Duration Limit) {
    const auto Run = [](SharedCheckTest &Self, Duration For) -> Task<void> {
      const bool Result = co_await Self.Subject.run(For);
      Self.Results.push_back(Result);
    };
    spawn(Io, Run(*this, Limit));
  }

  // Guards against a confirmation by a question that was asked before the
  // commit that it is to confirm.
  void aRoundServesOnlyThoseThatWaitedWhenItBegan() {
    start(milliseconds(500));
    start(milliseconds(500));
    Io.run_for(milliseconds(10));
    Next = false;
    start(milliseconds(500));
    Io.run();
    CPPUNIT_ASSERT_EQUAL(2, Rounds);
    CPPUNIT_ASSERT((Results == std::vector<bool>{true, true, false}));
  }

  void aRoundWithoutResultIsRepeatedUntilTheLimit() {
    Next = std::nullopt;
    start(milliseconds(70));
    start(milliseconds(500));
    Io.run_for(milliseconds(100));
    CPPUNIT_ASSERT(Results == std::vector<bool>{false});
    CPPUNIT_ASSERT(Rounds > 1);
    Next = true;
    Io.run();
    CPPUNIT_ASSERT((Results == std::vector<bool>{false, true}));
  }

  void anExceptionDoesNotEndTheChecks() {
    Throws = true;
    start(milliseconds(500));
    Io.run();
    CPPUNIT_ASSERT_EQUAL(1, Errors);
    CPPUNIT_ASSERT(Results == std::vector<bool>{true});
  }

  void aRoundIsRunOnDemandOnly() {
    start(milliseconds(500));
    Io.run();
    Io.restart();
    start(milliseconds(500));
    Io.run();
    CPPUNIT_ASSERT_EQUAL(2, Rounds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SharedCheckTest);

} // namespace
} // namespace borageridge::runtime
