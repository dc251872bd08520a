#include "quota/Allowance.h"
#include "quota/GrantTable.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <optional>
#include <random>
#include <vector>

namespace borageridge::quota {
namespace {

using std::chrono::milliseconds;

constexpr Tolerance Allowed{std::chrono::seconds(5), 0.1, 20};
constexpr int StepMs = 5;

Time at(int Ms) { return Time(milliseconds(Ms)); }

/// Faults that the bound must not survive, to show that it is checked.
enum class Planted { None, FullBucketAtStart, TokensWithoutEnd };

struct Totals {
  std::size_t Asked = 0;
  std::size_t Run = 0;
  std::size_t MostInWindow = 0;
};

/// Plays the decisions of 85 daemons and three counters for one organisation,
/// with 5 ms between a request and its effect.
class Fleet {
public:
  Fleet(RateLimit Given, Planted Kind, unsigned Seed)
      : Limit(Given), Fault(Kind), Random(Seed) {
    for (std::size_t I = 0; I < CountersPerOrganisation; ++I)
      takeOver(I, 0);
    const Duration Lifetime = Fault == Planted::TokensWithoutEnd
                                  ? Duration(std::chrono::hours(1))
                                  : tokenLifetime(Allowed);
    Daemons.assign(85, Allowance(Lifetime));
  }

  /// The holder of a counter is lost; the next one begins 5 s later, when the
  /// lease has ended.
  void loseHolder(std::size_t Counter, int NowMs) {
    Counters[Counter].reset();
    TakeOverAt[Counter] = NowMs + 5000;
  }
  /// The holder restarts and continues at once.
  void restartHolder(std::size_t Counter, int NowMs) {
    takeOver(Counter, NowMs);
  }
  /// The daemon's requests get no answer.
  void setCut(std::size_t From, std::size_t To, bool Cut) {
    IsCut.resize(Daemons.size());
    for (std::size_t I = From; I < To; ++I)
      IsCut[I] = Cut;
  }

  /// Operations arrive at the daemons [From, To) at the given rate.
  void play(int FromMs, int ToMs, double PerSecond, std::size_t From,
            std::size_t To) {
    std::poisson_distribution<int> Arrivals(PerSecond * StepMs / 1000);
    std::uniform_int_distribution<std::size_t> Where(From, To - 1);
    for (int Now = FromMs; Now < ToMs; Now += StepMs) {
      for (std::size_t I = 0; I < CountersPerOrganisation; ++I)
        if (!Counters[I] && Now >= TakeOverAt[I])
          takeOver(I, Now);
      for (int Left = Arrivals(Random); Left > 0; --Left)
        run(Where(Random), Now);
    }
  }

  Totals Seen;

private:
  void takeOver(std::size_t Counter, int NowMs) {
    const bool Full = Fault == Planted::FullBucketAtStart;
    Counters[Counter].emplace(Allowed, Full ? at(NowMs - 100000) : at(NowMs));
  }

  void ask(std::size_t Daemon, int Now) {
    IsCut.resize(Daemons.size());
    std::uint32_t Wanted = Daemons[Daemon].wanted(1, at(Now));
    for (std::size_t I = 0; I < CountersPerOrganisation && Wanted > 0; ++I) {
      auto &Counter = Counters[(Daemon + I) % CountersPerOrganisation];
      if (!Counter || IsCut[Daemon])
        continue;
      const std::uint32_t Granted =
          Counter->grant("mill", Limit, Wanted, at(Now));
      Daemons[Daemon].add(Granted, at(Now - StepMs));
      Wanted -= Granted;
    }
  }

  void run(std::size_t Daemon, int Now) {
    ++Seen.Asked;
    Allowance &Own = Daemons[Daemon];
    Own.noteArrival(at(Now));
    if (!Own.take(at(Now))) {
      ask(Daemon, Now);
      if (!Own.take(at(Now)))
        return;
    }
    ++Seen.Run;
    Window.push_back(Now);
    while (Window.front() <= Now - 5000)
      Window.pop_front();
    Seen.MostInWindow = std::max(Seen.MostInWindow, Window.size());
  }

  RateLimit Limit;
  Planted Fault;
  std::mt19937 Random;
  std::vector<Allowance> Daemons;
  std::vector<bool> IsCut;
  std::array<std::optional<GrantTable>, CountersPerOrganisation> Counters;
  std::array<int, CountersPerOrganisation> TakeOverAt{};
  std::deque<int> Window;
};

std::size_t bound(const RateLimit &Limit) {
  return static_cast<std::size_t>(
      (Limit.RatePerSecond * 5 + Limit.Burst) * 1.1 + 20);
}

class QuotaFleetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QuotaFleetTest);
  CPPUNIT_TEST(usualDemandIsServedByManyDaemonsAndByOne);
  CPPUNIT_TEST(sevenTimesTheUsualDemandStaysWithinTheBoundUnderFaults);
  CPPUNIT_TEST(daemonThatIsCutOffSpendsOnlyWhatItHolds);
  CPPUNIT_TEST(plantedFaultsBreakTheBound);
  CPPUNIT_TEST_SUITE_END();

  static constexpr RateLimit Large{420, 420};
  static constexpr RateLimit Small{5, 5};

  // The load of a calm day: 1 / 1.6 of the rate. A counter without a holder
  // must not refuse it either.
  void usualDemandIsServedByManyDaemonsAndByOne() {
    for (const RateLimit &Limit : {Large, Small})
      for (const std::size_t Callers : {1U, 6U, 85U}) {
        Fleet Played(Limit, Planted::None, 1);
        Played.play(10000, 20000, Limit.RatePerSecond / 1.6, 0, Callers);
        Played.loseHolder(1, 20000);
        Played.play(20000, 30000, Limit.RatePerSecond / 1.6, 0, Callers);
        CPPUNIT_ASSERT(Played.Seen.Run * 1000 >= Played.Seen.Asked * 995);
      }
  }

  static std::size_t mostUnderFaults(const RateLimit &Limit, Planted Fault,
                                     unsigned Seed) {
    Fleet Played(Limit, Fault, Seed);
    // The callers move from one daemon to the next, which leaves tokens behind.
    for (int I = 0; I < 85; ++I)
      Played.play(I * 250, (I + 1) * 250, Limit.RatePerSecond,
                  static_cast<std::size_t>(I), static_cast<std::size_t>(I) + 1);
    const double Many = Limit.RatePerSecond * 4.7;
    Played.play(23000, 26000, Many, 0, 85);
    for (std::size_t I = 0; I < CountersPerOrganisation; ++I)
      Played.restartHolder(I, 26000);
    Played.play(26000, 27000, Many, 0, 85);
    Played.loseHolder(1, 27000);
    Played.play(27000, 30000, Many, 0, 3);
    Played.play(30000, 44000, Limit.RatePerSecond / 10, 0, 85);
    Played.play(44000, 47000, Many, 0, 85);
    return Played.Seen.MostInWindow;
  }

  void sevenTimesTheUsualDemandStaysWithinTheBoundUnderFaults() {
    for (unsigned Seed = 1; Seed <= 20; ++Seed)
      for (const RateLimit &Limit : {Large, Small})
        CPPUNIT_ASSERT(mostUnderFaults(Limit, Planted::None, Seed) <=
                       bound(Limit));
  }

  void daemonThatIsCutOffSpendsOnlyWhatItHolds() {
    Fleet Played(Large, Planted::None, 1);
    Played.play(5000, 8000, 200, 0, 2);
    Played.setCut(0, 2, true);
    const std::size_t Before = Played.Seen.Run;
    Played.play(8000, 12000, 200, 0, 2);
    CPPUNIT_ASSERT(Played.Seen.Run - Before <= 80);
    Played.setCut(0, 2, false);
    Played.play(12000, 13000, 200, 0, 2);
    CPPUNIT_ASSERT(Played.Seen.Run - Before > 150);
  }

  void plantedFaultsBreakTheBound() {
    for (const Planted Fault :
         {Planted::FullBucketAtStart, Planted::TokensWithoutEnd}) {
      bool Caught = false;
      for (unsigned Seed = 1; Seed <= 5 && !Caught; ++Seed)
        for (const RateLimit &Limit : {Large, Small})
          Caught = Caught || mostUnderFaults(Limit, Fault, Seed) > bound(Limit);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(static_cast<int>(Fault)), Caught);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaFleetTest);

} // namespace
} // namespace borageridge::quota
