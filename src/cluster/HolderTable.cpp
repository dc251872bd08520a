#include "cluster/HolderTable.h"

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace borageridge::cluster {
namespace {

// Uniform in (0, 1). SHA-256 has no seed, so that all processes compute the
// same number.
double uniformHash(std::string_view Daemon, std::string_view Service) {
  std::string Text(Service);
  Text.push_back('\0');
  Text.append(Daemon);
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Digest{};
  SHA256(reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
         Digest.data());
  constexpr std::size_t UsedBytes = 6;
  double Number = 0;
  for (std::size_t I = 0; I < UsedBytes; ++I)
    Number = Number * 256 + Digest[I];
  return (Number + 0.5) / std::pow(256.0, UsedBytes);
}

} // namespace

// The weight is the fourth power of the processor share: every daemon also
// forwards the sessions of its own callers, which leaves a small one less to
// spare than in proportion to its share, and a holder serves its whole
// availability zone. With the square, forty daemons of a twelfth of a core
// beside two of half a core held a third of the services, and were overrun in
// bursts.
double holderScore(const DaemonRecord &Daemon, std::string_view Service) {
  const double Share = std::max<std::uint32_t>(1, Daemon.ProcessorShare);
  return -std::pow(Share, 4) / std::log(uniformHash(Daemon.Name, Service));
}

void HolderTable::enter(Zones &Selected, const DaemonRecord &Daemon,
                        std::string_view Service) {
  const Candidate New{Daemon.Name, holderScore(Daemon, Service)};
  Candidate &Best = Selected[Daemon.AvailabilityZone];
  if (Best.Name.empty() || New.Score > Best.Score)
    Best = New;
}

void HolderTable::add(const DaemonRecord &Daemon) {
  const auto Known = Daemons.find(Daemon.Name);
  if (Known != Daemons.end()) {
    const bool SameScore =
        Known->second.ProcessorShare == Daemon.ProcessorShare &&
        Known->second.AvailabilityZone == Daemon.AvailabilityZone;
    if (SameScore)
      return;
    remove(Daemon.Name);
  }
  Daemons[Daemon.Name] = Daemon;
  for (auto &[Service, Selected] : Selections)
    enter(Selected, Daemon, Service);
}

// Only the services of which the daemon was a holder have to be ranked again.
void HolderTable::remove(std::string_view Name) {
  const auto Known = Daemons.find(Name);
  if (Known == Daemons.end())
    return;
  Daemons.erase(Known);
  std::erase_if(Selections, [&](const auto &Entry) {
    return std::any_of(
        Entry.second.begin(), Entry.second.end(),
        [&](const auto &Zone) { return Zone.second.Name == Name; });
  });
}

const HolderTable::Zones &HolderTable::select(const std::string &Service) {
  const auto [Found, New] = Selections.try_emplace(Service);
  if (New)
    for (const auto &[Name, Daemon] : Daemons)
      enter(Found->second, Daemon, Service);
  return Found->second;
}

std::vector<std::string> HolderTable::holders(const std::string &Service) {
  std::vector<std::string> Result;
  for (const auto &[Zone, Best] : select(Service))
    Result.push_back(Best.Name);
  return Result;
}

std::vector<std::string>
HolderTable::byPreference(const std::string &Service,
                          std::string_view AvailabilityZone) {
  std::vector<std::pair<bool, Candidate>> Order;
  for (const auto &[Zone, Best] : select(Service))
    Order.emplace_back(Zone != AvailabilityZone, Best);
  std::sort(Order.begin(), Order.end(), [](const auto &A, const auto &B) {
    return A.first != B.first ? A.first < B.first
                              : A.second.Score > B.second.Score;
  });
  std::vector<std::string> Result;
  Result.reserve(Order.size());
  for (const auto &[IsRemote, Holder] : Order)
    Result.push_back(Holder.Name);
  return Result;
}

} // namespace borageridge::cluster
