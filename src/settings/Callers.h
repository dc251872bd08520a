#ifndef BORAGERIDGE_SETTINGS_CALLERS_H
#define BORAGERIDGE_SETTINGS_CALLERS_H

#include "borageridge/Failure.h"
#include "settings/SettingsError.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace borageridge::settings {

/// The callers that may use a proxy, with their credentials. Immutable once
/// parsed; reads are thread-safe.
class CallerDirectory {
public:
  static constexpr std::size_t MaxCallers = 10000;

  /// Reads rows [[caller]] with name and secret or certificate_name or both.
  static Expected<CallerDirectory, SettingsError>
  parse(std::string_view Text, std::string_view FileName);
  static Expected<CallerDirectory, SettingsError> load(std::string_view Path);

  /// Whether the secret is the caller's. Takes the same time for a wrong secret
  /// and for an unknown name.
  bool hasSecret(std::string_view Caller, std::string_view Secret) const;

  /// The caller to whom a certificate of this common name or subject
  /// alternative name belongs.
  std::optional<std::string>
  byCertificateName(std::string_view CertificateName) const;

  std::size_t size() const { return Size; }

private:
  /// SHA-256 of a secret, so that secrets are not kept and that a comparison
  /// does not depend on their length.
  using Digest = std::array<unsigned char, 32>;
  static Digest digest(std::string_view Secret);

  std::size_t Size = 0;
  absl::flat_hash_map<std::string, Digest> Secrets;
  absl::flat_hash_map<std::string, std::string> CertificateNames;

  friend class CallerReader;
};

} // namespace borageridge::settings

#endif // BORAGERIDGE_SETTINGS_CALLERS_H
