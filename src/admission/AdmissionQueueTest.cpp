#include "admission/AdmissionQueue.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>

namespace borageridge::admission {
namespace {

using std::chrono::milliseconds;

constexpr Time Now{std::chrono::seconds(1000)};
constexpr std::size_t NoLimit = 1000000;

bool anyTicket(const Ticket & /*Request*/) { return true; }

Ticket ticket(TicketId Id, std::string Caller, std::uint32_t Priority = 5,
              std::size_t Bytes = 1, int DeadlineMs = 1000) {
  return {Id, std::move(Caller), Priority, Bytes,
          Now + milliseconds(DeadlineMs)};
}

std::vector<TicketId> ids(const std::vector<Ticket> &Tickets) {
  std::vector<TicketId> Result;
  Result.reserve(Tickets.size());
  for (const Ticket &Request : Tickets)
    Result.push_back(Request.Id);
  return Result;
}

class AdmissionQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionQueueTest);
  CPPUNIT_TEST(servesPrioritiesInOrder);
  CPPUNIT_TEST(servesCallersOfOnePriorityInTurn);
  CPPUNIT_TEST(servesTheCallerWithTheShortestWorkFirst);
  CPPUNIT_TEST(callersWithEqualWorkTakeTurnsAheadOfLongerWork);
  CPPUNIT_TEST(aCallerWhoseWorkGrewIsServedLater);
  CPPUNIT_TEST(priorityGoesBeforeShortWork);
  CPPUNIT_TEST(floodOfOneCallerDoesNotDelayAnother);
  CPPUNIT_TEST(callerThatWasPassedOverKeepsItsTurn);
  CPPUNIT_TEST(blockedHeadOfOneLaneDoesNotHoldUpTheOther);
  CPPUNIT_TEST(examinesOnlyTheHeadOfEachList);
  CPPUNIT_TEST(limitsQueuedAndRunningRequestsOfACallerTogether);
  CPPUNIT_TEST(refusesBeyondTheNumberOfTickets);
  CPPUNIT_TEST(refusesBeyondTheBytes);
  CPPUNIT_TEST(refusesATicketLargerThanTheQueue);
  CPPUNIT_TEST(refusesAPassedDeadline);
  CPPUNIT_TEST(betterPriorityDisplacesTheNewestOfTheWorst);
  CPPUNIT_TEST(displacesSeveralTicketsForBytes);
  CPPUNIT_TEST(refusedPushDisplacesNothing);
  CPPUNIT_TEST(expiresTicketsAtTheirDeadline);
  CPPUNIT_TEST(neverReturnsATicketPastItsDeadline);
  CPPUNIT_TEST(shrinksALaneByTheTicketsThatWouldBeServedLast);
  CPPUNIT_TEST(removedTicketFreesItsCallersLimit);
  CPPUNIT_TEST(sizesAgreeWithAModelInAnyOrderOfCalls);
  CPPUNIT_TEST(drainsTenThousandTicketsOfManyCallers);
  CPPUNIT_TEST_SUITE_END();

  AdmissionQueue Queue{QueueLimits{.MaxTickets = 4, .MaxBytes = 100}};
  AdmissionQueue Large{
      QueueLimits{.MaxTickets = 20000, .MaxBytes = std::size_t(1) << 30}};

  void servesPrioritiesInOrder() {
    push(Queue, ticket(1, "a", 9));
    push(Queue, ticket(2, "a", 0));
    push(Queue, ticket(3, "a", 4));
    CPPUNIT_ASSERT(popAll(Queue) == std::vector<TicketId>({2, 3, 1}));
  }

  void servesCallersOfOnePriorityInTurn() {
    push(Large, ticket(1, "a"));
    push(Large, ticket(2, "a"));
    push(Large, ticket(3, "a"));
    push(Large, ticket(4, "b"));
    push(Large, ticket(5, "c"));
    push(Large, ticket(6, "b"));
    CPPUNIT_ASSERT(popAll(Large) == std::vector<TicketId>({1, 4, 5, 2, 6, 3}));
  }

  static Ticket working(TicketId Id, std::string Caller, int WorkMs,
                        std::uint32_t Priority = 5) {
    Ticket Request = ticket(Id, std::move(Caller), Priority);
    Request.Work = milliseconds(WorkMs);
    return Request;
  }

  void servesTheCallerWithTheShortestWorkFirst() {
    push(Large, working(1, "long", 30));
    push(Large, working(2, "short", 18));
    push(Large, working(3, "long", 30));
    push(Large, working(4, "short", 18));
    CPPUNIT_ASSERT(popAll(Large) == std::vector<TicketId>({2, 4, 1, 3}));
  }

  void callersWithEqualWorkTakeTurnsAheadOfLongerWork() {
    push(Large, working(1, "long", 30));
    push(Large, working(2, "a", 18));
    push(Large, working(3, "a", 18));
    push(Large, working(4, "b", 18));
    push(Large, working(5, "b", 18));
    CPPUNIT_ASSERT(popAll(Large) == std::vector<TicketId>({2, 4, 3, 5, 1}));
  }

  void aCallerWhoseWorkGrewIsServedLater() {
    push(Large, working(1, "a", 10));
    push(Large, working(2, "b", 20));
    push(Large, working(3, "a", 30));
    CPPUNIT_ASSERT(popAll(Large) == std::vector<TicketId>({2, 1, 3}));
  }

  void priorityGoesBeforeShortWork() {
    push(Large, working(1, "short", 1, 2));
    push(Large, working(2, "urgent", 30, 1));
    CPPUNIT_ASSERT(popAll(Large) == std::vector<TicketId>({2, 1}));
  }

  void floodOfOneCallerDoesNotDelayAnother() {
    for (TicketId Id = 1; Id <= 5000; ++Id)
      push(Large, ticket(Id, "flood"));
    push(Large, ticket(9001, "quiet"));
    push(Large, ticket(9002, "quiet"));
    CPPUNIT_ASSERT_EQUAL(TicketId(1), pop(Large));
    CPPUNIT_ASSERT_EQUAL(TicketId(9001), pop(Large));
    CPPUNIT_ASSERT_EQUAL(TicketId(2), pop(Large));
    CPPUNIT_ASSERT_EQUAL(TicketId(9002), pop(Large));
  }

  void callerThatWasPassedOverKeepsItsTurn() {
    push(Queue, ticket(1, "a"));
    push(Queue, ticket(2, "b"));
    push(Queue, ticket(3, "b"));
    const auto NotOfA = [](const Ticket &T) { return T.Caller != "a"; };
    CPPUNIT_ASSERT_EQUAL(TicketId(2), Queue.popIf(NotOfA, Now)->Id);
    CPPUNIT_ASSERT_EQUAL(TicketId(1), pop(Queue));
  }

  // Guards against writes that wait for a primary blocking their caller's
  // reads.
  void blockedHeadOfOneLaneDoesNotHoldUpTheOther() {
    Ticket Write = ticket(1, "a");
    Write.Lane = 1;
    push(Queue, Write);
    push(Queue, ticket(2, "a"));
    const auto OnlyReads = [](const Ticket &T) { return T.Lane == 0; };
    CPPUNIT_ASSERT_EQUAL(TicketId(2), Queue.popIf(OnlyReads, Now)->Id);
    CPPUNIT_ASSERT(!Queue.popIf(OnlyReads, Now));
    CPPUNIT_ASSERT_EQUAL(TicketId(1), pop(Queue));
  }

  void examinesOnlyTheHeadOfEachList() {
    for (TicketId Id = 1; Id <= 300; ++Id)
      push(Large, ticket(Id, "caller" + std::to_string(Id % 3)));
    int Examined = 0;
    const auto Refuse = [&Examined](const Ticket &) {
      ++Examined;
      return false;
    };
    CPPUNIT_ASSERT(!Large.popIf(Refuse, Now));
    CPPUNIT_ASSERT_EQUAL(3, Examined);
  }

  void limitsQueuedAndRunningRequestsOfACallerTogether() {
    CPPUNIT_ASSERT(Queue.push(ticket(1, "a"), 2, Now).has_value());
    CPPUNIT_ASSERT_EQUAL(TicketId(1), pop(Queue));
    CPPUNIT_ASSERT(Queue.push(ticket(2, "a"), 2, Now).has_value());
    assertRejected(Rejection::CallerLimit, ticket(3, "a"), 2);
    CPPUNIT_ASSERT(Queue.push(ticket(4, "b"), 2, Now).has_value());
    Queue.finish(1);
    CPPUNIT_ASSERT(Queue.push(ticket(3, "a"), 2, Now).has_value());
    Queue.finish(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Queue.inFlight("a"));
  }

  void refusesBeyondTheNumberOfTickets() {
    fill();
    assertRejected(Rejection::QueueFull, ticket(9, "b"));
    pop(Queue);
    CPPUNIT_ASSERT(Queue.push(ticket(9, "b"), NoLimit, Now).has_value());
  }

  void refusesBeyondTheBytes() {
    push(Queue, ticket(1, "a", 5, 60));
    assertRejected(Rejection::BytesFull, ticket(2, "a", 5, 41));
    push(Queue, ticket(2, "a", 5, 40));
    CPPUNIT_ASSERT_EQUAL(std::size_t(100), Queue.bytes());
  }

  void refusesATicketLargerThanTheQueue() {
    assertRejected(Rejection::BytesFull, ticket(1, "a", 0, 101));
    assertRejected(Rejection::BytesFull, ticket(1, "a", 0, ~std::size_t(0)));
  }

  void refusesAPassedDeadline() {
    assertRejected(Rejection::DeadlinePassed, ticket(1, "a", 0, 1, 0));
  }

  void betterPriorityDisplacesTheNewestOfTheWorst() {
    fill();
    push(Queue, ticket(10, "b", 4));
    CPPUNIT_ASSERT(ids(LastDisplaced) == std::vector<TicketId>({4}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), Queue.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Queue.inFlight("a"));
    CPPUNIT_ASSERT_EQUAL(TicketId(10), pop(Queue));
  }

  void displacesSeveralTicketsForBytes() {
    for (TicketId Id = 1; Id <= 3; ++Id)
      push(Queue, ticket(Id, "a", 7, 30));
    push(Queue, ticket(4, "b", 0, 60));
    CPPUNIT_ASSERT(ids(LastDisplaced) == std::vector<TicketId>({3, 2}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(90), Queue.bytes());
  }

  void refusedPushDisplacesNothing() {
    push(Queue, ticket(1, "a", 2, 50));
    push(Queue, ticket(2, "a", 9, 30));
    assertRejected(Rejection::BytesFull, ticket(3, "b", 5, 60));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Queue.size());
  }

  void expiresTicketsAtTheirDeadline() {
    push(Queue, ticket(1, "a", 5, 1, 30));
    push(Queue, ticket(2, "b", 0, 1, 20));
    push(Queue, ticket(3, "b", 0, 1, 90));
    CPPUNIT_ASSERT(Queue.nextDeadline() == Now + milliseconds(20));
    CPPUNIT_ASSERT(Queue.expire(Now + milliseconds(19)).empty());
    CPPUNIT_ASSERT(ids(Queue.expire(Now + milliseconds(30))) ==
                   std::vector<TicketId>({2, 1}));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Queue.inFlight("a"));
    CPPUNIT_ASSERT(Queue.nextDeadline() == Now + milliseconds(90));
  }

  // An expired head must neither run nor hold up the ticket behind it.
  void neverReturnsATicketPastItsDeadline() {
    push(Queue, ticket(1, "a", 5, 1, 30));
    push(Queue, ticket(2, "a", 5, 1, 90));
    CPPUNIT_ASSERT_EQUAL(TicketId(2),
                         Queue.popIf(anyTicket, Now + milliseconds(30))->Id);
    CPPUNIT_ASSERT(!Queue.popIf(anyTicket, Now + milliseconds(30)));
  }

  void shrinksALaneByTheTicketsThatWouldBeServedLast() {
    push(Large, ticket(1, "a"));
    push(Large, ticket(2, "a"));
    push(Large, ticket(3, "a"));
    push(Large, ticket(4, "b"));
    Ticket Long = ticket(5, "c");
    Long.Work = milliseconds(9);
    push(Large, Long);
    push(Large, ticket(6, "a", 1));
    Ticket OtherLane = ticket(7, "a");
    OtherLane.Lane = 1;
    push(Large, OtherLane);
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), Large.size(0));
    CPPUNIT_ASSERT(ids(Large.shrink(0, 3)) == std::vector<TicketId>({5, 3, 2}));
    CPPUNIT_ASSERT(Large.shrink(0, 3).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Large.size(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Large.shrink(0, 0).size());
    CPPUNIT_ASSERT(popAll(Large) == std::vector<TicketId>({7}));
  }

  void removedTicketFreesItsCallersLimit() {
    push(Queue, ticket(1, "a"));
    CPPUNIT_ASSERT(Queue.remove(1).has_value());
    CPPUNIT_ASSERT(!Queue.remove(1).has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Queue.inFlight("a"));
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Queue.bytes());
    CPPUNIT_ASSERT(!Queue.nextDeadline());
  }

  void sizesAgreeWithAModelInAnyOrderOfCalls() {
    CPPUNIT_ASSERT(rc::check([] {
      AdmissionQueue Subject({.MaxTickets = 8, .MaxBytes = 200});
      std::map<TicketId, Ticket> Queued;
      std::map<TicketId, Ticket> Active;
      const int Steps = *rc::gen::inRange(0, 100);
      for (int Step = 0; Step < Steps; ++Step) {
        modelStep(Subject, Queued, Active, static_cast<TicketId>(Step));
        assertSame(Subject, Queued, Active);
      }
    }));
  }

  // 10,000 tickets of 1,000 callers in ten priorities; guards against work that
  // grows with the queue for each ticket (the test would run for minutes).
  void drainsTenThousandTicketsOfManyCallers() {
    for (TicketId Id = 1; Id <= 10000; ++Id)
      push(Large, ticket(Id, "caller" + std::to_string(Id % 1000), Id % 10));
    CPPUNIT_ASSERT_EQUAL(std::size_t(10000), Large.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(10000), popAll(Large).size());
    for (TicketId Id = 1; Id <= 10000; ++Id)
      Large.finish(Id);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Large.running());
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Large.inFlight("caller1"));
  }

  using Model = std::map<TicketId, Ticket>;

  static void modelStep(AdmissionQueue &Subject, Model &Queued, Model &Active,
                        TicketId Id) {
    const int Deadline = *rc::gen::inRange(1, 60);
    const Time Present = Now + milliseconds(*rc::gen::inRange(0, 30));
    switch (*rc::gen::inRange(0, 8)) {
    case 0:
      for (const Ticket &Gone : Subject.expire(Present))
        RC_ASSERT(Queued.erase(Gone.Id) == 1U);
      return;
    case 1:
      if (!Active.empty()) {
        Subject.finish(Active.begin()->first);
        Active.erase(Active.begin());
      }
      return;
    case 2:
      if (!Queued.empty())
        RC_ASSERT(Subject.remove(Queued.begin()->first).has_value());
      if (!Queued.empty())
        Queued.erase(Queued.begin());
      return;
    case 3:
      if (const auto Taken = Subject.popIf(anyTicket, Present)) {
        RC_ASSERT(Taken->Deadline > Present);
        RC_ASSERT(Queued.erase(Taken->Id) == 1U);
        Active.emplace(Taken->Id, *Taken);
      }
      return;
    default:
      Ticket Request =
          ticket(Id, std::string(1, *rc::gen::inRange('a', 'd')),
                 *rc::gen::inRange(0, 4), *rc::gen::inRange(1, 80), Deadline);
      Request.Lane = *rc::gen::inRange(0, 2);
      const auto Pushed = Subject.push(Request, 5, Present);
      if (!Pushed.has_value())
        return;
      for (const Ticket &Gone : Pushed.value().Displaced) {
        RC_ASSERT(Gone.Priority > Request.Priority);
        RC_ASSERT(Queued.erase(Gone.Id) == 1U);
      }
      Queued.emplace(Id, Request);
    }
  }

  static void assertSame(const AdmissionQueue &Subject, const Model &Queued,
                         const Model &Active) {
    std::size_t Bytes = 0;
    std::map<std::string, std::size_t> InFlight;
    for (const auto &[Id, Request] : Queued) {
      Bytes += Request.Bytes;
      ++InFlight[Request.Caller];
    }
    for (const auto &[Id, Request] : Active)
      ++InFlight[Request.Caller];
    RC_ASSERT(Subject.size() == Queued.size());
    RC_ASSERT(Subject.bytes() == Bytes);
    RC_ASSERT(Subject.running() == Active.size());
    RC_ASSERT(Bytes <= 200U);
    RC_ASSERT(Queued.size() <= 8U);
    for (const std::string Caller : {"a", "b", "c"}) {
      RC_ASSERT(Subject.inFlight(Caller) == InFlight[Caller]);
      RC_ASSERT(InFlight[Caller] <= 5U);
    }
  }

  std::vector<Ticket> LastDisplaced;

  void push(AdmissionQueue &Subject, const Ticket &Request) {
    auto Pushed = Subject.push(Request, NoLimit, Now);
    CPPUNIT_ASSERT(Pushed.has_value());
    LastDisplaced = Pushed.value().Displaced;
  }

  void fill() {
    for (TicketId Id = 1; Id <= 4; ++Id)
      push(Queue, ticket(Id, "a"));
  }

  static TicketId pop(AdmissionQueue &Subject) {
    const auto Taken = Subject.popIf(anyTicket, Now);
    CPPUNIT_ASSERT(Taken.has_value());
    return Taken->Id;
  }

  static std::vector<TicketId> popAll(AdmissionQueue &Subject) {
    std::vector<TicketId> Result;
    while (const auto Taken = Subject.popIf(anyTicket, Now))
      Result.push_back(Taken->Id);
    return Result;
  }

  void assertRejected(Rejection Wanted, const Ticket &Request,
                      std::size_t CallerMaxInFlight = NoLimit) {
    const auto Pushed = Queue.push(Request, CallerMaxInFlight, Now);
    CPPUNIT_ASSERT(!Pushed.has_value());
    CPPUNIT_ASSERT_EQUAL(name(Wanted), name(Pushed.error()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionQueueTest);

} // namespace
} // namespace borageridge::admission
