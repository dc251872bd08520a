#ifndef BORAGERIDGE_ADMISSION_ADMISSIONQUEUE_H
#define BORAGERIDGE_ADMISSION_ADMISSIONQUEUE_H

#include "borageridge/Failure.h"
#include "borageridge/Types.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/node_hash_map.h>
#include <absl/functional/function_ref.h>
#include <boost/intrusive/list.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace borageridge::admission {

using TicketId = std::uint64_t;

/// A request that waits to run. The id is unique among queued and running
/// requests.
struct Ticket {
  TicketId Id = 0;
  std::string Caller;
  /// 0 is served first; values above 9 count as 9.
  std::uint32_t Priority = 0;
  std::size_t Bytes = 0;
  Time Deadline;
  /// Requests of different lanes do not hold each other up, for example a read
  /// that a replica can answer behind a write that waits for a primary.
  std::uint32_t Lane = 0;
  /// Expected time at the endpoint; zero if unknown.
  Duration Work{};
};

enum class Rejection { QueueFull, BytesFull, CallerLimit, DeadlinePassed };

/// Returns the lower-case name of a rejection, as used in logs and metrics.
std::string_view name(Rejection Why);

struct QueueLimits {
  std::size_t MaxTickets = 4096;
  std::size_t MaxBytes = std::size_t(64) << 20;
};

/// What a successful push did to other tickets.
struct Admitted {
  /// Tickets of worse priority that had to leave; they were not run.
  std::vector<Ticket> Displaced;
};

/// Bounded queue of requests with priorities and, within a priority, the
/// shortest expected work first. Callers with equal work take turns. A caller's
/// requests of one priority and lane are served in order of arrival. Not
/// thread-safe.
class AdmissionQueue {
public:
  static constexpr std::size_t Priorities = 10;
  static constexpr std::size_t Lanes = 2;

  explicit AdmissionQueue(QueueLimits Limits);
  ~AdmissionQueue();
  AdmissionQueue(const AdmissionQueue &) = delete;
  AdmissionQueue &operator=(const AdmissionQueue &) = delete;

  /// Queues a ticket. CallerMaxInFlight bounds the caller's queued and running
  /// requests together. If the queue is full, the newest tickets of the worst
  /// priority leave for a ticket of better priority; a refused push changes
  /// nothing.
  Expected<Admitted, Rejection> push(Ticket Request,
                                     std::size_t CallerMaxInFlight, Time Now);

  /// Takes the first ticket in service order for which the predicate holds and
  /// counts it as running until finish. Only the first ticket of each caller,
  /// priority and lane whose deadline has not passed is examined.
  std::optional<Ticket> popIf(absl::FunctionRef<bool(const Ticket &)> CanRun,
                              Time Now);

  /// Takes the tickets whose deadline has passed, earliest deadline first.
  std::vector<Ticket> expire(Time Now);

  /// Takes out the tickets of a lane that would be served last, until it has at
  /// most MaxTickets.
  std::vector<Ticket> shrink(std::uint32_t Lane, std::size_t MaxTickets);

  /// Takes a queued ticket out, for example after its caller went away.
  std::optional<Ticket> remove(TicketId Id);

  /// Whether the ticket is queued.
  bool contains(TicketId Id) const { return Entries.contains(Id); }

  /// Ends a running request. Ignores ids that are not running.
  void finish(TicketId Id);

  /// The earliest deadline of a queued ticket.
  std::optional<Time> nextDeadline() const;

  /// Number and bytes of queued tickets.
  std::size_t size() const { return Entries.size(); }
  std::size_t size(std::uint32_t Lane) const { return SizeOfLane[Lane]; }
  std::size_t bytes() const { return QueuedBytes; }
  std::size_t running() const { return Running.size(); }
  /// Queued and running requests of one caller.
  std::size_t inFlight(std::string_view Caller) const;

private:
  using Hook = boost::intrusive::list_member_hook<>;
  struct CallerState;

  struct Entry {
    Ticket Request;
    CallerState *Owner = nullptr;
    Hook InLane;
    Hook InArrivals;
  };
  using LaneList = boost::intrusive::list<
      Entry, boost::intrusive::member_hook<Entry, Hook, &Entry::InLane>>;
  using ArrivalList = boost::intrusive::list<
      Entry, boost::intrusive::member_hook<Entry, Hook, &Entry::InArrivals>>;

  /// The tickets of one caller in one priority.
  struct Share {
    std::array<LaneList, Lanes> ByLane;
    /// Of the newest ticket.
    Duration Work{};
    Hook InRound;

    bool empty() const;
  };
  using RoundList = boost::intrusive::list<
      Share, boost::intrusive::member_hook<Share, Hook, &Share::InRound>>;

  struct CallerState {
    std::size_t InFlight = 0;
    std::array<Share, Priorities> Shares;
  };

  struct Level {
    /// Callers with tickets by their work, the next to be served first.
    RoundList Round;
    ArrivalList Arrivals;
    std::size_t Bytes = 0;
  };

  std::optional<Rejection>
  refusal(const Ticket &Request, std::size_t CallerMaxInFlight, Time Now) const;
  std::optional<Rejection> roomAfterDisplacing(const Ticket &Request) const;
  std::vector<Ticket> displaceFor(const Ticket &Request);
  void insert(Ticket Request);
  static void enqueue(RoundList &Round, Share &Waiting);
  static Entry *candidate(Share &Waiting,
                          absl::FunctionRef<bool(const Ticket &)> CanRun,
                          Time Now);
  /// The ticket of a lane that is not empty that would be served last.
  Entry &lastOf(std::uint32_t Lane);
  Ticket detach(Entry &Queued);
  Ticket discard(Entry &Queued);
  void release(const std::string &Caller);

  QueueLimits Limits;
  std::size_t QueuedBytes = 0;
  std::array<std::size_t, Lanes> SizeOfLane{};
  absl::node_hash_map<std::string, CallerState> Callers;
  std::array<Level, Priorities> Levels;
  absl::node_hash_map<TicketId, Entry> Entries;
  absl::flat_hash_map<TicketId, std::string> Running;
  std::set<std::pair<Time, TicketId>> Deadlines;
};

} // namespace borageridge::admission

#endif // BORAGERIDGE_ADMISSION_ADMISSIONQUEUE_H
