#ifndef BORAGERIDGE_SETTINGS_TOMLTEXT_H
#define BORAGERIDGE_SETTINGS_TOMLTEXT_H

#include "borageridge/Failure.h"
#include "settings/SettingsError.h"

#include <toml++/toml.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace borageridge::settings {

/// Largest settings or callers file in bytes.
constexpr std::size_t MaxTextBytes = std::size_t(1) << 20;

Expected<std::string, SettingsError> readFile(std::string_view Path,
                                              std::size_t MaxBytes);

Expected<toml::table, SettingsError> parseToml(std::string_view Text,
                                               std::string_view FileName);

/// An error at a place of a file. The line is set by at().
SettingsError failure(SettingsError::Reason Why, std::string_view Key,
                      std::string Detail);
SettingsError at(const toml::node &Node, SettingsError Error);

/// Names the known key that resembles an unknown one most, or all known keys if
/// none does.
std::string suggestion(std::string_view Unknown,
                       const std::vector<std::string_view> &Known);

/// The TOML type of a node in words, for example "an integer".
std::string_view typeName(const toml::node &Node);

} // namespace borageridge::settings

#endif // BORAGERIDGE_SETTINGS_TOMLTEXT_H
