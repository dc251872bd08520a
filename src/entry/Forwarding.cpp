#include "entry/Forwarding.h"

#include "cluster/ConnectionHolders.h"
#include "entry/Events.h"
#include "platform/Wire.h"
#include "runtime/Clock.h"

#include <algorithm>

namespace borageridge::entry {
namespace {

using runtime::bootTime;
using runtime::Task;

constexpr Duration OpenTimeout = std::chrono::milliseconds(400);
// Time to skip a daemon that did not accept a session. Long enough for its
// entry in the store to expire or for it to answer peers again.
constexpr Duration AvoidancePeriod = std::chrono::seconds(3);
// Number of daemons tried for one session before it is served by this daemon.
constexpr unsigned MaxTries = 3;

bool contains(const std::vector<std::string> &Names, std::string_view Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

} // namespace

bool isHeldElsewhere(const State &S, const std::string &Service) {
  const auto Holders = S.Holders.find(Service);
  if (Holders == S.Holders.end() ||
      contains(Holders->second, S.Settings.InstanceName))
    return false;
  return std::any_of(Holders->second.begin(), Holders->second.end(),
                     [&](const std::string &Name) {
                       const auto Found = S.Peers.find(Name);
                       return Found != S.Peers.end() &&
                              !Found->second.Unreachable;
                     });
}

void Forwarding::tick() {
  const bool FleetKnown = bootTime() >= S.FleetKnownFrom;
  for (const auto &[Service, Pool] : S.ByService) {
    if (!FleetKnown) {
      Pool->setConnectionHolder(false, 1);
      continue;
    }
    if (!cluster::needsConnectionHolders(Pool->spec().MaxConnections,
                                         S.Shared.LiveDaemons)) {
      Pool->setConnectionHolder(true, S.Shared.LiveDaemons);
      S.Holders.erase(Service);
      continue;
    }
    const std::vector<std::string> Holders = S.HolderRanking.holders(Service);
    Pool->setConnectionHolder(contains(Holders, S.Settings.InstanceName),
                              std::max<std::size_t>(1, Holders.size()));
    if (S.Holders[Service] != Holders)
      S.Holders[Service] = Holders;
  }
}

Task<pool::Connection> Forwarding::openSession(std::string Service,
                                               std::string Database,
                                               std::string Fingerprint) {
  if (!S.Holders.contains(Service))
    co_return nullptr;
  const std::vector<std::string> ByPreference =
      S.HolderRanking.byPreference(Service, S.Settings.AvailabilityZone);
  unsigned Tries = 0;
  for (const std::string &Name : ByPreference) {
    if (Name == S.Settings.InstanceName || Tries == MaxTries ||
        bootTime() >= S.StatementExecutor.latestAnswer())
      co_return nullptr;
    const auto Found = S.Peers.find(Name);
    if (Found == S.Peers.end() || Found->second.Unreachable ||
        bootTime() < AvoidUntil[Name])
      continue;
    ++Tries;
    const cluster::DaemonRecord Holder = Found->second.Record;
    runtime::error_code Error;
    const auto Ip = runtime::asio::ip::make_address_v4(Holder.Ip, Error);
    if (Error)
      continue;
    // The port after the peer port accepts forwarded sessions.
    const runtime::tcp::endpoint To(
        Ip, static_cast<std::uint16_t>(Holder.PeerPort + 1));
    auto Link = std::make_shared<pool::EndpointConnection>(S.Io, Name);
    const Time Latest = S.StatementExecutor.latestAnswer();
    Expected<statement::Reply> Answer = co_await Link->open(
        To,
        platform::encodeStart(Database, S.Settings.InstanceName,
                              S.StatementExecutor.catalog().HasOrganisations
                                  ? Fingerprint
                                  : Database),
        std::min(OpenTimeout, Latest - bootTime()));
    if (Answer && !Answer.value().Error)
      co_return Link;
    // The holder applies another version of the configuration, which concerns
    // this caller only.
    if (Answer && Answer.value().Error == statement::ErrorCode::Unauthenticated)
      continue;
    AvoidUntil[Name] = bootTime() + AvoidancePeriod;
    S.Log.write(event::PeersLost, 1, Name,
                Answer ? Answer.value().Detail : Answer.error().Detail);
  }
  co_return nullptr;
}

} // namespace borageridge::entry
