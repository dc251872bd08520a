#include "borageridge/Failure.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace borageridge {
namespace {

class FailureTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FailureTest);
  CPPUNIT_TEST(printsKindAndDetail);
  CPPUNIT_TEST(expectedHoldsEitherAValueOrAFailure);
  CPPUNIT_TEST_SUITE_END();

  void printsKindAndDetail() {
    std::ostringstream Out;
    Out << Failure{FailureKind::Conflict, "version 3"};
    CPPUNIT_ASSERT_EQUAL(std::string("conflict: version 3"), Out.str());
  }

  void expectedHoldsEitherAValueOrAFailure() {
    const Expected<int> Value = 7;
    const Expected<int> Error = Failure{FailureKind::NotFound, "key"};
    CPPUNIT_ASSERT(Value.has_value());
    CPPUNIT_ASSERT_EQUAL(7, Value.value());
    CPPUNIT_ASSERT(!Error.has_value());
    CPPUNIT_ASSERT_EQUAL(Failure({FailureKind::NotFound, "key"}),
                         Error.error());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailureTest);

} // namespace
} // namespace borageridge
