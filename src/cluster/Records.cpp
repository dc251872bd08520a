#include "cluster/Records.h"

#include "common/BoundedJson.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace borageridge::cluster {
namespace {

using nlohmann::json;

const Failure BadRecord{FailureKind::Corrupt, "record cannot be decoded"};

// Records are flat objects.
constexpr std::size_t MaxDepth = 2;
constexpr std::int64_t MaxNumber = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t MinNumber = std::numeric_limits<std::int64_t>::min();
// The port after the peer port is used as well.
constexpr std::int64_t MaxPeerPort = 65534;
// Thousandths of a core.
constexpr std::int64_t MaxProcessorShare = 1024000;

bool isString(const json &Object, const char *Key) {
  return Object.contains(Key) && Object[Key].is_string();
}

// Two lists of the same length, since records are flat.
std::optional<std::vector<Receiver>> receiversOf(const json &Object) {
  std::vector<Receiver> Result;
  if (!Object.contains("receivers") && !Object.contains("receivers_born"))
    return Result;
  const json Members = Object.value("receivers", json());
  const json Born = Object.value("receivers_born", json());
  if (!Members.is_array() || !Born.is_array() || Members.size() != Born.size())
    return std::nullopt;
  for (std::size_t I = 0; I < Members.size(); ++I) {
    if (!Members[I].is_string() || !Born[I].is_number_integer() ||
        (Born[I].is_number_unsigned() &&
         Born[I].get<std::uint64_t>() > static_cast<std::uint64_t>(MaxNumber)))
      return std::nullopt;
    Result.push_back(
        {Members[I].get<std::string>(), Born[I].get<std::int64_t>()});
  }
  return Result;
}

bool isListOfStrings(const json &Value) {
  return Value.is_array() &&
         std::all_of(Value.begin(), Value.end(),
                     [](const json &Each) { return Each.is_string(); });
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
  if (!Record.Unsettled.empty())
    Object["unsettled"] = Record.Unsettled;
  if (!Record.Writer.empty()) {
    Object["writer"] = Record.Writer;
    Object["writer_token"] = Record.WriterToken;
  }
  if (!Record.Receivers.empty()) {
    json Members = json::array();
    json Born = json::array();
    for (const Receiver &Each : Record.Receivers) {
      Members.push_back(Each.Member);
      Born.push_back(Each.Incarnation);
    }
    Object["receivers"] = std::move(Members);
    Object["receivers_born"] = std::move(Born);
  }
  return Object.dump();
}

Expected<GroupRecord> decodeGroup(std::string_view Json,
                                  keyvalue::Revision Changed) {
  const std::optional<json> Decoded = parseJson(Json, MaxDepth);
  if (!Decoded || !Decoded->is_object())
    return BadRecord;
  const json &Object = *Decoded;
  const auto Term = integerIn(Object, "term", 0, MaxNumber);
  const auto Born = integerIn(Object, "born", MinNumber, MaxNumber);
  std::optional<std::vector<Receiver>> Receivers = receiversOf(Object);
  if (!Term || !Born || !Receivers || !isString(Object, "primary") ||
      !Object.contains("changing") || !Object["changing"].is_boolean() ||
      (Object.contains("era") && !Object["era"].is_number_unsigned()) ||
      (Object.contains("candidate") && !Object["candidate"].is_string()) ||
      (Object.contains("unsettled") && !isListOfStrings(Object["unsettled"])) ||
      (Object.contains("writer") &&
       (!Object["writer"].is_string() || !Object.contains("writer_token") ||
        !Object["writer_token"].is_number_unsigned())))
    return BadRecord;
  GroupRecord Result;
  // Records of the first era may lack it.
  const keyvalue::Era Era = Object.value("era", keyvalue::FirstEra);
  if (Era < keyvalue::FirstEra || Era > keyvalue::LastEra)
    return BadRecord;
  Result.Epoch = makeEpoch(Era, Changed);
  Result.PrimaryTerm = static_cast<borageridge::Term>(*Term);
  Result.Primary = Object["primary"].get<std::string>();
  Result.Changing = Object["changing"].get<bool>();
  Result.PrimaryIncarnation = *Born;
  Result.Candidate = Object.value("candidate", std::string());
  Result.Unsettled = Object.value("unsettled", std::vector<std::string>());
  Result.Writer = Object.value("writer", std::string());
  Result.WriterToken = Object.value("writer_token", Epoch(0));
  Result.Receivers = std::move(*Receivers);
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
  const std::optional<json> Decoded = parseJson(Json, MaxDepth);
  if (!Decoded || !Decoded->is_object())
    return BadRecord;
  const json &Object = *Decoded;
  const auto Port = integerIn(Object, "port", 1, MaxPeerPort);
  const bool HasIncarnation = Object.contains("incarnation") &&
                              Object["incarnation"].is_number_unsigned();
  if (!Port || !HasIncarnation || !isString(Object, "name") ||
      !isString(Object, "ip") || !isString(Object, "availability_zone"))
    return BadRecord;
  DaemonRecord Result;
  Result.Name = Object["name"].get<std::string>();
  Result.Ip = Object["ip"].get<std::string>();
  Result.PeerPort = static_cast<std::uint16_t>(*Port);
  Result.AvailabilityZone = Object["availability_zone"].get<std::string>();
  Result.Incarnation = Object["incarnation"].get<std::uint64_t>();
  if (const auto Share =
          integerIn(Object, "processor_share", 0, MaxProcessorShare))
    Result.ProcessorShare = static_cast<std::uint32_t>(*Share);
  return Result;
}

} // namespace borageridge::cluster
