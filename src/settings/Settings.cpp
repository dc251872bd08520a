#include "settings/Settings.h"

#include "settings/Address.h"
#include "settings/Fields.h"
#include "settings/TomlText.h"

#include <algorithm>
#include <array>
#include <optional>
#include <set>

namespace borageridge::settings {
namespace {

using Reason = SettingsError::Reason;
using Checked = Expected<FieldValue, SettingsError>;

constexpr std::size_t MaxNameBytes = 64;
constexpr std::size_t MaxPrefixBytes = 256;
constexpr std::size_t MaxPathBytes = 4096;
constexpr std::size_t MaxAddresses = 64;

SettingsError wrongType(const Field &F, const toml::node &Node,
                        std::string_view Wanted) {
  return at(Node, failure(Reason::WrongType, F.fullKey(),
                          "expected " + std::string(Wanted) + ", found " +
                              std::string(typeName(Node))));
}

SettingsError outOfRange(const Field &F, const toml::node &Node) {
  return at(Node,
            failure(Reason::OutOfRange, F.fullKey(), "allowed: " + F.range()));
}

bool isName(std::string_view Text) {
  const auto Allowed = [](unsigned char C) {
    return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') ||
           (C >= '0' && C <= '9') || C == '.' || C == '_' || C == '-';
  };
  return !Text.empty() && Text.size() <= MaxNameBytes &&
         std::ranges::all_of(Text, Allowed);
}

bool isPrefix(std::string_view Text) {
  const auto Printable = [](unsigned char C) { return C > ' ' && C < 0x7f; };
  return Text.starts_with('/') && Text.ends_with('/') &&
         Text.size() <= MaxPrefixBytes && std::ranges::all_of(Text, Printable);
}

bool isPath(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxPathBytes &&
         Text.find('\0') == std::string_view::npos;
}

Checked checkedAddress(const Field &F, const toml::node &Node) {
  const auto Text = Node.value_exact<std::string>();
  if (!Text)
    return wrongType(F, Node, "a string");
  if (!isAddress(*Text))
    return at(Node, failure(Reason::BadAddress, F.fullKey(),
                            "expected IP:port, for example 127.0.0.1:7001"));
  if (F.Type != FieldType::ListenAddress && isUnspecified(*Text))
    return at(Node, failure(Reason::BadAddress, F.fullKey(),
                            "others cannot connect to this address"));
  return FieldValue(*Text);
}

Checked checkedAddresses(const Field &F, const toml::node &Node) {
  const toml::array *Array = Node.as_array();
  if (Array == nullptr)
    return wrongType(F, Node, "an array of strings");
  if (Array->size() > MaxAddresses || (F.Required && Array->empty()))
    return outOfRange(F, Node);
  std::vector<std::string> Addresses;
  for (const toml::node &Element : *Array) {
    auto Address = checkedAddress(F, Element);
    if (!Address.has_value())
      return Address.error();
    Addresses.push_back(std::get<std::string>(Address.value()));
    if (std::ranges::count(Addresses, Addresses.back()) > 1)
      return at(Element, failure(Reason::Duplicate, F.fullKey(),
                                 Addresses.back() + " is given twice"));
  }
  return FieldValue(std::move(Addresses));
}

Checked checkedNumber(const Field &F, const toml::node &Node) {
  const auto Number = Node.value_exact<std::int64_t>();
  if (!Number)
    return wrongType(F, Node, "an integer");
  if (*Number < F.Min || *Number > F.Max)
    return outOfRange(F, Node);
  return FieldValue(*Number);
}

Checked checkedChoice(const Field &F, const toml::node &Node) {
  const auto Text = Node.value_exact<std::string>();
  if (!Text)
    return wrongType(F, Node, "a string");
  const auto Found = std::ranges::find(F.Choices, std::string_view(*Text));
  if (Found == F.Choices.end())
    return outOfRange(F, Node);
  return FieldValue(std::int64_t(Found - F.Choices.begin()));
}

Checked checkedText(const Field &F, const toml::node &Node,
                    bool (*Valid)(std::string_view)) {
  const auto Text = Node.value_exact<std::string>();
  if (!Text)
    return wrongType(F, Node, "a string");
  if (!Valid(*Text))
    return outOfRange(F, Node);
  return FieldValue(*Text);
}

Checked checkedValue(const Field &F, const toml::node &Node) {
  switch (F.Type) {
  case FieldType::Name:
    return checkedText(F, Node, isName);
  case FieldType::Prefix:
    return checkedText(F, Node, isPrefix);
  case FieldType::Path:
    return checkedText(F, Node, isPath);
  case FieldType::ListenAddress:
  case FieldType::Address:
    return checkedAddress(F, Node);
  case FieldType::AddressList:
    return checkedAddresses(F, Node);
  case FieldType::Integer:
  case FieldType::DurationMs:
    return checkedNumber(F, Node);
  case FieldType::Choice:
    return checkedChoice(F, Node);
  }
  return wrongType(F, Node, "a value");
}

std::vector<std::string_view> sectionNames() {
  std::vector<std::string_view> Names;
  for (const Field &F : fields())
    if (Names.empty() || Names.back() != F.Section)
      Names.push_back(F.Section);
  return Names;
}

std::vector<std::string_view> keysOf(std::string_view Section) {
  std::vector<std::string_view> Keys;
  for (const Field &F : fields())
    if (F.Section == Section)
      Keys.push_back(F.Key);
  return Keys;
}

std::optional<SettingsError> unknownKey(const toml::table &Table,
                                        const std::string &Prefix,
                                        std::vector<std::string_view> Known) {
  for (const auto &[Key, Node] : Table)
    if (std::ranges::find(Known, Key.str()) == Known.end())
      return at(Node,
                failure(Reason::UnknownKey, Prefix + std::string(Key.str()),
                        suggestion(Key.str(), Known)));
  return std::nullopt;
}

std::optional<SettingsError> badSection(const toml::table &Root) {
  if (auto Error = unknownKey(Root, "", sectionNames()))
    return Error;
  for (const auto &[Name, Node] : Root) {
    const toml::table *Section = Node.as_table();
    if (Section == nullptr)
      return at(Node, failure(Reason::WrongType, Name.str(),
                              "expected a table, found " +
                                  std::string(typeName(Node))));
    const std::string Prefix = std::string(Name.str()) + ".";
    if (auto Error = unknownKey(*Section, Prefix, keysOf(Name.str())))
      return Error;
  }
  return std::nullopt;
}

// The line of the error's key or, if it is missing, of its section.
SettingsError located(const toml::table &Root, SettingsError Error) {
  const toml::node *Node = Root.at_path(Error.Key).node();
  if (Node == nullptr)
    Node = Root.get(Error.Key.substr(0, Error.Key.find('.')));
  return Node == nullptr ? Error : at(*Node, std::move(Error));
}

SettingsError missing(const toml::table &Root, const Field &F) {
  return located(Root, failure(Reason::Missing, F.fullKey(),
                               "required: " + std::string(name(F.Type)) + ", " +
                                   F.range()));
}

std::optional<SettingsError> readField(const toml::table &Root, const Field &F,
                                       ProxySettings &Settings) {
  const toml::node *Node = Root[F.Section][F.Key].node();
  if (Node == nullptr && F.Required)
    return missing(Root, F);
  if (Node == nullptr)
    return std::nullopt;
  const auto Value = checkedValue(F, *Node);
  if (!Value.has_value())
    return Value.error();
  F.Store(Settings, Value.value());
  return std::nullopt;
}

std::optional<SettingsError>
sameListenAddress(const InstanceSettings &Instance) {
  const std::array<std::pair<std::string_view, std::string_view>, 4> Listens{{
      {"instance.caller_address", Instance.CallerAddress},
      {"instance.peer_address", Instance.PeerAddress},
      {"instance.admin_address", Instance.AdminAddress},
      {"instance.metrics_address", Instance.MetricsAddress},
  }};
  std::set<std::string_view> Seen;
  for (const auto &[Key, Address] : Listens)
    if (!Seen.insert(Address).second)
      return failure(Reason::Duplicate, Key,
                     std::string(Address) + " is given twice");
  return std::nullopt;
}

std::optional<SettingsError> incompleteTls(const SecuritySettings &Security) {
  const std::array<std::pair<std::string_view, bool>, 3> Files{{
      {"security.certificate_file", Security.CertificateFile.empty()},
      {"security.key_file", Security.KeyFile.empty()},
      {"security.authority_file", Security.AuthorityFile.empty()},
  }};
  const bool Tls = Security.Mode == Transport::Tls;
  for (const auto &[Key, Empty] : Files) {
    if (Tls && Empty)
      return failure(Reason::Missing, Key, "required for transport \"tls\"");
    if (!Tls && !Empty)
      return failure(Reason::Inconsistent, Key,
                     "has no effect with transport \"plaintext\"");
  }
  return std::nullopt;
}

std::optional<SettingsError> inconsistent(const ProxySettings &Settings) {
  if (auto Error = sameListenAddress(Settings.Instance))
    return Error;
  if (auto Error = incompleteTls(Settings.Security))
    return Error;
  const FailoverSettings &Failover = Settings.Failover;
  if (Failover.QuickSuspicion < 2 * Failover.PingInterval)
    return failure(Reason::Inconsistent, "failover.quick_suspicion_ms",
                   "must be at least twice ping_interval_ms");
  if (Failover.SilentConfirmation < Failover.QuickSuspicion)
    return failure(Reason::Inconsistent, "failover.silent_confirmation_ms",
                   "must be at least quick_suspicion_ms");
  if (Settings.Limits.MaxQueuedBytes < Settings.Limits.MaxMessageBytes)
    return failure(Reason::Inconsistent, "limits.max_queued_bytes",
                   "must be at least max_message_bytes");
  return std::nullopt;
}

void resolvePaths(SecuritySettings &Security, std::string_view FileName) {
  const auto Directory = std::filesystem::path(FileName).parent_path();
  for (auto Member :
       {&SecuritySettings::CertificateFile, &SecuritySettings::KeyFile,
        &SecuritySettings::AuthorityFile, &SecuritySettings::TokenKeyFile,
        &SecuritySettings::CallersFile})
    if (!(Security.*Member).empty())
      Security.*Member = Directory / (Security.*Member);
}

Expected<ProxySettings, SettingsError> readRoot(const toml::table &Root) {
  if (auto Error = badSection(Root))
    return *Error;
  ProxySettings Settings;
  for (const Field &F : fields())
    if (auto Error = readField(Root, F, Settings))
      return *Error;
  if (auto Error = inconsistent(Settings))
    return located(Root, *Error);
  return Settings;
}

} // namespace

Expected<ProxySettings, SettingsError> parse(std::string_view Text,
                                             std::string_view FileName) {
  const auto Root = parseToml(Text, FileName);
  if (!Root.has_value())
    return Root.error();
  auto Settings = readRoot(Root.value());
  if (Settings.has_value()) {
    resolvePaths(Settings.value().Security, FileName);
    return Settings;
  }
  SettingsError Error = Settings.error();
  Error.File = FileName;
  return Error;
}

Expected<ProxySettings, SettingsError> load(std::string_view Path) {
  const auto Text = readFile(Path, MaxTextBytes);
  if (!Text.has_value())
    return Text.error();
  return parse(Text.value(), Path);
}

Expected<std::string, SettingsError> loadTokenKey(std::string_view Path) {
  constexpr std::size_t MinKeyBytes = 32;
  constexpr std::size_t MaxKeyBytes = 4096;
  auto Key = readFile(Path, MaxKeyBytes);
  if (!Key.has_value() || Key.value().size() >= MinKeyBytes)
    return Key;
  SettingsError Error =
      failure(Reason::OutOfRange, "", "the key has fewer than 32 bytes");
  Error.File = Path;
  return Error;
}

} // namespace borageridge::settings
