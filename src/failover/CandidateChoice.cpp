#include "failover/CandidateChoice.h"

namespace borageridge::failover {
namespace {

std::optional<std::string> longestLog(const SealedPositions &Sealed,
                                      const CandidateRules &Rules,
                                      std::string_view Without) {
  const std::size_t Majority = Rules.Members / 2 + 1;
  std::size_t Count = 0;
  const std::string *Longest = nullptr;
  Position Best;
  for (const auto &[Member, Received] : Sealed) {
    if (Member == Without)
      continue;
    ++Count;
    const bool IsBetter = Longest == nullptr || Received > Best ||
                          (Received == Best && Member == Rules.Preferred);
    if (!IsBetter)
      continue;
    Longest = &Member;
    Best = Received;
  }
  if (Longest == nullptr || Count < Majority)
    return std::nullopt;
  return *Longest;
}

} // namespace

std::optional<std::string> chooseCandidate(const SealedPositions &Sealed,
                                           const CandidateRules &Rules) {
  std::optional<std::string> Longest = longestLog(Sealed, Rules, "");
  if (!Longest || Rules.Avoided.empty())
    return Longest;
  const bool IsPreferred = *Longest == Rules.Preferred;
  if (IsPreferred && *Longest != Rules.Avoided)
    return Longest;
  std::optional<std::string> Other = longestLog(Sealed, Rules, Rules.Avoided);
  if (Other)
    return Other;
  return Rules.AvoidedAllowed ? Longest : std::nullopt;
}

} // namespace borageridge::failover
