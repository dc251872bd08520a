#include "cluster/Records.h"

#include <nlohmann/json.hpp>

namespace borageridge::cluster {
namespace {

using nlohmann::json;

const Failure BadRecord{FailureKind::Corrupt, "record cannot be decoded"};

bool isWhole(const json &Object, const char *Key) {
  return Object.contains(Key) && Object[Key].is_number_integer();
}

bool isText(const json &Object, const char *Key) {
  return Object.contains(Key) && Object[Key].is_string();
}

} // namespace

std::string encode(const GroupRecord &Record) {
  return json{{"term", Record.PrimaryTerm},
              {"primary", Record.Primary},
              {"changing", Record.Changing},
              {"born", Record.PrimaryBorn}}
      .dump();
}

Expected<GroupRecord> decodeGroup(std::string_view Json,
                                  keyvalue::Revision Changed) {
  const json Object = json::parse(Json, nullptr, false);
  if (!Object.is_object() || !isWhole(Object, "term") ||
      !isText(Object, "primary") || !Object.contains("changing") ||
      !Object["changing"].is_boolean() || !isWhole(Object, "born"))
    return BadRecord;
  GroupRecord Result;
  Result.Epoch = Changed;
  Result.PrimaryTerm = Object["term"].get<Term>();
  Result.Primary = Object["primary"].get<std::string>();
  Result.Changing = Object["changing"].get<bool>();
  Result.PrimaryBorn = Object["born"].get<std::int64_t>();
  return Result;
}

std::string encode(const DaemonRecord &Record) {
  return json{{"name", Record.Name},
              {"ip", Record.Ip},
              {"port", Record.PeerPort},
              {"availability_zone", Record.AvailabilityZone},
              {"incarnation", Record.Incarnation}}
      .dump();
}

Expected<DaemonRecord> decodeDaemon(std::string_view Json) {
  const json Object = json::parse(Json, nullptr, false);
  if (!Object.is_object() || !isText(Object, "name") || !isText(Object, "ip") ||
      !isWhole(Object, "port") || !isText(Object, "availability_zone") ||
      !isWhole(Object, "incarnation"))
    return BadRecord;
  DaemonRecord Result;
  Result.Name = Object["name"].get<std::string>();
  Result.Ip = Object["ip"].get<std::string>();
  Result.PeerPort = Object["port"].get<std::uint16_t>();
  Result.AvailabilityZone = Object["availability_zone"].get<std::string>();
  Result.Incarnation = Object["incarnation"].get<std::uint64_t>();
  return Result;
}

} // namespace borageridge::cluster
