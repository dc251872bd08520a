#include "quota/Allowance.h"

#include <algorithm>
#include <cmath>

namespace borageridge::quota {
namespace {

// Tokens for this time are asked for in advance. Well below their lifetime, so
// that hardly any expire unused.
constexpr Duration AskAhead = std::chrono::milliseconds(100);
// Time constant of the average demand.
constexpr double AveragingSeconds = 0.5;
// Bounds the messages for an organisation that sends far beyond its limit: the
// counters gain hardly a token in this time.
constexpr Duration DenialPeriod = std::chrono::milliseconds(25);

double seconds(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

} // namespace

void Allowance::noteArrival(Time Now) {
  const double Elapsed = std::max(0.0, seconds(Now - LastArrival));
  Demand =
      Demand * std::exp(-Elapsed / AveragingSeconds) + 1 / AveragingSeconds;
  LastArrival = Now;
}

double Allowance::expectedArrivals() const {
  return Demand * seconds(AskAhead);
}

std::uint32_t Allowance::available(Time Now) {
  while (!Batches.empty() &&
         (Batches.front().ExpiresAt <= Now || Batches.front().Tokens == 0))
    Batches.pop_front();
  std::uint32_t Sum = 0;
  for (const Batch &Granted : Batches)
    if (Granted.ExpiresAt > Now)
      Sum += Granted.Tokens;
  return Sum;
}

bool Allowance::take(Time Now) {
  if (available(Now) == 0)
    return false;
  const auto Usable =
      std::find_if(Batches.begin(), Batches.end(), [&](const Batch &Granted) {
        return Granted.Tokens > 0 && Granted.ExpiresAt > Now;
      });
  --Usable->Tokens;
  return true;
}

void Allowance::add(std::uint32_t Tokens, Time AskedAt) {
  if (Tokens == 0)
    return;
  Batches.push_back({Tokens, AskedAt + Lifetime});
  DeniedUntil = Time();
}

std::uint32_t Allowance::wanted(std::uint32_t Waiting, Time Now) {
  const std::uint32_t Known = available(Now);
  const auto Ahead = static_cast<std::uint32_t>(expectedArrivals());
  return Waiting + (Ahead > Known ? Ahead - Known : 0);
}

bool Allowance::isRunningLow(Time Now) {
  return 2 * available(Now) < static_cast<std::uint32_t>(expectedArrivals());
}

void Allowance::deny(Time Now) { DeniedUntil = Now + DenialPeriod; }

} // namespace borageridge::quota
