#include "load/Runner.h"

#include "load/SessionShard.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <memory>
#include <thread>
#include <utility>

namespace borageridge::load {

namespace {

template <typename T> void append(std::vector<T> &To, std::vector<T> &&From) {
  To.insert(To.end(), std::make_move_iterator(From.begin()),
            std::make_move_iterator(From.end()));
}

} // namespace

RunHistory runScenario(const Scenario &S, const std::string &Run,
                       const std::string &Token, CallerClient &Client) {
  const std::uint32_t Count = std::min(S.Client.Threads, S.Sessions);
  std::vector<std::unique_ptr<SessionShard>> Shards;
  for (std::uint32_t I = 0; I < Count; ++I)
    Shards.push_back(std::make_unique<SessionShard>(S, Run, Token, Client,
                                                    ShardPlace{I, Count}));
  const Time Start = std::chrono::steady_clock::now();
  std::vector<std::thread> Threads;
  Threads.reserve(Count);
  for (const auto &Shard : Shards)
    Threads.emplace_back([&Shard, Start] { Shard->run(Start); });
  for (std::thread &Thread : Threads)
    Thread.join();
  RunHistory All;
  for (const auto &Shard : Shards) {
    RunHistory Part = Shard->takeHistory();
    append(All.History, std::move(Part.History));
    append(All.Records, std::move(Part.Records));
    All.SessionMoves += Part.SessionMoves;
    All.Start = Part.Start;
    All.End = Part.End;
  }
  return All;
}

} // namespace borageridge::load
