#include "operator/RequestCommands.h"

#include "operator/AdminCalls.h"
#include "operator/Credentials.h"

#include "caller.grpc.pb.h"

namespace borageridge::operators {
namespace {

std::string withoutLineEnd(std::string Text) {
  while (!Text.empty() && (Text.back() == '\n' || Text.back() == '\r'))
    Text.pop_back();
  return Text;
}

ExitCode report(Console &Out, const RequestLookUp &LookUp,
                const std::string &Outcome, ExitCode Code) {
  const Record Row = {{"database", LookUp.Database},
                      {"request_id", LookUp.RequestId},
                      {"outcome", Outcome}};
  Out.columns(Row);
  Out.result(Row);
  return Code;
}

ExitCode reportRefusal(Console &Out, const RequestLookUp &LookUp,
                       const caller::Refusal &Refusal) {
  Out.note(caller::RefusalReason_Name(Refusal.reason()) + ": " +
           Refusal.detail());
  if (Refusal.reason() == caller::REFUSAL_REASON_UNKNOWN_DATABASE)
    return ExitCode::NotFound;
  if (Refusal.reason() == caller::REFUSAL_REASON_BAD_REQUEST)
    return ExitCode::InvalidInput;
  return report(Out, LookUp, "unknown", ExitCode::Unknown);
}

} // namespace

ExitCode requestLookUp(Console &Out, const RequestLookUp &LookUp) {
  const auto Secret = readFile(LookUp.SecretFile);
  if (!Secret.has_value())
    return Out.fail("secret", Secret.error());
  const auto Channel =
      connect(LookUp.CallerAddress, LookUp.Credentials, LookUp.Timeout);
  if (!Channel.has_value())
    return Out.fail("look-up", Channel.error());
  const auto Service = caller::CallerService::NewStub(Channel.value());
  grpc::ClientContext Context;
  setTimeout(Context, LookUp.Timeout);
  Context.AddMetadata("authorization",
                      "Bearer " + withoutLineEnd(Secret.value()));
  Context.AddMetadata("x-borageridge-caller", LookUp.Caller);
  caller::LookUpRequest Request;
  Request.set_database(LookUp.Database);
  Request.set_request_id(LookUp.RequestId);
  caller::LookUpReply Reply;
  const grpc::Status Status = Service->LookUp(&Context, Request, &Reply);
  if (!Status.ok())
    return Out.fail("look-up", toFailure(Status));
  if (Reply.has_refusal())
    return reportRefusal(Out, LookUp, Reply.refusal());
  if (Reply.outcome() == caller::OUTCOME_RAN)
    return report(Out, LookUp, "ran", ExitCode::Ok);
  if (Reply.outcome() == caller::OUTCOME_NOT_RUN)
    return report(Out, LookUp, "not_run", ExitCode::NotRun);
  return report(Out, LookUp, "unknown", ExitCode::Unknown);
}

} // namespace borageridge::operators
