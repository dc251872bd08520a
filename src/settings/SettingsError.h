#ifndef BORAGERIDGE_SETTINGS_SETTINGSERROR_H
#define BORAGERIDGE_SETTINGS_SETTINGSERROR_H

#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>

namespace borageridge::settings {

/// Names the place in a settings file that was refused, and why.
struct SettingsError {
  enum class Reason {
    /// The file cannot be read.
    Unreadable,
    TooLarge,
    /// Not TOML, or a key is given twice.
    Syntax,
    UnknownKey,
    WrongType,
    OutOfRange,
    /// Not an IP number and a port.
    BadAddress,
    Duplicate,
    Missing,
    /// Two values that are each valid contradict each other.
    Inconsistent,
  };
  Reason Why = Reason::Syntax;
  std::string File;
  /// Line in the file, from 1; 0 if the whole file is meant.
  std::uint32_t Line = 0;
  /// The full key, for example "store.call_timeout_ms"; empty if none is meant.
  std::string Key;
  /// For people; never contains a secret.
  std::string Detail;
};

/// Returns the lower-case name of a reason.
std::string_view name(SettingsError::Reason Why);

/// Prints "file:line: key: reason: detail".
std::ostream &operator<<(std::ostream &Out, const SettingsError &Error);

} // namespace borageridge::settings

#endif // BORAGERIDGE_SETTINGS_SETTINGSERROR_H
