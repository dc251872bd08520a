#include "settings/Fields.h"

#include <algorithm>
#include <array>
#include <type_traits>

namespace borageridge::settings {
namespace {

// In the order of the enumerators.
constexpr std::array<std::string_view, 2> Transports{"plaintext", "tls"};
constexpr std::array<std::string_view, 2> Policies{"two_level", "one_level"};
constexpr std::array<std::string_view, 5> Levels{"trace", "debug", "info",
                                                 "warning", "error"};

constexpr std::int64_t Second = 1000;
constexpr std::int64_t Minute = 60 * Second;
constexpr std::int64_t KiB = 1024;
constexpr std::int64_t MiB = 1024 * KiB;

template <typename T> void assign(T &Target, const FieldValue &Value) {
  if constexpr (std::is_same_v<T, std::vector<std::string>>)
    Target = std::get<std::vector<std::string>>(Value);
  else if constexpr (std::is_same_v<T, Milliseconds>)
    Target = Milliseconds(std::get<std::int64_t>(Value));
  else if constexpr (std::is_integral_v<T> || std::is_enum_v<T>)
    Target = static_cast<T>(std::get<std::int64_t>(Value));
  else
    Target = std::get<std::string>(Value);
}

template <typename T> FieldValue present(const T &Source) {
  if constexpr (std::is_same_v<T, Milliseconds>)
    return Source.count();
  else if constexpr (std::is_integral_v<T> || std::is_enum_v<T>)
    return static_cast<std::int64_t>(Source);
  else if constexpr (std::is_same_v<T, std::filesystem::path>)
    return Source.string();
  else
    return Source;
}

template <auto Section, auto Member>
Field field(std::string_view SectionName, std::string_view Key, FieldType Type,
            bool Required) {
  Field Result;
  Result.Section = SectionName;
  Result.Key = Key;
  Result.Type = Type;
  Result.Required = Required;
  Result.Store = [](ProxySettings &Settings, const FieldValue &Value) {
    assign(Settings.*Section.*Member, Value);
  };
  Result.Read = [](const ProxySettings &Settings) {
    return present(Settings.*Section.*Member);
  };
  return Result;
}

template <auto Section, auto Member>
Field required(std::string_view SectionName, std::string_view Key,
               FieldType Type) {
  return field<Section, Member>(SectionName, Key, Type, true);
}

template <auto Section, auto Member>
Field optional(std::string_view SectionName, std::string_view Key,
               FieldType Type) {
  return field<Section, Member>(SectionName, Key, Type, false);
}

template <auto Section, auto Member>
Field number(std::string_view SectionName, std::string_view Key,
             std::int64_t Min, std::int64_t Max,
             FieldType Type = FieldType::Integer) {
  Field Result = field<Section, Member>(SectionName, Key, Type, false);
  Result.Min = Min;
  Result.Max = Max;
  return Result;
}

template <auto Section, auto Member>
Field duration(std::string_view SectionName, std::string_view Key,
               std::int64_t Min, std::int64_t Max) {
  return number<Section, Member>(SectionName, Key, Min, Max,
                                 FieldType::DurationMs);
}

template <auto Section, auto Member>
Field choice(std::string_view SectionName, std::string_view Key,
             std::span<const std::string_view> Choices, bool Required) {
  Field Result =
      field<Section, Member>(SectionName, Key, FieldType::Choice, Required);
  Result.Choices = Choices;
  return Result;
}

void addInstance(std::vector<Field> &Out) {
  constexpr auto S = &ProxySettings::Instance;
  using T = InstanceSettings;
  const std::string_view Name = "instance";
  Out.push_back(required<S, &T::Name>(Name, "name", FieldType::Name));
  Out.push_back(required<S, &T::AvailabilityZone>(Name, "availability_zone",
                                                  FieldType::Name));
  Out.push_back(required<S, &T::CallerAddress>(Name, "caller_address",
                                               FieldType::ListenAddress));
  Out.push_back(
      required<S, &T::PeerAddress>(Name, "peer_address", FieldType::Address));
  Out.push_back(required<S, &T::AdminAddress>(Name, "admin_address",
                                              FieldType::ListenAddress));
  Out.push_back(required<S, &T::MetricsAddress>(Name, "metrics_address",
                                                FieldType::ListenAddress));
}

void addPlatform(std::vector<Field> &Out) {
  constexpr auto S = &ProxySettings::Store;
  using Store = StoreSettings;
  Out.push_back(required<S, &Store::Addresses>("store", "addresses",
                                               FieldType::AddressList));
  Out.push_back(
      optional<S, &Store::Prefix>("store", "prefix", FieldType::Prefix));
  Out.push_back(
      duration<S, &Store::CallTimeout>("store", "call_timeout_ms", 10, Minute));
  constexpr auto L = &ProxySettings::InstanceList;
  using List = InstanceListSettings;
  Out.push_back(required<L, &List::Address>("instance_list", "address",
                                            FieldType::Address));
  Out.push_back(duration<L, &List::PollInterval>(
      "instance_list", "poll_interval_ms", 100, Minute));
  constexpr auto P = &ProxySettings::Peers;
  Out.push_back(optional<P, &PeerSettings::Seeds>("peers", "seeds",
                                                  FieldType::AddressList));
  Out.push_back(duration<P, &PeerSettings::ExchangeInterval>(
      "peers", "exchange_interval_ms", 20, 10 * Second));
}

void addSecurity(std::vector<Field> &Out) {
  constexpr auto S = &ProxySettings::Security;
  using T = SecuritySettings;
  const std::string_view Name = "security";
  // Required, so that plaintext is never used by omission.
  Out.push_back(choice<S, &T::Mode>(Name, "transport", Transports, true));
  Out.push_back(optional<S, &T::CertificateFile>(Name, "certificate_file",
                                                 FieldType::Path));
  Out.push_back(optional<S, &T::KeyFile>(Name, "key_file", FieldType::Path));
  Out.push_back(
      optional<S, &T::AuthorityFile>(Name, "authority_file", FieldType::Path));
  Out.push_back(
      required<S, &T::TokenKeyFile>(Name, "token_key_file", FieldType::Path));
  Out.push_back(
      required<S, &T::CallersFile>(Name, "callers_file", FieldType::Path));
}

void addLimits(std::vector<Field> &Out) {
  constexpr auto S = &ProxySettings::Limits;
  using T = LimitSettings;
  const std::string_view Name = "limits";
  Out.push_back(
      number<S, &T::MaxMessageBytes>(Name, "max_message_bytes", KiB, 64 * MiB));
  Out.push_back(number<S, &T::MaxMetadataBytes>(Name, "max_metadata_bytes", KiB,
                                                64 * KiB));
  Out.push_back(number<S, &T::MaxStreamsPerConnection>(
      Name, "max_streams_per_connection", 1, 100000));
  Out.push_back(number<S, &T::MaxQueuedRequests>(Name, "max_queued_requests", 1,
                                                 1000000));
  Out.push_back(
      number<S, &T::MaxQueuedBytes>(Name, "max_queued_bytes", KiB, 4096 * MiB));
  Out.push_back(
      duration<S, &T::DrainTimeout>(Name, "drain_timeout_ms", 0, 10 * Minute));
}

void addFailover(std::vector<Field> &Out) {
  constexpr auto S = &ProxySettings::Failover;
  using T = FailoverSettings;
  const std::string_view Name = "failover";
  Out.push_back(
      duration<S, &T::PingInterval>(Name, "ping_interval_ms", 10, 10 * Second));
  Out.push_back(
      duration<S, &T::QuickSuspicion>(Name, "quick_suspicion_ms", 20, Minute));
  Out.push_back(duration<S, &T::RefusedConfirmation>(
      Name, "refused_confirmation_ms", 0, Minute));
  Out.push_back(duration<S, &T::SilentConfirmation>(
      Name, "silent_confirmation_ms", 20, Minute));
  Out.push_back(duration<S, &T::MinimumChangeInterval>(
      Name, "minimum_change_interval_ms", Second, 10 * Minute));
  Out.push_back(choice<S, &T::Policy>(Name, "policy", Policies, false));
}

std::vector<Field> allFields() {
  std::vector<Field> Result;
  addInstance(Result);
  addPlatform(Result);
  addSecurity(Result);
  addLimits(Result);
  addFailover(Result);
  Result.push_back(choice<&ProxySettings::Log, &LogSettings::Level>(
      "log", "level", Levels, false));
  return Result;
}

std::string joinChoices(std::span<const std::string_view> Choices) {
  std::string Result;
  for (const std::string_view Choice : Choices)
    Result.append(Result.empty() ? "\"" : ", \"").append(Choice).append("\"");
  return Result;
}

} // namespace

std::string_view name(FieldType Type) {
  switch (Type) {
  case FieldType::Name:
    return "name";
  case FieldType::ListenAddress:
    return "listen address";
  case FieldType::Address:
    return "address";
  case FieldType::AddressList:
    return "array of addresses";
  case FieldType::Prefix:
    return "prefix";
  case FieldType::Path:
    return "path";
  case FieldType::Integer:
    return "integer";
  case FieldType::DurationMs:
    return "milliseconds";
  case FieldType::Choice:
    return "choice";
  }
  return "name";
}

std::string Field::fullKey() const {
  return std::string(Section) + "." + std::string(Key);
}

std::string Field::range() const {
  switch (Type) {
  case FieldType::Name:
    return "1 to 64 letters, digits, \".\", \"_\" and \"-\"";
  case FieldType::ListenAddress:
    return "IP:port";
  case FieldType::Address:
    return "IP:port, not 0.0.0.0 or [::]";
  case FieldType::AddressList:
    return std::string(Required ? "1" : "0") +
           " to 64 different IP:port, not 0.0.0.0 or [::]";
  case FieldType::Prefix:
    return "1 to 256 printable characters; starts and ends with \"/\"";
  case FieldType::Path:
    return "1 to 4096 bytes";
  case FieldType::Integer:
  case FieldType::DurationMs:
    return std::to_string(Min) + " to " + std::to_string(Max);
  case FieldType::Choice:
    return joinChoices(Choices);
  }
  return "";
}

std::string Field::defaultText() const {
  if (Required)
    return "";
  const FieldValue Value = Read(ProxySettings());
  if (std::holds_alternative<std::vector<std::string>>(Value))
    return "[]";
  if (const auto *Text = std::get_if<std::string>(&Value))
    return Text->empty() ? "" : "\"" + *Text + "\"";
  const std::int64_t Number = std::get<std::int64_t>(Value);
  if (Type == FieldType::Choice)
    return joinChoices(Choices.subspan(Number, 1));
  return std::to_string(Number);
}

std::span<const Field> fields() {
  static const std::vector<Field> All = allFields();
  return All;
}

} // namespace borageridge::settings
