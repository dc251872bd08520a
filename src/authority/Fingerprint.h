#ifndef BORAGERIDGE_AUTHORITY_FINGERPRINT_H
#define BORAGERIDGE_AUTHORITY_FINGERPRINT_H

#include <string>
#include <string_view>

namespace borageridge::authority {

/// Identifies a key without revealing it: the first 16 bytes of its SHA-256, in
/// hexadecimal. Fingerprints may be logged and sent to other daemons.
std::string fingerprintOf(std::string_view Key);

} // namespace borageridge::authority

#endif // BORAGERIDGE_AUTHORITY_FINGERPRINT_H
