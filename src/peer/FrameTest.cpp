#include "peer/Frame.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace borageridge::peer {
namespace {

class FrameTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FrameTest);
  CPPUNIT_TEST(decodesWhatWasEncoded);
  CPPUNIT_TEST(rejectsFramesThatAreNoObjectWithAnId);
  CPPUNIT_TEST(rejectsTruncatedFrames);
  CPPUNIT_TEST(rejectsDeepNestingWithoutUsingTheStack);
  CPPUNIT_TEST_SUITE_END();

  static std::vector<std::uint8_t> body(const Message &Content) {
    const std::string Frame = encodeFrame(Content);
    return {Frame.begin() + FrameHeaderBytes, Frame.end()};
  }

  static void assertRejected(const std::vector<std::uint8_t> &Bytes) {
    CPPUNIT_ASSERT(decodeFrame(Bytes).error().Kind == FailureKind::Corrupt);
  }

  void decodesWhatWasEncoded() {
    const Message Content = {{"id", 3}, {"type", "exchange"}};
    const std::string Frame = encodeFrame(Content);
    std::array<std::uint8_t, FrameHeaderBytes> Header{};
    std::copy_n(Frame.begin(), FrameHeaderBytes, Header.begin());
    CPPUNIT_ASSERT_EQUAL(Frame.size() - FrameHeaderBytes, frameSize(Header));
    CPPUNIT_ASSERT(Content == decodeFrame(body(Content)).value());
  }

  void rejectsFramesThatAreNoObjectWithAnId() {
    for (const Message &Content :
         {Message(1), Message::array({1}), Message{{"type", "exchange"}},
          Message{{"id", "1"}}, Message{{"id", -1}}, Message{{"id", nullptr}}})
      assertRejected(body(Content));
  }

  void rejectsTruncatedFrames() {
    std::vector<std::uint8_t> Bytes =
        body({{"id", 3}, {"in_flight", {{"m", 2}}}});
    while (!Bytes.empty()) {
      Bytes.pop_back();
      assertRejected(Bytes);
    }
  }

  // 0x91 begins an array of one element.
  void rejectsDeepNestingWithoutUsingTheStack() {
    assertRejected(std::vector<std::uint8_t>(MaxFrameBytes, 0x91));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FrameTest);

} // namespace
} // namespace borageridge::peer
