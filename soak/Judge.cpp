#include "Judge.h"

namespace soak {
namespace {

// thaw_slack_ms of the sites.
constexpr Milliseconds ThawSlack(300);

} // namespace

void Judge::commitAtOldPrimary(const std::string &Member,
                               const std::string &Write) {
  const std::lock_guard Guard(Lock);
  Superseded[Write] = {Member, Clock::now()};
}

void Judge::acknowledge(std::size_t Daemon, std::size_t Service,
                        const std::string &Write) {
  const std::lock_guard Guard(Lock);
  ++Acknowledged;
  LastAnswered[Daemon][Service] = Clock::now();
  const auto Found = Superseded.find(Write);
  if (Found == Superseded.end())
    return;
  const bool IsExcused = Found->second.At - LastFrozen[Daemon] < ThawSlack;
  ++(IsExcused ? Excused : Broken);
  std::string Text = IsExcused ? "ONE, excused: " : "ONE: ";
  Text.append(Write).append(" was committed at ").append(Found->second.Member);
  Text.append(" after another member had taken over, and acknowledged");
  Log.write(Text);
}

void Judge::noteFrozen(std::size_t Daemon) {
  const std::lock_guard Guard(Lock);
  LastFrozen[Daemon] = Clock::now();
}

bool Judge::allServedSince(Clock::time_point From) {
  const std::lock_guard Guard(Lock);
  bool Result = true;
  for (std::size_t Daemon = 0; Daemon < LastAnswered.size(); ++Daemon)
    for (std::size_t Service = 0; Service < LastAnswered[Daemon].size();
         ++Service) {
      if (LastAnswered[Daemon][Service] >= From)
        continue;
      Result = false;
      Log.write("UNSERVED: daemon " + std::to_string(Daemon + 1) +
                " acknowledged no write of service " +
                std::to_string(Service + 1) + " after the trouble");
    }
  return Result;
}

std::size_t Judge::broken() {
  const std::lock_guard Guard(Lock);
  return Broken;
}

std::string Judge::summary() {
  const std::lock_guard Guard(Lock);
  return std::to_string(Acknowledged) + " writes acknowledged, " +
         std::to_string(Broken) + " of them at a superseded primary, " +
         std::to_string(Excused) + " more by daemons just frozen";
}

} // namespace soak
