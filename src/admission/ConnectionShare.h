#ifndef BORAGERIDGE_ADMISSION_CONNECTIONSHARE_H
#define BORAGERIDGE_ADMISSION_CONNECTIONSHARE_H

#include <cstdint>

namespace borageridge::admission {

/// Connections that one proxy may open to one member: the equal division of the
/// member's connections by the declared maximum number of proxies, rounded
/// down, but at least 1. With fewer connections than proxies the member's limit
/// may therefore be exceeded; the member then refuses the connection.
std::uint32_t share(std::uint32_t ConnectionsPerMember,
                    std::uint32_t MaxProxies);

/// The part of a share of at least 1 that reads may use on the primary. At
/// least one connection stays free for writes; the only connection of a share
/// of 1 is used by both unless the reserve is 1, since those reads could
/// otherwise never run. PrimaryWriteReserve: 0 to 1.
std::uint32_t readsOnPrimary(std::uint32_t Share, double PrimaryWriteReserve);

} // namespace borageridge::admission

#endif // BORAGERIDGE_ADMISSION_CONNECTIONSHARE_H
