#include "operator/ProxyCommands.h"

#include <map>
#include <set>

namespace borageridge::operators {
namespace {

Record rowOf(const std::string &Address, const admin::StatusReply &Reply) {
  return {{"instance", Reply.instance()},
          {"availability_zone", Reply.availability_zone()},
          {"source", Address},
          {"reachable", true},
          {"table_version", Reply.table_version()},
          {"table_recent", Reply.table_recent()},
          {"table_confirmed_ago_ms", Reply.table_confirmed_ago_ms()},
          {"in_flight", std::uint64_t(Reply.in_flight())},
          {"draining", Reply.draining()}};
}

// What a proxy cannot tell of its peer stays empty.
Record rowOf(const std::string &Teller, const admin::PeerStatus &Peer) {
  return {{"instance", Peer.instance()},
          {"availability_zone", Peer.availability_zone()},
          {"source", "peer of " + Teller},
          {"reachable", ""},
          {"table_version", Peer.table_version()},
          {"table_recent", ""},
          {"table_confirmed_ago_ms", ""},
          {"in_flight", ""},
          {"draining", Peer.draining()}};
}

Record unreachableRow(const std::string &Address) {
  return {{"instance", ""},
          {"availability_zone", ""},
          {"source", Address},
          {"reachable", false},
          {"table_version", ""},
          {"table_recent", ""},
          {"table_confirmed_ago_ms", ""},
          {"in_flight", ""},
          {"draining", ""}};
}

struct Summary {
  std::map<std::uint64_t, std::size_t> Versions;
  std::size_t NotRecent = 0;
  std::size_t Unreachable = 0;
};

void printSummary(Console &Out, const Summary &S) {
  for (const auto &[Version, Count] : S.Versions)
    Out.note("version " + std::to_string(Version) + " is in force on " +
             std::to_string(Count) + " of the proxies that answered");
  if (S.NotRecent > 0)
    Out.note(std::to_string(S.NotRecent) +
             " cannot confirm that their table is recent");
  if (S.Unreachable > 0)
    Out.note(std::to_string(S.Unreachable) + " did not answer");
}

// Peers that were not asked themselves, from the most recent sight of them.
void printPeers(Console &Out, const std::vector<ProxyStatus> &All) {
  std::set<std::string> Asked;
  struct Sight {
    std::string Teller;
    admin::PeerStatus Peer;
  };
  std::map<std::string, Sight> Seen;
  for (const ProxyStatus &P : All)
    if (P.Reply.has_value())
      Asked.insert(P.Reply.value().instance());
  for (const ProxyStatus &P : All) {
    if (!P.Reply.has_value())
      continue;
    for (const admin::PeerStatus &Peer : P.Reply.value().peers()) {
      const auto Known = Seen.find(Peer.instance());
      const bool Newer = Known == Seen.end() ||
                         Peer.seen_ago_ms() < Known->second.Peer.seen_ago_ms();
      if (!Asked.contains(Peer.instance()) && Newer)
        Seen[Peer.instance()] = {P.Reply.value().instance(), Peer};
    }
  }
  for (const auto &[Instance, S] : Seen)
    Out.result(rowOf(S.Teller, S.Peer));
}

} // namespace

ExitCode status(Console &Out, const AdminTargets &Targets) {
  const std::vector<ProxyStatus> All = allStatuses(Targets);
  Summary S;
  Out.columns(unreachableRow(""));
  for (const ProxyStatus &P : All) {
    if (!P.Reply.has_value()) {
      Out.result(unreachableRow(P.Address));
      Out.note(P.Address + ": " + P.Reply.error().Detail);
      ++S.Unreachable;
      continue;
    }
    const admin::StatusReply &Reply = P.Reply.value();
    Out.result(rowOf(P.Address, Reply));
    ++S.Versions[Reply.table_version()];
    if (!Reply.table_recent())
      ++S.NotRecent;
  }
  printPeers(Out, All);
  printSummary(Out, S);
  return S.Unreachable > 0 ? ExitCode::Unreachable : ExitCode::Ok;
}

ExitCode drain(Console &Out, const AdminTargets &Targets) {
  if (Targets.Addresses.size() != 1) {
    Out.note("drain needs exactly one --admin address");
    return ExitCode::Usage;
  }
  const auto Channel = firstReachable(Targets);
  if (!Channel.has_value())
    return Out.fail("drain", Channel.error());
  const auto Service = admin::AdminService::NewStub(Channel.value());
  grpc::ClientContext Context;
  setTimeout(Context, Targets.Timeout);
  admin::DrainReply Reply;
  const grpc::Status Status =
      Service->Drain(&Context, admin::DrainRequest(), &Reply);
  if (!Status.ok())
    return Out.fail("drain", toFailure(Status));
  const Record Row = {{"in_flight", std::uint64_t(Reply.in_flight())}};
  Out.columns(Row);
  Out.result(Row);
  return ExitCode::Ok;
}

} // namespace borageridge::operators
