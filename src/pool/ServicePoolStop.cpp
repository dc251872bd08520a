#include "pool/ServicePool.h"

#include <algorithm>

// How the waits of statements end in a planned stop.
namespace borageridge::pool {
namespace {

// Few statements take longer. Statements are never refused earlier than this
// before the latest answer only because of the time that they usually take.
constexpr Duration MaxExpectedTime = std::chrono::seconds(1);

} // namespace

Duration ServicePool::expectedTime(std::string_view Database,
                                   bool CommitsWrite) const {
  const auto Known = ServiceTimeByDatabase.find(Database);
  if (Known == ServiceTimeByDatabase.end())
    return Duration::zero();
  return std::min(CommitsWrite ? Known->second.upperBound()
                               : Known->second.mean(),
                  MaxExpectedTime);
}

// A write that is cut off leaves its caller in doubt, and the primary may not
// be used until the latest reply. A read is tried as long as it is as likely as
// not to be answered.
Time ServicePool::latestStart(Duration ExpectedTime, bool CommitsWrite) const {
  if (CommitsWrite)
    return StopLimits.LatestAnswer - ExpectedTime;
  return std::min(StopLimits.LatestAnswer,
                  StopLimits.LatestReply - ExpectedTime);
}

bool ServicePool::isTooLate(std::string_view Database, bool CommitsWrite,
                            Time Now) const {
  return StopLimits.LatestAnswer != Time::max() &&
         Now >= latestStart(expectedTime(Database, CommitsWrite), CommitsWrite);
}

bool ServicePool::worksOnLane(std::uint32_t Lane, Time Now) const {
  return std::ranges::any_of(Members, [&](const auto &Entry) {
    const MemberState &M = Entry.second;
    return (Lane == ReplicaLane || isPrimary(M)) && isUsable(M, Now) &&
           M.inFlight() > 0;
  });
}

// While no member works on statements they wait for something else, for example
// for a new primary, which may come in time.
void ServicePool::withdrawHopeless(Time Now) {
  if (StopLimits.LatestAnswer == Time::max())
    return;
  for (const std::uint32_t Lane : {PrimaryLane, ReplicaLane}) {
    admission::StartForecast &Forecast = Forecasts[Lane];
    Forecast.sample(Now, Started[Lane],
                    Queue.size(Lane) > 0 && worksOnLane(Lane, Now));
    if (const auto Possible =
            Forecast.startsWithin(StopLimits.LatestAnswer - Now))
      withdraw(Queue.shrink(Lane, *Possible), AcquireFailure::Stopping);
  }
}

void ServicePool::endWaits() {
  for (const std::uint32_t Lane : {PrimaryLane, ReplicaLane})
    withdraw(Queue.shrink(Lane, 0), AcquireFailure::Stopping);
  LeadCheck.endWaits();
}

void ServicePool::endCalls() {
  for (const auto &[Id, M] : Members)
    for (const Connection &Link : M.Busy)
      Link->close();
}

} // namespace borageridge::pool
