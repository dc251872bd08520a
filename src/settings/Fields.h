#ifndef BORAGERIDGE_SETTINGS_FIELDS_H
#define BORAGERIDGE_SETTINGS_FIELDS_H

#include "settings/Settings.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace borageridge::settings {

/// Forms of values; each decides the TOML type and the checks.
enum class FieldType {
  /// 1 to 64 letters, digits, ".", "_" and "-".
  Name,
  /// IP:port to listen on.
  ListenAddress,
  /// IP:port to connect to.
  Address,
  AddressList,
  /// Store keys' common start; begins and ends with "/".
  Prefix,
  Path,
  Integer,
  DurationMs,
  Choice,
};

std::string_view name(FieldType Type);

using FieldValue =
    std::variant<std::string, std::int64_t, std::vector<std::string>>;

/// One key of the settings file.
struct Field {
  std::string_view Section;
  std::string_view Key;
  FieldType Type = FieldType::Name;
  bool Required = false;
  std::int64_t Min = 0;
  std::int64_t Max = 0;
  std::span<const std::string_view> Choices = {};
  void (*Store)(ProxySettings &, const FieldValue &) = nullptr;
  FieldValue (*Read)(const ProxySettings &) = nullptr;

  std::string fullKey() const;
  /// Range in words, for the reference page and for errors.
  std::string range() const;
  /// Default in words; empty if the key is required.
  std::string defaultText() const;
};

/// All keys in the order of the reference page.
std::span<const Field> fields();

} // namespace borageridge::settings

#endif // BORAGERIDGE_SETTINGS_FIELDS_H
