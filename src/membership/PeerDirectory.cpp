#include "membership/PeerDirectory.h"

#include <algorithm>

namespace borageridge::membership {

namespace {

// A peer that is neither listed nor a seed is removed this long after its last
// exchange.
constexpr Duration PeerRetention = std::chrono::minutes(1);
constexpr int JitterDivisor = 4;

} // namespace

PeerDirectory::PeerDirectory(PeerSettings WithSettings, std::uint64_t Seed)
    : Settings(std::move(WithSettings)), Random(Seed) {
  for (const std::string &Address : Settings.Seeds)
    if (Address != Settings.OwnAddress)
      Peers[Address].Seed = true;
}

void PeerDirectory::updateFromList(const instances::ListReply &List, Time Now) {
  Leaving.clear();
  std::map<std::string, bool, std::less<>> Listed;
  for (const instances::Instance &I : List.instances()) {
    const bool IsLeaving = I.state() == instances::INSTANCE_STATE_LEAVING;
    if (I.kind() == instances::INSTANCE_KIND_ENDPOINT && IsLeaving)
      Leaving.push_back(I.name());
    if (I.kind() != instances::INSTANCE_KIND_PROXY || IsLeaving ||
        I.address() == Settings.OwnAddress)
      continue;
    Listed[I.address()] = true;
    Peer &P = Peers[I.address()];
    if (!P.ListedSince)
      P.ListedSince = Now;
    if (P.Report.Instance.empty()) {
      P.Report.Instance = I.name();
      P.Report.AvailabilityZone = I.availability_zone();
    }
  }
  for (auto &[Address, P] : Peers)
    if (!Listed.contains(Address))
      P.ListedSince.reset();
  std::erase_if(Peers, [&](const auto &Entry) {
    const Peer &P = Entry.second;
    const bool RecentlyExchanged =
        P.LastExchange && Now - *P.LastExchange < PeerRetention;
    return !P.ListedSince && !P.Seed && !RecentlyExchanged;
  });
}

void PeerDirectory::recordExchange(std::string_view Address,
                                   const PeerReport &Report, Time Now) {
  if (Address.empty() || Address == Settings.OwnAddress)
    return;
  Peer &P = Peers[std::string(Address)];
  P.Report = Report;
  P.LastExchange = Now;
}

std::vector<std::string> PeerDirectory::dueTargets(Time Now) {
  if (Now < NextExchange)
    return {};
  const Duration Interval = Settings.ExchangeInterval;
  const auto Jitter = static_cast<Duration::rep>(
      Random() % static_cast<std::uint64_t>(std::max<Duration::rep>(
                     Interval.count() / JitterDivisor, 1)));
  NextExchange =
      Now + Interval - Interval / (2 * JitterDivisor) + Duration(Jitter);
  std::vector<std::string> Targets;
  for (const auto &[Address, P] : Peers)
    Targets.push_back(Address);
  std::shuffle(Targets.begin(), Targets.end(), Random);
  if (Targets.size() > Settings.Fanout)
    Targets.resize(Settings.Fanout);
  return Targets;
}

void PeerDirectory::exchangeNow(Time Now) { NextExchange = Now; }

bool PeerDirectory::isAlive(const Peer &P, Time Now) const {
  return P.LastExchange && Now - *P.LastExchange < Settings.AliveTimeout &&
         !P.Report.Draining;
}

std::vector<ranking::ProxyIdentity> PeerDirectory::alive(Time Now) const {
  std::vector<ranking::ProxyIdentity> Result{Settings.Self};
  for (const auto &[Address, P] : Peers)
    if (isAlive(P, Now))
      Result.push_back({P.Report.Instance, P.Report.AvailabilityZone});
  return Result;
}

std::vector<ranking::ProxyIdentity> PeerDirectory::witnesses(Time Now) const {
  std::vector<ranking::ProxyIdentity> Result{Settings.Self};
  for (const auto &[Address, P] : Peers) {
    const Time LastSeen = std::max(P.LastExchange.value_or(Time::min()),
                                   P.ListedSince.value_or(Time::min()));
    const bool MayBeUnreachable = P.ListedSince &&
                                  Now - LastSeen < Settings.WitnessTimeout &&
                                  !P.Report.Draining;
    if (isAlive(P, Now) || MayBeUnreachable)
      Result.push_back({P.Report.Instance, P.Report.AvailabilityZone});
  }
  return Result;
}

void PeerDirectory::describe(admin::StatusReply &Status, Time Now) const {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  for (const auto &[Address, P] : Peers) {
    if (!P.LastExchange)
      continue;
    admin::PeerStatus &Entry = *Status.add_peers();
    Entry.set_instance(P.Report.Instance);
    Entry.set_availability_zone(P.Report.AvailabilityZone);
    Entry.set_table_version(P.Report.TableVersion);
    Entry.set_draining(P.Report.Draining);
    Entry.set_seen_ago_ms(static_cast<std::uint64_t>(
        duration_cast<milliseconds>(Now - *P.LastExchange).count()));
  }
}

} // namespace borageridge::membership
