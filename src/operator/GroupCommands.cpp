#include "operator/GroupCommands.h"

#include "settings/Address.h"
#include "table/Table.h"

#include <map>
#include <set>
#include <sstream>

namespace borageridge::operators {
namespace {

using record::GroupRecord;
using record::Member;

Failure invalid(std::string Detail) {
  return {FailureKind::InvalidArgument, std::move(Detail)};
}

std::string positionText(const endpoint::Position &P) {
  return std::to_string(P.term()) + ':' + std::to_string(P.index());
}

std::string roleText(endpoint::Role Role) {
  switch (Role) {
  case endpoint::ROLE_PRIMARY:
    return "primary";
  case endpoint::ROLE_REPLICA:
    return "replica";
  default:
    return "";
  }
}

std::string phaseText(record::Phase Phase) {
  switch (Phase) {
  case record::PHASE_ACTIVE:
    return "active";
  case record::PHASE_SEALING:
    return "sealing";
  case record::PHASE_PROMOTING:
    return "promoting";
  default:
    return "";
  }
}

Record rowOf(const admin::GroupStatus &Group, const admin::MemberView &View) {
  return {{"database", Group.record().database()},
          {"term", Group.record().term()},
          {"phase", phaseText(Group.record().phase())},
          {"primary", Group.record().primary()},
          {"confirmed", Group.confirmed_index()},
          {"queued", std::uint64_t(Group.queued_requests())},
          {"member", View.name()},
          {"address", View.address()},
          {"availability_zone", View.availability_zone()},
          {"role", roleText(View.status().role())},
          {"member_term", View.status().term()},
          {"received", positionText(View.status().received())},
          {"applied", positionText(View.status().applied())},
          {"reachable", View.reachable()},
          {"suspected", View.suspected()},
          {"leaving", View.leaving()},
          {"connections", std::uint64_t(View.connections())},
          {"status_age_ms", View.status_age_ms()}};
}

using GroupMap = std::map<std::string, admin::GroupStatus>;

// The newest view of each group, or of one.
GroupMap newest(const std::vector<ProxyStatus> &All,
                const std::string &Database) {
  GroupMap Groups;
  for (const ProxyStatus &P : All) {
    if (!P.Reply.has_value())
      continue;
    for (const admin::GroupStatus &Group : P.Reply.value().groups()) {
      const std::string &Name = Group.record().database();
      if (!Database.empty() && Name != Database)
        continue;
      const auto Known = Groups.find(Name);
      if (Known == Groups.end() ||
          Known->second.record().version() < Group.record().version())
        Groups[Name] = Group;
    }
  }
  return Groups;
}

} // namespace

Expected<Member> parseMember(std::string_view Text) {
  const auto Equals = Text.find('=');
  const auto At = Text.rfind('@');
  if (Equals == std::string_view::npos || At == std::string_view::npos ||
      At < Equals)
    return invalid("a member is NAME=ADDRESS@ZONE: " + std::string(Text));
  Member Result;
  Result.set_name(std::string(Text.substr(0, Equals)));
  Result.set_address(std::string(Text.substr(Equals + 1, At - Equals - 1)));
  Result.set_availability_zone(std::string(Text.substr(At + 1)));
  if (!table::isName(Result.name()) ||
      !table::isName(Result.availability_zone()))
    return invalid("not a name in " + std::string(Text));
  if (!settings::isAddress(Result.address()) ||
      settings::isUnspecified(Result.address()))
    return invalid("not an IP:port in " + std::string(Text));
  return Result;
}

Expected<GroupRecord> firstRecord(const GroupInit &Init) {
  if (!table::isName(Init.Database))
    return invalid("not a name of a database: " + Init.Database);
  GroupRecord Result;
  std::set<std::string> Names;
  std::set<std::string> Addresses;
  for (const std::string &Text : Init.Members) {
    auto Parsed = parseMember(Text);
    if (!Parsed.has_value())
      return Parsed.error();
    if (!Names.insert(Parsed.value().name()).second ||
        !Addresses.insert(Parsed.value().address()).second)
      return invalid("a name or an address is given twice: " + Text);
    *Result.add_members() = std::move(Parsed).value();
  }
  if (!Names.contains(Init.Primary))
    return invalid("the primary is not a member: " + Init.Primary);
  Result.set_database(Init.Database);
  Result.set_term(1);
  Result.set_phase(record::PHASE_PROMOTING);
  Result.set_primary(Init.Primary);
  Result.set_version(1);
  record::TermStart *Start = Result.add_history();
  Start->set_term(1);
  Start->set_primary(Init.Primary);
  return Result;
}

ExitCode groupInit(Console &Out, StoreClient &Store, const GroupInit &Init) {
  auto First = firstRecord(Init);
  if (!First.has_value())
    return Out.fail("group init", First.error());
  GroupRecord &R = First.value();
  R.set_attempt(newAttempt());
  store::SwapPlan Plan;
  Plan.Key = "group/" + Init.Database;
  Plan.Writes = {{Plan.Key, R.SerializeAsString()}};
  Plan.EvidenceKey = Plan.Key;
  Plan.IsOwn = carriesAttempt<GroupRecord>(R.attempt());
  const auto Done = Store.swap(std::move(Plan));
  if (!Done.has_value() && Done.error().Kind == FailureKind::Conflict)
    return Out.fail(Init.Database,
                    {FailureKind::Conflict, "the group has a record already"});
  if (!Done.has_value())
    return Out.fail("group init, attempt " + R.attempt(), Done.error());
  if (R.members_size() % 2 == 0)
    Out.note("an even number of members tolerates no more failures than one "
             "member less");
  const Record Row = {
      {"database", R.database()}, {"term", R.term()}, {"primary", R.primary()}};
  Out.columns(Row);
  Out.result(Row);
  return ExitCode::Ok;
}

ExitCode groupShow(Console &Out, const AdminTargets &Targets,
                   const std::string &Database) {
  const std::vector<ProxyStatus> All = allStatuses(Targets);
  std::size_t Unreachable = 0;
  for (const ProxyStatus &P : All) {
    if (P.Reply.has_value())
      continue;
    Out.note(P.Address + ": " + P.Reply.error().Detail);
    ++Unreachable;
  }
  if (Unreachable == All.size())
    return ExitCode::Unreachable;
  const GroupMap Groups = newest(All, Database);
  if (Groups.empty())
    return Out.fail("group",
                    {FailureKind::NotFound, "no proxy knows the group"});
  Out.columns(rowOf({}, {}));
  for (const auto &[Name, Group] : Groups)
    for (const admin::MemberView &View : Group.members())
      Out.result(rowOf(Group, View));
  return ExitCode::Ok;
}

ExitCode groupChangePrimary(Console &Out, const AdminTargets &Targets,
                            const std::string &Database,
                            const std::string &Preferred) {
  const auto Channel = firstReachable(Targets);
  if (!Channel.has_value())
    return Out.fail("change-primary", Channel.error());
  const auto Service = admin::AdminService::NewStub(Channel.value());
  grpc::ClientContext Context;
  setTimeout(Context, Targets.Timeout);
  admin::ChangePrimaryRequest Request;
  Request.set_database(Database);
  Request.set_preferred_primary(Preferred);
  admin::ChangePrimaryReply Reply;
  const grpc::Status Status = Service->ChangePrimary(&Context, Request, &Reply);
  if (!Status.ok())
    return Out.fail("change-primary", toFailure(Status));
  const Record Row = {{"database", Database},
                      {"changed", Reply.changed()},
                      {"term", Reply.record().term()},
                      {"primary", Reply.record().primary()},
                      {"detail", Reply.detail()}};
  Out.columns(Row);
  Out.result(Row);
  return Reply.changed() ? ExitCode::Ok : ExitCode::Failure;
}

} // namespace borageridge::operators
