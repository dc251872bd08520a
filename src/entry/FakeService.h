#ifndef BORAGERIDGE_ENTRY_FAKESERVICE_H
#define BORAGERIDGE_ENTRY_FAKESERVICE_H

#include "entry/FakeMember.h"
#include "http/HttpServer.h"
#include "runtime/Clock.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <deque>
#include <memory>
#include <string>

namespace borageridge::entry {

/// A service whose members replicate a log, with the platform's registry and
/// its calls for promotions. The test writes to it in the place of callers.
class FakeService {
public:
  struct Replica {
    std::string Id;
    std::int64_t Born = 1;
    bool Primary = false;
    Term CurrentTerm = 3;
    Position Received = {3, 1};
    /// Receives nothing.
    bool Deaf = false;
    /// Neither answers nor replicates; keeps its state.
    bool Dark = false;
    /// Does not answer the daemons.
    bool Cut = false;
    bool Leaving = false;
    /// The process has ended.
    bool Ended = false;
    std::string Status;
    std::unique_ptr<FakeMember> Server;

    bool isUp() const { return !Dark && !Ended; }
  };

  FakeService(runtime::asio::io_context &Context, std::size_t Count,
              std::size_t Sync)
      : SyncReplicas(Sync), Io(Context) {
    for (std::size_t I = 0; I < Count; ++I)
      add(std::string(1, static_cast<char>('a' + I)));
    Replicas.front().Primary = true;
    Expected<runtime::tcp::acceptor> Acceptor = runtime::listen(
        Io,
        runtime::tcp::endpoint(runtime::asio::ip::address_v4::loopback(), 0));
    Promotions = Acceptor.value().local_endpoint();
    runtime::spawn(Io, runtime::acceptConnections(
                           std::move(Acceptor).value(),
                           http::connectionHandler(
                               Io, [this](const http::Request &Request) {
                                 return promote(Request);
                               })));
  }

  /// Adds a member with an empty log.
  Replica &add(const std::string &Id) {
    Replica &M = Replicas.emplace_back();
    M.Id = Id;
    M.Received = Replicas.size() > 1 ? Position() : Position{3, 1};
    M.Server = std::make_unique<FakeMember>(Io, Id);
    M.Server->Answer = [&M](const std::string &Text) {
      return answer(M, Text);
    };
    return M;
  }

  /// The process has ended and starts again with its log under a new id.
  Replica &restartAs(Replica &Old, const std::string &Id) {
    Replica &M = add(Id);
    M.Born = ++Births;
    M.Received = Old.Received;
    M.CurrentTerm = Old.CurrentTerm;
    M.Primary = Old.Primary && leader() == &Old;
    Old.Ended = true;
    Old.Received = Position();
    return M;
  }

  Replica &find(const std::string &Id) {
    return *std::find_if(Replicas.begin(), Replicas.end(),
                         [&](const Replica &M) { return M.Id == Id; });
  }

  bool has(const std::string &Id) const {
    return std::any_of(Replicas.begin(), Replicas.end(),
                       [&](const Replica &M) { return M.Id == Id; });
  }

  /// The member that leads the newest term.
  Replica *leader() {
    Replica *Best = nullptr;
    for (Replica &M : Replicas)
      if (M.Primary && !M.Ended &&
          (Best == nullptr || M.CurrentTerm > Best->CurrentTerm))
        Best = &M;
    return Best;
  }

  /// The replicas receive the log of the leader.
  void replicate() {
    for (Replica &M : Replicas)
      M.Server->IsSilent = !M.isUp() || M.Cut;
    Replica *Leader = leader();
    if (Leader == nullptr || !Leader->isUp())
      return;
    for (Replica &M : Replicas)
      if (&M != Leader && M.isUp() && !M.Deaf &&
          M.CurrentTerm <= Leader->CurrentTerm) {
        M.Primary = false;
        M.CurrentTerm = Leader->CurrentTerm;
        M.Received = Leader->Received;
      }
  }

  /// Commits a write at the member if it leads and the former one has been
  /// received. Returns whether the former one may be acknowledged.
  bool write(Replica &Primary) {
    if (!Primary.Primary || !Primary.isUp() || Primary.Cut)
      return false;
    const auto Received =
        std::count_if(Replicas.begin(), Replicas.end(), [&](const Replica &M) {
          return &M != &Primary && M.Received >= Primary.Received;
        });
    if (Received < static_cast<std::ptrdiff_t>(SyncReplicas))
      return false;
    Acknowledged = Primary.Received;
    Primary.Received = {Primary.CurrentTerm, Primary.Received.Index + 1};
    return true;
  }

  std::size_t SyncReplicas;
  std::deque<Replica> Replicas;
  /// The newest write that was acknowledged.
  Position Acknowledged;
  /// Whether a member was promoted that lacks it.
  bool HasLostCommit = false;
  runtime::tcp::endpoint Promotions;

private:
  static std::string_view answer(Replica &M, const std::string &Text) {
    if (Text.find("STEPDOWN") != std::string::npos)
      M.Primary = false;
    const std::string At = std::to_string(M.Received.EntryTerm) + "." +
                           std::to_string(M.Received.Index);
    const std::string InTerm = std::to_string(M.CurrentTerm);
    M.Status = "ROW " + std::string(M.Primary ? "primary " : "replica ") +
               InTerm + " " + At + " " + InTerm +
               " 0 0 1\r\nCOMPLETE -\r\nREADY I " + At + "\r\n";
    return M.Status;
  }

  http::Response promote(const http::Request &Request) {
    const std::string Id = nlohmann::json::parse(Request.Body).at("id");
    Replica &M = find(Id);
    if (!M.isUp())
      return {409, "{}"};
    if (M.Primary)
      return {200, "{}"};
    Term Newest = 0;
    for (const Replica &Other : Replicas)
      Newest = std::max(Newest, Other.CurrentTerm);
    HasLostCommit = HasLostCommit || M.Received < Acknowledged;
    M.CurrentTerm = Newest + 1;
    M.Primary = true;
    M.Deaf = false;
    return {200, "{}"};
  }

  runtime::asio::io_context &Io;
  std::int64_t Births = 1;
};

} // namespace borageridge::entry

#endif // BORAGERIDGE_ENTRY_FAKESERVICE_H
