#include "peer/Messages.h"

#include <algorithm>
#include <limits>
#include <string_view>

namespace borageridge::peer {
namespace {

// Far more than an organisation can run at once.
constexpr std::uint64_t MaxQuotaTokens = 1 << 20;

// Longer than any age, silence or time limit that a daemon sends.
constexpr Duration MaxDuration = std::chrono::hours(1);

std::int64_t microseconds(Duration D) {
  return std::chrono::duration_cast<std::chrono::microseconds>(D).count();
}

// Reads typed fields and records the first that does not fit.
class FieldReader {
public:
  explicit FieldReader(const Message &Object) : Content(Object) {
    if (!Object.is_object())
      reject("message");
  }

  std::string text(const char *Key) {
    const Message *Field = find(Key);
    if (Field == nullptr)
      return {};
    if (Field->is_string())
      return Field->get<std::string>();
    reject(Key);
    return {};
  }

  bool flag(const char *Key) {
    const Message *Field = find(Key);
    if (Field == nullptr)
      return false;
    if (!Field->is_boolean())
      reject(Key);
    return Field->is_boolean() && Field->get<bool>();
  }

  std::uint64_t
  number(const char *Key,
         std::uint64_t Max = std::numeric_limits<std::uint64_t>::max()) {
    const Message *Field = find(Key);
    return Field == nullptr ? 0 : toNumber(*Field, Key, Max);
  }

  Duration duration(const char *Key) {
    return std::chrono::microseconds(
        number(Key, static_cast<std::uint64_t>(microseconds(MaxDuration))));
  }

  std::vector<std::string> texts(const char *Key) {
    std::vector<std::string> Result;
    for (const Message &Entry : array(Key)) {
      if (Entry.is_string())
        Result.push_back(Entry.get<std::string>());
      else
        reject(Key);
    }
    return Result;
  }

  std::map<std::string, std::uint32_t> counts(const char *Key) {
    std::map<std::string, std::uint32_t> Result;
    const Message *Field = find(Key);
    if (Field == nullptr)
      return Result;
    if (!Field->is_object()) {
      reject(Key);
      return Result;
    }
    constexpr std::uint64_t Max = std::numeric_limits<std::uint32_t>::max();
    for (const auto &[Name, Count] : Field->items())
      Result[Name] = static_cast<std::uint32_t>(toNumber(Count, Key, Max));
    return Result;
  }

  const Message &array(const char *Key) {
    static const Message Empty = Message::array();
    const Message *Field = find(Key);
    if (Field == nullptr)
      return Empty;
    if (!Field->is_array())
      reject(Key);
    return Field->is_array() ? *Field : Empty;
  }

  bool has(const char *Key) const { return find(Key) != nullptr; }

  const std::optional<Failure> &error() const { return FirstError; }

  void reject(std::string_view Key) {
    if (!FirstError)
      FirstError = Failure{FailureKind::Corrupt,
                           "invalid field \"" + std::string(Key) + "\""};
  }

private:
  const Message *find(const char *Key) const {
    if (!Content.is_object())
      return nullptr;
    const auto Found = Content.find(Key);
    return Found == Content.end() ? nullptr : &*Found;
  }

  std::uint64_t toNumber(const Message &Field, const char *Key,
                         std::uint64_t Max) {
    const bool IsNumber =
        Field.is_number_unsigned() ||
        (Field.is_number_integer() && Field.get<std::int64_t>() >= 0);
    const std::uint64_t Value = IsNumber ? Field.get<std::uint64_t>() : 0;
    if (!IsNumber || Value > Max)
      reject(Key);
    return std::min(Value, Max);
  }

  const Message &Content;
  std::optional<Failure> FirstError;
};

EncodedRecord readRecord(FieldReader &Reader) {
  return {Reader.text("service"), Reader.number("epoch"),
          Reader.text("record")};
}

Message encodeRecord(const EncodedRecord &Record) {
  return {{"service", Record.Service},
          {"epoch", Record.Epoch},
          {"record", Record.Record}};
}

// The text becomes the start line of an HTTP request.
bool isRequestTarget(std::string_view Target) {
  return Target.starts_with('/') &&
         std::all_of(Target.begin(), Target.end(),
                     [](char C) { return C > ' ' && C < '\x7f'; });
}

RelayRequest readRelayRequest(FieldReader &Reader) {
  RelayRequest Result{Reader.text("method"), Reader.text("target"),
                      Reader.text("body"), Reader.duration("limit_us")};
  if (Result.Method != "GET" && Result.Method != "POST" &&
      Result.Method != "DELETE")
    Reader.reject("method");
  if (!isRequestTarget(Result.Target))
    Reader.reject("target");
  return Result;
}

Request readRequest(FieldReader &Reader) {
  const std::string Type = Reader.text("type");
  if (Type == "exchange")
    return ExchangeRequest{Reader.text("from")};
  if (Type == "record")
    return RecordNotice{readRecord(Reader)};
  if (Type == "relinquish")
    return RelinquishRequest{readRecord(Reader), Reader.number("ends")};
  if (Type == "relay")
    return readRelayRequest(Reader);
  if (Type == "quota")
    return QuotaRequest{
        Reader.number("counter"), Reader.text("organisation"),
        static_cast<std::uint32_t>(Reader.number("wanted", MaxQuotaTokens))};
  Reader.reject("type");
  return ExchangeRequest{};
}

GroupReport readGroup(FieldReader &Reader) {
  GroupReport Result;
  Result.Record = readRecord(Reader);
  Result.Primary = Reader.text("primary");
  if (Reader.has("silent_us"))
    Result.PrimarySilence =
        Silence{Reader.duration("silent_us"), Reader.flag("refused")};
  if (Reader.has("sample_age_us"))
    Result.Sample = PositionSample{
        Reader.number("log_epoch"), Reader.duration("sample_age_us"),
        static_cast<Term>(Reader.number("sample_term")),
        static_cast<LogIndex>(Reader.number("sample_index"))};
  return Result;
}

} // namespace

Expected<Request> decodeRequest(const Message &Content) {
  FieldReader Reader(Content);
  Request Result = readRequest(Reader);
  if (Reader.error())
    return *Reader.error();
  return Result;
}

Expected<StateReport> decodeReport(const Message &Content) {
  FieldReader Reader(Content);
  StateReport Result;
  for (const Message &Entry : Reader.array("groups")) {
    FieldReader Group(Entry);
    Result.Groups.push_back(readGroup(Group));
    if (Group.error())
      return *Group.error();
  }
  Result.InFlight = Reader.counts("in_flight");
  Result.StarvedMembers = Reader.texts("starved");
  Result.ConfigVersion = Reader.number("config");
  if (Reader.has("config_age_us"))
    Result.ConfigAge = Reader.duration("config_age_us");
  Result.ReachesStore = Reader.flag("store");
  if (Reader.error())
    return *Reader.error();
  return Result;
}

Expected<RelayReply> decodeRelayReply(const Message &Content) {
  FieldReader Reader(Content);
  RelayReply Result;
  constexpr std::uint64_t MaxStatus = 599;
  if (Reader.has("status"))
    Result.Status = static_cast<unsigned>(Reader.number("status", MaxStatus));
  Result.Body = Reader.text("body");
  Result.StoreEra = Reader.number("era");
  Result.NotExecuted = Reader.text("failure") == "unavailable";
  if (Reader.error())
    return *Reader.error();
  return Result;
}

Expected<QuotaReply> decodeQuotaReply(const Message &Content) {
  FieldReader Reader(Content);
  QuotaReply Result{
      Reader.flag("holder"),
      static_cast<std::uint32_t>(Reader.number("granted", MaxQuotaTokens))};
  if (Reader.error())
    return *Reader.error();
  return Result;
}

bool decodeRelinquished(const Message &Content) {
  FieldReader Reader(Content);
  return Reader.flag("done") && !Reader.error();
}

Message encode(const ExchangeRequest &Asked) {
  return {{"type", "exchange"}, {"from", Asked.From}};
}

Message encode(const RecordNotice &Notice) {
  Message Result = encodeRecord(Notice.Newer);
  Result["type"] = "record";
  return Result;
}

Message encode(const RelinquishRequest &Asked) {
  Message Result = encodeRecord(Asked.Newer);
  Result["type"] = "relinquish";
  Result["ends"] = Asked.EndsEpoch;
  return Result;
}

Message encode(const RelayRequest &Asked) {
  return {{"type", "relay"},
          {"method", Asked.Method},
          {"target", Asked.Target},
          {"body", Asked.Body},
          {"limit_us", microseconds(Asked.Limit)}};
}

Message encode(const QuotaRequest &Asked) {
  return {{"type", "quota"},
          {"counter", Asked.Counter},
          {"organisation", Asked.Organisation},
          {"wanted", Asked.Wanted}};
}

Message encode(const QuotaReply &Reply) {
  return {{"holder", Reply.IsHolder}, {"granted", Reply.Granted}};
}

Message encode(const StateReport &Report) {
  Message Groups = Message::array();
  for (const GroupReport &Group : Report.Groups) {
    Message Entry = encodeRecord(Group.Record);
    Entry["primary"] = Group.Primary;
    if (Group.PrimarySilence) {
      Entry["silent_us"] = microseconds(
          std::clamp(Group.PrimarySilence->Elapsed, Duration(), MaxDuration));
      Entry["refused"] = Group.PrimarySilence->Refused;
    }
    // An older sample is of no use to anybody.
    if (Group.Sample && Group.Sample->Age >= Duration() &&
        Group.Sample->Age <= MaxDuration) {
      Entry["log_epoch"] = Group.Sample->LogEpoch;
      Entry["sample_age_us"] = microseconds(Group.Sample->Age);
      Entry["sample_term"] = Group.Sample->EntryTerm;
      Entry["sample_index"] = Group.Sample->Index;
    }
    Groups.push_back(std::move(Entry));
  }
  Message Result = {{"groups", std::move(Groups)},
                    {"in_flight", Report.InFlight},
                    {"starved", Report.StarvedMembers},
                    {"config", Report.ConfigVersion},
                    {"store", Report.ReachesStore}};
  if (Report.ConfigAge && *Report.ConfigAge <= MaxDuration)
    Result["config_age_us"] =
        microseconds(std::max(*Report.ConfigAge, Duration()));
  return Result;
}

Message encode(const RelayReply &Reply) {
  if (!Reply.Status)
    return {{"failure", Reply.NotExecuted ? "unavailable" : "unknown"}};
  return {
      {"status", *Reply.Status}, {"body", Reply.Body}, {"era", Reply.StoreEra}};
}

Message encodeRelinquished() { return {{"done", true}}; }

} // namespace borageridge::peer
