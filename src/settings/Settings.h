#ifndef BORAGERIDGE_SETTINGS_SETTINGS_H
#define BORAGERIDGE_SETTINGS_SETTINGS_H

#include "borageridge/Failure.h"
#include "settings/SettingsError.h"

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

namespace borageridge::settings {

using Milliseconds = std::chrono::milliseconds;

enum class Transport { Plaintext, Tls };
enum class SuspicionPolicy { TwoLevel, OneLevel };
enum class LogLevel { Trace, Debug, Info, Warning, Error };

struct InstanceSettings {
  std::string Name;
  std::string AvailabilityZone;
  std::string CallerAddress;
  std::string PeerAddress;
  std::string AdminAddress;
  std::string MetricsAddress;
};

struct StoreSettings {
  std::vector<std::string> Addresses;
  std::string Prefix = "/borageridge/";
  Milliseconds CallTimeout{500};
};

struct InstanceListSettings {
  std::string Address;
  Milliseconds PollInterval{1000};
};

struct PeerSettings {
  std::vector<std::string> Seeds;
  Milliseconds ExchangeInterval{200};
};

/// Paths are relative to the directory of the settings file or absolute.
struct SecuritySettings {
  Transport Mode = Transport::Tls;
  std::filesystem::path CertificateFile;
  std::filesystem::path KeyFile;
  std::filesystem::path AuthorityFile;
  std::filesystem::path TokenKeyFile;
  std::filesystem::path CallersFile;
};

struct LimitSettings {
  std::uint32_t MaxMessageBytes = 1048576;
  std::uint32_t MaxMetadataBytes = 8192;
  std::uint32_t MaxStreamsPerConnection = 1000;
  std::uint32_t MaxQueuedRequests = 4096;
  std::uint64_t MaxQueuedBytes = 67108864;
  Milliseconds DrainTimeout{10000};
};

struct FailoverSettings {
  Milliseconds PingInterval{100};
  Milliseconds QuickSuspicion{300};
  Milliseconds RefusedConfirmation{300};
  Milliseconds SilentConfirmation{1200};
  Milliseconds MinimumChangeInterval{10000};
  SuspicionPolicy Policy = SuspicionPolicy::TwoLevel;
};

struct LogSettings {
  LogLevel Level = LogLevel::Info;
};

/// Settings of borageridged. docs/settings.md describes each key.
struct ProxySettings {
  InstanceSettings Instance;
  StoreSettings Store;
  InstanceListSettings InstanceList;
  PeerSettings Peers;
  SecuritySettings Security;
  LimitSettings Limits;
  FailoverSettings Failover;
  LogSettings Log;
};

/// Reads settings from a text. FileName appears in errors and is the base of
/// relative paths. The files that the settings name are not read.
Expected<ProxySettings, SettingsError> parse(std::string_view Text,
                                             std::string_view FileName);

Expected<ProxySettings, SettingsError> load(std::string_view Path);

/// Reads the key of session tokens; it has at least 32 bytes, all of which
/// count, including a line end.
Expected<std::string, SettingsError> loadTokenKey(std::string_view Path);

} // namespace borageridge::settings

#endif // BORAGERIDGE_SETTINGS_SETTINGS_H
