#include "Trouble.h"

#include <array>
#include <csignal>
#include <utility>

namespace soak {
namespace {

constexpr Milliseconds PauseStep(20);
constexpr std::uint64_t FirstSeries = 10;

std::string text(Milliseconds Time) {
  return std::to_string(Time.count()) + " ms";
}

} // namespace

const std::set<std::string> &Trouble::kinds() {
  static const std::set<std::string> All = {
      "releases", "coordinators", "daemons", "fleet",
      "members",  "store",        "platform"};
  return All;
}

Trouble::Trouble(Parts Wanted) : Given(std::move(Wanted)) {
  Platform::Treatment Always;
  Always.LeastDelay = Given.PromotionDelay;
  Always.MostDelay = Given.PromotionDelay;
  Given.Promotions.setTreatment(Always);
  begin("releases", 0, &Trouble::releasePrimaries);
  begin("coordinators", 1, &Trouble::endCoordinators);
  begin("daemons", 2, &Trouble::troubleDaemons);
  begin("fleet", 3, &Trouble::troubleFleet);
  begin("members", 4, &Trouble::troubleMembers);
  begin("store", 5, &Trouble::troubleStore);
  if (Given.PromotionDelay == Milliseconds(0))
    begin("platform", 6, &Trouble::troublePlatform);
}

void Trouble::begin(const std::string &Kind, std::uint64_t Number, Series Run) {
  if (!Given.Kinds.contains(Kind))
    return;
  Threads.emplace_back([this, Number, Run] {
    Random Choices(Given.Seed, FirstSeries + Number);
    (this->*Run)(Choices);
  });
}

void Trouble::end() {
  Ending = true;
  for (std::thread &Each : Threads)
    Each.join();
  for (std::thread &Each : Injected)
    Each.join();
  Given.Promotions.setTreatment({});
}

std::string Trouble::summary() {
  const std::lock_guard Guard(Lock);
  std::string Result;
  for (const auto &[Kind, Times] : Count)
    Result.append(" ").append(Kind).append("=").append(std::to_string(Times));
  return Result;
}

bool Trouble::pause(Milliseconds Time) {
  const Clock::time_point End = Clock::now() + Time;
  while (!Ending && Clock::now() < End)
    std::this_thread::sleep_for(PauseStep);
  return !Ending;
}

void Trouble::inject(const std::string &Kind, const std::string &Detail,
                     std::function<void()> Fault) {
  Given.Log.write("trouble: " + Kind + ", " + Detail);
  const std::lock_guard Guard(Lock);
  ++Count[Kind];
  Injected.emplace_back(std::move(Fault));
}

void Trouble::release(Members &Group, Milliseconds Time) {
  const std::size_t Old = Group.group().primary();
  inject("release", Group.group().id(Old), [this, &Group, Old, Time] {
    Group.setLeaving(Old, true);
    pause(Time);
    Group.setLeaving(Old, false);
  });
}

// Sometimes several services at once, sometimes the same one twice in a row.
void Trouble::releasePrimaries(Random &Choices) {
  constexpr unsigned AllPercent = 20;
  constexpr unsigned TwicePercent = 30;
  while (pause(Choices.between(Milliseconds(800), Milliseconds(3000)))) {
    const Milliseconds Time =
        Choices.between(Milliseconds(3000), Milliseconds(9000));
    if (Choices.chance(AllPercent)) {
      for (Members *Group : Given.Groups)
        release(*Group, Time);
      continue;
    }
    Members &Group = *Given.Groups[Choices.below(Given.Groups.size())];
    release(Group, Time);
    if (Choices.chance(TwicePercent) &&
        pause(Choices.between(Milliseconds(200), Milliseconds(2500))))
      release(Group, Time);
  }
}

// Stops, kills or freezes the daemon that has called for a promotion, at any
// moment up to its completion, and the one that continues.
void Trouble::endCoordinators(Random &Choices) {
  constexpr unsigned HitPercent = 60;
  constexpr Milliseconds CallLimit(300);
  std::size_t Known = Given.Promotions.count();
  while (!Ending) {
    const auto Caller = Given.Promotions.next(Known, CallLimit);
    if (!Caller)
      continue;
    ++Known;
    const bool Hits = Choices.chance(HitPercent);
    const Milliseconds Delay =
        Choices.between(Milliseconds(0), Milliseconds(1500));
    if (Hits && pause(Delay))
      hitDaemon(Choices, *Caller);
  }
}

void Trouble::hitDaemon(Random &Choices, std::size_t Daemon) {
  const Milliseconds Time =
      Choices.between(Milliseconds(300), Milliseconds(5000));
  const std::array<std::pair<const char *, std::function<void()>>, 5> Faults = {
      {{"stop", [=, this] { Given.Fleet.restart(Daemon, SIGTERM); }},
       {"kill", [=, this] { Given.Fleet.restart(Daemon, SIGKILL); }},
       {"freeze", [=, this] { Given.Fleet.freeze(Daemon, Time); }},
       {"store_cut", [=, this] { Given.Fleet.cutFromStore(Daemon, 2 * Time); }},
       {"peer_cut", [=, this] { Given.Fleet.cutFromPeers(Daemon, Time); }}}};
  const auto &[Kind, Fault] = Faults[Choices.below(Faults.size())];
  inject(Kind, "daemon " + std::to_string(Daemon + 1) + ", " + text(Time),
         Fault);
}

void Trouble::troubleDaemons(Random &Choices) {
  while (pause(Choices.between(Milliseconds(1500), Milliseconds(6000))))
    hitDaemon(Choices, Choices.below(Given.Fleet.size()));
}

void Trouble::troubleFleet(Random &Choices) {
  constexpr unsigned KillPercent = 40;
  while (pause(Choices.between(Milliseconds(9000), Milliseconds(20000)))) {
    const Milliseconds Time =
        Choices.between(Milliseconds(1000), Milliseconds(9000));
    if (Choices.chance(KillPercent))
      inject("kill_all", "", [this] { Given.Fleet.restartAll(); });
    else
      inject("store_down", "for " + text(Time),
             [=, this] { Given.Fleet.cutAllFromStore(Time); });
  }
}

void Trouble::troubleMembers(Random &Choices) {
  constexpr unsigned DarkPercent = 60;
  constexpr unsigned PrimaryPercent = 50;
  while (pause(Choices.between(Milliseconds(2000), Milliseconds(7000)))) {
    Members &Group = *Given.Groups[Choices.below(Given.Groups.size())];
    const bool Dark = Choices.chance(DarkPercent);
    const std::size_t Other = Choices.below(Members::Count);
    const std::size_t Which =
        Choices.chance(PrimaryPercent) ? Group.group().primary() : Other;
    const Milliseconds Time =
        Choices.between(Milliseconds(500), Milliseconds(7000));
    const auto Set = [&Group, Which, Dark](bool On) {
      if (Dark)
        Group.setDark(Which, On);
      else
        Group.group().setDeaf(Which, On);
    };
    inject(Dark ? "dark" : "deaf",
           Group.group().id(Which) + " for " + text(Time), [=, this] {
             Set(true);
             pause(Time);
             Set(false);
           });
  }
}

// Registrations, records and claims of the role are executed late, without an
// answer.
void Trouble::troubleStore(Random &Choices) {
  const auto Late = std::make_shared<std::atomic<int>>(0);
  Given.Registry.IsLate = [Late, this](const review::HttpRequest &Request) {
    if (!Request.Target.starts_with("/v1/kv-txn") || *Late <= 0)
      return false;
    --*Late;
    Given.Log.write("the store executes a write late, unanswered");
    return true;
  };
  while (pause(Choices.between(Milliseconds(2000), Milliseconds(8000))))
    inject("late_write", "", [Late] { ++*Late; });
}

void Trouble::troublePlatform(Random &Choices) {
  constexpr std::size_t Variants = 5;
  while (pause(Choices.between(Milliseconds(1000), Milliseconds(6000)))) {
    Platform::Treatment Next;
    const Milliseconds Most =
        Choices.between(Milliseconds(500), Milliseconds(9000));
    const std::size_t Variant = Choices.below(Variants);
    Next.MostDelay = Variant < 2 ? Most : Milliseconds(0);
    Next.LeastDelay = Variant == 0 ? Most : Milliseconds(0);
    Next.EffectDelay = Variant == 2 ? Most : Milliseconds(0);
    Next.LostPercent = Variant == 3 ? 50 : 0;
    Next.AnswerLostPercent = Variant == 4 ? 70 : 0;
    Given.Promotions.setTreatment(Next);
    inject("platform", "variant " + std::to_string(Variant) + ", " + text(Most),
           [] {});
    if (!pause(Choices.between(Milliseconds(4000), Milliseconds(15000))))
      return;
    Given.Promotions.setTreatment({});
  }
}

} // namespace soak
