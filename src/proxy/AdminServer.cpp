#include "proxy/AdminServer.h"
#include "runtime/Clock.h"

#include <absl/time/clock.h>

namespace borageridge::proxy {

namespace {

constexpr absl::Duration PollInterval = absl::Milliseconds(10);

std::string_view describe(failover::StartResult Result) {
  switch (Result) {
  case failover::StartResult::Started:
    return "the change was started";
  case failover::StartResult::InProgress:
    return "a change is in progress";
  case failover::StartResult::RateLimited:
    return "too soon after the last change";
  case failover::StartResult::NoRecord:
    return "no record of the group is known";
  case failover::StartResult::Unsuitable:
    return "the member does not exist or is the primary already";
  }
  return "";
}

} // namespace

grpc::Status AdminServer::check(const grpc::ServerContext &Context) const {
  const Expected<void> Allowed = MayCall(Context);
  if (Allowed.has_value())
    return grpc::Status::OK;
  return {grpc::StatusCode::PERMISSION_DENIED, Allowed.error().Detail};
}

grpc::Status AdminServer::Status(grpc::ServerContext *Context,
                                 const admin::StatusRequest *,
                                 admin::StatusReply *Reply) {
  grpc::Status Allowed = check(*Context);
  if (!Allowed.ok())
    return Allowed;
  *Reply = Control.status(runtime::steadyTime());
  Reply->set_in_flight(static_cast<std::uint32_t>(InFlight()));
  return grpc::Status::OK;
}

grpc::Status
AdminServer::ChangePrimary(grpc::ServerContext *Context,
                           const admin::ChangePrimaryRequest *Request,
                           admin::ChangePrimaryReply *Reply) {
  grpc::Status Allowed = check(*Context);
  if (!Allowed.ok())
    return Allowed;
  GroupHandle *Group = Control.group(Request->database());
  if (!Group)
    return {grpc::StatusCode::NOT_FOUND,
            "the table does not name the database"};
  const Term Before = Group->record().term();
  const failover::StartResult Result =
      Group->changePrimary(Request->preferred_primary());
  Reply->set_detail(std::string(describe(Result)));
  const bool Pending = Result == failover::StartResult::Started ||
                       Result == failover::StartResult::InProgress;
  while (Pending && !Context->IsCancelled()) {
    const record::GroupRecord Record = Group->record();
    if (Record.term() > Before && Record.phase() == record::PHASE_ACTIVE) {
      Reply->set_changed(true);
      break;
    }
    absl::SleepFor(PollInterval);
  }
  *Reply->mutable_record() = Group->record();
  return grpc::Status::OK;
}

grpc::Status AdminServer::Drain(grpc::ServerContext *Context,
                                const admin::DrainRequest *,
                                admin::DrainReply *Reply) {
  grpc::Status Allowed = check(*Context);
  if (!Allowed.ok())
    return Allowed;
  Reply->set_in_flight(static_cast<std::uint32_t>(InFlight()));
  OnDrain();
  return grpc::Status::OK;
}

} // namespace borageridge::proxy
