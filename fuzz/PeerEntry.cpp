#include "FuzzEntry.h"

#include "peer/Messages.h"

#include <cstdint>

namespace borageridge::fuzz {
namespace {

std::string body(peer::Message Content) {
  Content["id"] = 7;
  return peer::encodeFrame(Content).substr(peer::FrameHeaderBytes);
}

peer::StateReport report() {
  peer::StateReport Result;
  peer::GroupReport Group;
  Group.Record = {"ledger", 7, R"({"term":1})"};
  Group.Primary = "i-1";
  Group.PrimarySilence = peer::Silence{std::chrono::milliseconds(450), true};
  Group.Sample = peer::PositionSample{6, std::chrono::milliseconds(12), 2, 90};
  Result.Groups.push_back(std::move(Group));
  Result.InFlight["i-1"] = 3;
  Result.StarvedMembers = {"i-2"};
  return Result;
}

} // namespace

std::vector<std::string> seeds() {
  return {body(encode(report())),
          body(encode(peer::ExchangeRequest{"entry-1"})),
          body(encode(peer::RecordNotice{{"ledger", 7, "{}"}})),
          body(encode(peer::RelinquishRequest{{"ledger", 7, "{}"}, 6})),
          body(encode(peer::RelayRequest{"GET", "/v1/kv-range?prefix=a", "",
                                         std::chrono::milliseconds(800)})),
          body(encode(peer::RelayReply{200, "{}", false}))};
}

// A frame is decoded as each kind of message, since its sender decides what it
// claims to be.
std::string decode(std::string_view Input) {
  const auto *Begin = reinterpret_cast<const std::uint8_t *>(Input.data());
  const auto Frame = peer::decodeFrame({Begin, Input.size()});
  if (!Frame)
    return std::string(name(Frame.error().Kind));
  const auto Report = peer::decodeReport(Frame.value());
  if (Report)
    for (const peer::GroupReport &Group : Report.value().Groups)
      check(!Group.Sample || Group.Sample->Age >= Duration(),
            "a sample is dated in the future");
  const auto Request = peer::decodeRequest(Frame.value());
  const auto Reply = peer::decodeRelayReply(Frame.value());
  peer::decodeRelinquished(Frame.value());
  return Report || Request || Reply ? "accepted" : "no_message";
}

} // namespace borageridge::fuzz
