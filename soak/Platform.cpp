#include "Platform.h"

#include <nlohmann/json.hpp>

#include <thread>

namespace soak {
namespace {

constexpr std::uint64_t PlatformSeries = 1;
constexpr int NotRunning = 409;

} // namespace

Platform::Platform(std::vector<Members *> Groups, std::uint64_t Seed,
                   review::Record &Output)
    : Log(Output), Choices(Seed, PlatformSeries) {
  for (Members *Each : Groups)
    ByService[Each->service()] = Each;
}

void Platform::setTreatment(const Treatment &Next) {
  const std::lock_guard Guard(Lock);
  Present = Next;
}

std::size_t Platform::count() {
  const std::lock_guard Guard(Lock);
  return Callers.size();
}

std::optional<std::size_t> Platform::next(std::size_t Known,
                                          Milliseconds Limit) {
  std::unique_lock Guard(Lock);
  if (!Called.wait_for(Guard, Limit, [&] { return Callers.size() > Known; }))
    return std::nullopt;
  return Callers[Known];
}

int Platform::execute(const review::HttpRequest &Call) {
  const auto Body = nlohmann::json::parse(Call.Body, nullptr, false);
  const auto Found = ByService.find(Body.value("backend", ""));
  if (Found == ByService.end() ||
      Found->second->isDark(Body.value("id", std::string())))
    return NotRunning;
  return Found->second->group().callPromotion(Call);
}

void Platform::serve(review::Socket Connection) {
  while (const auto Call = review::readRequest(Connection)) {
    Treatment Chosen;
    Milliseconds Delay(0);
    bool Lost = false;
    bool AnswerLost = false;
    {
      const std::lock_guard Guard(Lock);
      Chosen = Present;
      Delay = Choices.between(Chosen.LeastDelay, Chosen.MostDelay);
      Lost = Choices.chance(Chosen.LostPercent);
      AnswerLost = Choices.chance(Chosen.AnswerLostPercent);
      // The names of the daemons end with their numbers, counted from 1.
      Callers.push_back(static_cast<std::size_t>(Call->Holder.back() - '1'));
      Called.notify_all();
    }
    Log.write(
        "call for a promotion by " + Call->Holder + " with token " +
        Call->Token + ": " + Call->Body +
        (Lost ? " is lost"
              : " is executed after " + std::to_string(Delay.count()) + " ms"));
    if (Lost)
      return;
    std::this_thread::sleep_for(Delay);
    int Status = 200;
    if (Chosen.EffectDelay == Milliseconds(0))
      Status = execute(*Call);
    else
      std::thread([this, Call = *Call, Chosen] {
        std::this_thread::sleep_for(Chosen.EffectDelay);
        execute(Call);
      }).detach();
    if (AnswerLost || !review::sendResponse(Connection, Status, "{}"))
      return;
  }
}

} // namespace soak
