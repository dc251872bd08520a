#ifndef BORAGERIDGE_ENTRY_QUOTAS_H
#define BORAGERIDGE_ENTRY_QUOTAS_H

#include "entry/State.h"
#include "peer/Messages.h"
#include "quota/Allowance.h"
#include "quota/CounterMap.h"
#include "quota/GrantTable.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace borageridge::entry {

/// Enforces the limits of organisations over all daemons. Asks the holders of
/// counters for tokens for the operations that this daemon runs, and holds
/// counters itself, each under a lease of the store.
class Quotas {
public:
  explicit Quotas(State &Shared);

  /// Acquires vacant counters and renews those held until the event loop stops.
  runtime::Task<void> run();
  /// Ends the leases of all counters, so that other daemons take them over.
  runtime::Task<void> release();

  /// Returns whether an operation of the organisation may run. Waits until
  /// Deadline at most for the counters' answers; false if the organisation is
  /// beyond its limit.
  runtime::Task<bool> admit(std::string Organisation, Time Deadline);

  /// Grants tokens of a counter that this daemon holds.
  peer::QuotaReply answer(const peer::QuotaRequest &Asked);

private:
  struct HeldCounter {
    cluster::LocalLease Lease;
    keyvalue::Revision EntryRevision = 0;
    Time RenewedAt;
    quota::GrantTable Grants;
  };
  struct Account {
    explicit Account(Duration TokenLifetime) : Tokens(TokenLifetime) {}
    quota::Allowance Tokens;
    bool IsAsking = false;
    std::vector<std::shared_ptr<runtime::Event>> Waiting;
    /// Position of the counter to ask first.
    std::size_t FirstCounter = 0;
  };

  std::optional<quota::RateLimit> limitOf(std::string_view Organisation) const;
  std::size_t counterCount() const;
  bool hasLimits() const;
  bool isHolder(quota::CounterNumber Counter, Time Now) const;
  bool mayAcquire(quota::CounterNumber Counter, Time Now);
  void examine(quota::CounterNumber Counter, Time Now);
  /// Entry: the revision of the entry to replace, 0 if there is none.
  runtime::Task<void> acquire(quota::CounterNumber Counter,
                              keyvalue::Revision Entry);
  runtime::Task<void> renew(quota::CounterNumber Counter);
  runtime::Task<void> endLease(keyvalue::LeaseId Id, keyvalue::Era GrantedIn);
  void lose(quota::CounterNumber Counter, std::string_view Cause);

  Account &accountOf(const std::string &Organisation);
  std::size_t nearestCounter(const std::string &Organisation) const;
  runtime::Task<void> ask(std::string Organisation);
  /// Returns the tokens granted; none if the counter has no holder that
  /// answers.
  runtime::Task<std::optional<std::uint32_t>>
  request(quota::CounterNumber Counter, std::string Organisation,
          std::uint32_t Wanted);

  State &S;
  quota::Tolerance Allowed;
  std::map<quota::CounterNumber, HeldCounter> Held;
  /// Counters with a call to the store in progress.
  std::set<quota::CounterNumber> Busy;
  /// Since when a counter has been seen without a holder.
  std::map<quota::CounterNumber, Time> VacantSince;
  /// Until when a counter whose holder did not answer is skipped.
  std::map<quota::CounterNumber, Time> AvoidUntil;
  std::map<std::string, Account, std::less<>> Accounts;
  bool Released = false;
};

} // namespace borageridge::entry

#endif // BORAGERIDGE_ENTRY_QUOTAS_H
