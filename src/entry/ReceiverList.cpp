#include "entry/Coordinator.h"

#include "entry/Events.h"
#include "platform/Registry.h"
#include "platform/Wire.h"
#include "runtime/Clock.h"

#include <algorithm>

namespace borageridge::entry {
namespace {

using change::EndedReceiver;
using change::MemberReport;
using change::Receivers;
using cluster::GroupRecord;
using runtime::bootTime;
using runtime::Task;

constexpr Duration PollInterval = std::chrono::milliseconds(30);
// Pauses between attempts to leave out a receiver whose commits the others do
// not hold yet.
constexpr Duration FirstRetryPause = std::chrono::milliseconds(500);
constexpr Duration MaxRetryPause = std::chrono::seconds(16);

} // namespace

// The list of receivers in the record: the processes that may have received
// commits of the primary.

bool Coordinator::isRegistered(const cluster::Receiver &Process) const {
  const auto Known = S.Members.find(Process.Member);
  return Known != S.Members.end() &&
         Known->second.Incarnation == Process.Incarnation &&
         !S.RemovedMembers.contains(Process.Member);
}

void Coordinator::addReceivers(const std::string &Service,
                               GroupRecord &Record) {
  const pool::ServicePool &Pool = *findPool(Service);
  if (Pool.spec().SyncReplicas > 0)
    Record.Receivers = change::possibleReceivers(Record, Pool.members());
}

std::vector<EndedReceiver>
Coordinator::endedReceivers(const std::string &Service,
                            const Receivers &Possible, Time Now) {
  const auto &Absent = ReceiversAbsent[Service];
  std::vector<EndedReceiver> Result;
  for (const cluster::Receiver &Each : Possible)
    if (Absent.hasLasted(Each, change::GoneConfirmation, Now))
      Result.push_back({Each, findPool(Service)->positionAfter(*Absent.endedBy(
                                  Each, change::GoneConfirmation))});
  return Result;
}

bool Coordinator::hasOtherReceivers(const std::string &Service, Time Now) {
  const pool::ServicePool &Pool = *findPool(Service);
  const std::size_t SyncReplicas = Pool.spec().SyncReplicas;
  if (SyncReplicas == 0)
    return false;
  const Receivers Possible =
      change::possibleReceivers(Pool.record(), Pool.members());
  if (Possible != Pool.record().Receivers)
    return true;
  const std::size_t Ended = endedReceivers(Service, Possible, Now).size();
  ReceiverRetry &Retry = ReceiverRetries[Service];
  if (Ended == 0)
    Retry = ReceiverRetry();
  return Ended > 0 && Possible.size() - Ended >= SyncReplicas &&
         Now >= Retry.NotBefore;
}

Task<bool> Coordinator::areUnregistered(Receivers Processes) {
  const Expected<keyvalue::RangePage> Page =
      co_await S.Store.range(std::string(platform::MemberPrefix));
  if (!Page)
    co_return false;
  for (const keyvalue::Item &Entry : Page.value().Items) {
    const std::string Id = Entry.Key.substr(platform::MemberPrefix.size());
    const auto Info = platform::decodeMember(Id, Entry.Value);
    for (const cluster::Receiver &Each : Processes)
      if (Info && Each == cluster::Receiver{Id, Info.value().Incarnation})
        co_return false;
  }
  co_return true;
}

// Returns the receivers without those that have ended and hold nothing that the
// others lack.
Task<Receivers> Coordinator::withoutEnded(std::string Service,
                                          Receivers Possible,
                                          std::vector<EndedReceiver> Ended,
                                          std::vector<MemberReport> Reports) {
  const Receivers Remaining = change::remainingReceivers(
      Possible, Ended, Reports, findPool(Service)->spec().SyncReplicas);
  Receivers LeftOut;
  std::set_difference(Possible.begin(), Possible.end(), Remaining.begin(),
                      Remaining.end(), std::back_inserter(LeftOut));
  if (!LeftOut.empty() && !co_await areUnregistered(LeftOut))
    co_return Possible;
  co_return Remaining;
}

// Brings the list up to date without a change of primary.
Task<bool> Coordinator::confirmReceivers(std::string Service) {
  GroupRecord Record = findPool(Service)->record();
  const cluster::Epoch Replaced = Record.Epoch;
  const Time Start = bootTime();
  Receivers Remaining;
  for (;;) {
    const Receivers Possible =
        change::possibleReceivers(Record, findPool(Service)->members());
    std::vector<EndedReceiver> Ended =
        endedReceivers(Service, Possible, bootTime());
    std::vector<MemberReport> Reports;
    if (!Ended.empty())
      Reports = co_await queryMembers(Service);
    // The receivers had ended when the members were asked.
    const auto Primary =
        change::findRecordedPrimary(Reports, Record, std::nullopt);
    for (EndedReceiver &Each : Ended)
      if (Primary && Primary->Member == Record.Primary)
        Each.NothingAfter = std::min(
            Each.NothingAfter.value_or(Primary->Received), Primary->Received);
    Remaining = co_await withoutEnded(Service, Possible, Ended, Reports);
    if (Remaining.size() + Ended.size() == Possible.size() ||
        bootTime() - Start > change::CatchUpTimeout)
      break;
    co_await runtime::sleepFor(PollInterval);
  }
  ReceiverRetry &Retry = ReceiverRetries[Service];
  Retry.Pause = std::min<Duration>(
      MaxRetryPause,
      Retry.Pause == Duration::zero() ? FirstRetryPause : 2 * Retry.Pause);
  Retry.NotBefore = bootTime() + Retry.Pause;
  if (Remaining == Record.Receivers)
    co_return false;
  Record.Receivers = std::move(Remaining);
  if (!co_await writeRecord(Service, Record, Replaced))
    co_return false;
  applyRecord(S, Service, Record);
  PeerExchange.announce(Service, Record);
  co_return true;
}

} // namespace borageridge::entry
