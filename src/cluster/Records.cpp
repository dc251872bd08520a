#include "cluster/Records.h"

#include <nlohmann/json.hpp>

namespace borageridge::cluster {
namespace {

using nlohmann::json;

const Failure BadRecord{FailureKind::Corrupt, "record cannot be decoded"};

bool isInteger(const json &Object, const char *Key) {
  return Object.contains(Key) && Object[Key].is_number_integer();
}

bool isString(const json &Object, const char *Key) {
  return Object.contains(Key) && Object[Key].is_string();
}

} // namespace

std::string encode(const GroupRecord &Record) {
  json Object = {{"term", Record.PrimaryTerm},
                 {"primary", Record.Primary},
                 {"changing", Record.Changing},
                 {"born", Record.PrimaryIncarnation},
                 {"era", eraOf(Record.Epoch)}};
  if (!Record.Candidate.empty())
    Object["candidate"] = Record.Candidate;
  return Object.dump();
}

Expected<GroupRecord> decodeGroup(std::string_view Json,
                                  keyvalue::Revision Changed) {
  const json Object = json::parse(Json, nullptr, false);
  if (!Object.is_object() || !isInteger(Object, "term") ||
      !isString(Object, "primary") || !Object.contains("changing") ||
      !Object["changing"].is_boolean() || !isInteger(Object, "born") ||
      (Object.contains("era") && !Object["era"].is_number_unsigned()) ||
      (Object.contains("candidate") && !Object["candidate"].is_string()))
    return BadRecord;
  GroupRecord Result;
  // Records of the first era may lack it.
  const keyvalue::Era Era = Object.value("era", keyvalue::FirstEra);
  if (Era < keyvalue::FirstEra || Era > keyvalue::LastEra)
    return BadRecord;
  Result.Epoch = makeEpoch(Era, Changed);
  Result.PrimaryTerm = Object["term"].get<Term>();
  Result.Primary = Object["primary"].get<std::string>();
  Result.Changing = Object["changing"].get<bool>();
  Result.PrimaryIncarnation = Object["born"].get<std::int64_t>();
  Result.Candidate = Object.value("candidate", std::string());
  return Result;
}

std::string encode(const DaemonRecord &Record) {
  return json{{"name", Record.Name},
              {"ip", Record.Ip},
              {"port", Record.PeerPort},
              {"availability_zone", Record.AvailabilityZone},
              {"incarnation", Record.Incarnation},
              {"processor_share", Record.ProcessorShare}}
      .dump();
}

Expected<DaemonRecord> decodeDaemon(std::string_view Json) {
  const json Object = json::parse(Json, nullptr, false);
  if (!Object.is_object() || !isString(Object, "name") ||
      !isString(Object, "ip") || !isInteger(Object, "port") ||
      !isString(Object, "availability_zone") ||
      !isInteger(Object, "incarnation"))
    return BadRecord;
  DaemonRecord Result;
  Result.Name = Object["name"].get<std::string>();
  Result.Ip = Object["ip"].get<std::string>();
  Result.PeerPort = Object["port"].get<std::uint16_t>();
  Result.AvailabilityZone = Object["availability_zone"].get<std::string>();
  Result.Incarnation = Object["incarnation"].get<std::uint64_t>();
  if (isInteger(Object, "processor_share"))
    Result.ProcessorShare = Object["processor_share"].get<std::uint32_t>();
  return Result;
}

} // namespace borageridge::cluster
