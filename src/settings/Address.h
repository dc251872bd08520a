#ifndef BORAGERIDGE_SETTINGS_ADDRESS_H
#define BORAGERIDGE_SETTINGS_ADDRESS_H

#include <string_view>

namespace borageridge::settings {

/// Whether Text is an IP number and a port from 1 to 65535, for example
/// "127.0.0.1:7001" or "[::1]:7001". Host names are not accepted.
bool isAddress(std::string_view Text);

/// Whether the IP number of an address is the unspecified one (0.0.0.0 or ::),
/// to which a process can listen, but not connect.
bool isUnspecified(std::string_view Address);

} // namespace borageridge::settings

#endif // BORAGERIDGE_SETTINGS_ADDRESS_H
