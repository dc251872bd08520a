// Construction and event handlers of the engine.

#include "dispatch/GroupEngine.h"

#include "admission/ConnectionShare.h"

#include <algorithm>

namespace borageridge::dispatch {

namespace {

using group::MemberIndex;

constexpr Duration ObserveRetryDelay = std::chrono::milliseconds(50);
constexpr std::uint32_t LookUpPriority = 0;
constexpr std::uint32_t DefaultReadPriority = 5;
constexpr std::uint32_t DefaultWritePriority = 1;

Duration acceptedAge(const caller::ExecuteRequest &Message,
                     const table::ReadPolicy &Policy) {
  const Duration OfClass = Policy.AcceptedAge;
  if (!Message.has_accepted_age_ms())
    return OfClass;
  return std::min<Duration>(
      OfClass, std::chrono::milliseconds(Message.accepted_age_ms()));
}

/// Reason and detail of the refusal of an invalid request.
struct ValidationError {
  caller::RefusalReason Reason = caller::REFUSAL_REASON_BAD_REQUEST;
  std::string_view Detail;
};

std::optional<ValidationError> validate(const Request &R,
                                        const table::Table &Table) {
  const caller::ExecuteRequest &Message = R.Message;
  const bool IsWrite = R.Type == RequestType::Write;
  const auto Policy = Table.requestClass(R.Class);
  if (Message.kind() == caller::STATEMENT_KIND_UNSPECIFIED)
    return ValidationError{caller::REFUSAL_REASON_BAD_REQUEST,
                           "the kind of the statements is missing"};
  if (Message.statements().empty())
    return ValidationError{caller::REFUSAL_REASON_BAD_REQUEST,
                           "there is no statement"};
  if (IsWrite && !Message.idempotent() && R.RequestKey.empty())
    return ValidationError{caller::REFUSAL_REASON_BAD_REQUEST,
                           "a write that is not idempotent needs a request id"};
  if (!R.Class.empty() && !Policy)
    return ValidationError{caller::REFUSAL_REASON_UNKNOWN_CLASS,
                           "the table does not name the class"};
  if (Policy && (Policy->Kind == table::RequestKind::Write) != IsWrite)
    return ValidationError{caller::REFUSAL_REASON_BAD_REQUEST,
                           "the class is of another kind"};
  return std::nullopt;
}

} // namespace

GroupEngine::GroupEngine(std::string Name, EngineSettings WithSettings,
                         failover::AttemptGenerator NextAttempt, Time Now)
    : Database(std::move(Name)), Settings(std::move(WithSettings)),
      View(Database), Suspicion(Database, Settings.Self, Settings.Suspicion),
      Promotion(Settings.Promotion, NextAttempt),
      NextUniqueId(std::move(NextAttempt)), Reads(Settings.Queue),
      Writes(Settings.Queue), Retries(Settings.Retries, Now),
      NextConnection(Settings.FirstConnectionId), Random(Settings.Seed) {}

void GroupEngine::configure(const table::Table &NewTable, Time Now,
                            Actions &Out) {
  CurrentTable = NewTable;
  const table::GroupPolicy Policy = CurrentTable.group(Database);
  const std::uint32_t Share =
      admission::share(Policy.ConnectionsPerMember, Policy.MaxProxies);
  Pool.configure(Share,
                 admission::readsOnPrimary(Share, Policy.PrimaryWriteReserve));
  dispatchQueued(Now, Out);
}

void GroupEngine::recordKnown(const failover::KnownRecord &Known, Time Now,
                              Actions &Out) {
  Promotion.recordChanged(Known, Now);
  if (View.applyRecord(Known.Record, Known.Revision))
    adoptRecord(Now, Out);
}

// Updates the view from the latest record of the promotion, then moves requests
// of earlier terms to the new term.
void GroupEngine::adoptRecord(Time Now, Actions &Out) {
  if (Promotion.record())
    View.applyRecord(Promotion.record()->Record, Promotion.record()->Revision);
  if (View.activeTerm() > AdoptedTerm) {
    AdoptedTerm = View.activeTerm();
    failRequestsToReplacedPrimary(Now, Out);
  }
  if (History.newestTerm() == View.record().term())
    return;
  History = session::TermHistory::fromRecord(View.record());
  maintainObservations(Now, Out);
  abortConfirmations(Now, Out);
  dispatchQueued(Now, Out);
}

void GroupEngine::execute(RequestContext Context,
                          caller::ExecuteRequest Message, Time Now,
                          Actions &Out) {
  const bool IsWrite = Message.kind() == caller::STATEMENT_KIND_WRITE;
  auto New = makeRequest(std::move(Context),
                         IsWrite ? RequestType::Write : RequestType::Read,
                         Message.request_id(), Message.request_class());
  Request &R = *New;
  R.Message = std::move(Message);
  if (const std::optional<ValidationError> Error = validate(R, CurrentTable)) {
    Requests.emplace(R.Id, std::move(New));
    return refuse(R, Error->Reason, std::string(Error->Detail), Now, Out);
  }
  if (IsWrite) {
    // An idempotent write gets a request key too: without one, a delayed first
    // attempt could run after the retry and overwrite later writes.
    if (R.RequestKey.empty())
      R.RequestKey = NextUniqueId();
    R.Acknowledge = CurrentTable.acknowledge(Database, R.Class);
  } else {
    const table::ReadPolicy Policy = CurrentTable.read(Database, R.Class);
    R.Demand.AcceptedAge = acceptedAge(R.Message, Policy);
    R.Demand.ReplicaAllowed = Shares[R.Class].take(Policy.ReplicaShare);
  }
  const std::uint64_t Bytes = R.Message.ByteSizeLong();
  admit(std::move(New), Bytes, Now, Out);
}

void GroupEngine::lookUp(RequestContext Context,
                         const caller::LookUpRequest &Message, Time Now,
                         Actions &Out) {
  auto New = makeRequest(std::move(Context), RequestType::LookUp,
                         Message.request_id(), "");
  New->Priority = LookUpPriority;
  admitKeyed(std::move(New), Now, Out);
}

void GroupEngine::beginTransaction(RequestContext Context,
                                   const caller::TransactBegin &Message,
                                   Time Now, Actions &Out) {
  admitKeyed(makeRequest(std::move(Context), RequestType::Transaction,
                         Message.request_id(), Message.request_class()),
             Now, Out);
}

std::unique_ptr<Request>
GroupEngine::makeRequest(RequestContext Context, RequestType Type,
                         std::string_view Key, std::string_view Class) const {
  auto New = std::make_unique<Request>();
  New->Id = Context.Id;
  New->Type = Type;
  New->Caller = std::move(Context.Caller);
  New->Positions = std::move(Context.Positions);
  New->Deadline = Context.Deadline;
  New->RequestKey = std::string(Key);
  New->Class = std::string(Class);
  New->Priority =
      Type == RequestType::Read ? DefaultReadPriority : DefaultWritePriority;
  if (const auto Policy = CurrentTable.requestClass(Class))
    New->Priority = Policy->Priority;
  return New;
}

// Look-ups and transactions require a request id, because their outcome is
// settled by it.
void GroupEngine::admitKeyed(std::unique_ptr<Request> New, Time Now,
                             Actions &Out) {
  Request &R = *New;
  if (R.RequestKey.empty()) {
    Requests.emplace(R.Id, std::move(New));
    return refuse(R, caller::REFUSAL_REASON_BAD_REQUEST,
                  "the request id is missing", Now, Out);
  }
  admit(std::move(New), R.RequestKey.size(), Now, Out);
}

void GroupEngine::statusReceived(MemberIndex Member,
                                 const endpoint::MemberStatus &Status, Time Now,
                                 Actions &Out) {
  const std::string &Name = View.member(Member).Name;
  MemberRuntimes[Member].LastStatusAt = Now;
  Suspicion.statusReceived(Name, Now);
  Promotion.statusReceived(Name, Status, Now);
  View.statusReceived(Member, Status, Now);
  if (Status.ping_sequence() >= ConfirmationRoundFirstPing)
    ConfirmationRoundAnswered = true;
  if (Member == View.primary() && Status.term() == RefusedTerm &&
      Status.sealed_term() <= RefusedTerm)
    RefusedTerm = 0;
  checkConfirmations(Now, Out);
  if (!Pool.anyIdle())
    return;
  dispatchReplicaWaiters(Now, Out);
  dispatchQueued(Now, Out);
}

void GroupEngine::observationFailed(MemberIndex Member, const Failure &Error,
                                    Time Now, Actions &) {
  MemberRuntimes[Member].Observing = false;
  MemberRuntimes[Member].NextObserveAt = Now + ObserveRetryDelay;
  View.observationLost(Member);
  if (Error.Kind == FailureKind::Unavailable ||
      Error.Kind == FailureKind::Unknown)
    Suspicion.connectionRefused(View.member(Member).Name, Now);
}

void GroupEngine::recordRead(const Expected<failover::KnownRecord> &Result,
                             Time Now, Actions &Out) {
  Promotion.readFinished(Result, Now);
  adoptRecord(Now, Out);
}

void GroupEngine::recordSwapped(const failover::SwapRecord &Swap,
                                const Expected<std::int64_t> &Result, Time Now,
                                Actions &Out) {
  const Term Before = View.record().term();
  Promotion.swapFinished(Swap.Record.attempt(), Result, Now);
  if (Result.has_value() && Swap.Record.term() > Before)
    ++Counters.Promotions;
  adoptRecord(Now, Out);
  runFailover(Now, Out);
}

void GroupEngine::memberSealed(std::string_view Member, Term SealedFor,
                               const Expected<endpoint::SealReply> &Result,
                               Time Now, Actions &Out) {
  Promotion.sealFinished(Member, SealedFor, Result, Now);
  runFailover(Now, Out);
}

void GroupEngine::memberPromoted(std::string_view Member, Term PromotedFor,
                                 const Expected<endpoint::PromoteReply> &Result,
                                 Time Now, Actions &Out) {
  Promotion.promoteFinished(Member, PromotedFor, Result, Now);
  runFailover(Now, Out);
}

void GroupEngine::evidenceReceived(const peer::Evidence &Evidence, Time Now) {
  Suspicion.evidenceReceived(Evidence, Now);
}

std::vector<peer::Evidence> GroupEngine::ownEvidence(Time Now) const {
  return Suspicion.ownEvidence(Now);
}

void GroupEngine::proxiesChanged(
    std::vector<ranking::ProxyIdentity> Alive,
    std::vector<ranking::ProxyIdentity> NewWitnesses) {
  Witnesses = std::move(NewWitnesses);
  Rank = ranking::rankOf(Settings.Self.Name, Alive, Database);
  Promotion.rankChanged(Rank);
}

void GroupEngine::leavingChanged(std::span<const std::string> Names, Time Now,
                                 Actions &Out) {
  for (group::MemberState &State : View.members())
    State.ListedAsLeaving =
        std::find(Names.begin(), Names.end(), State.Name) != Names.end();
  dispatchQueued(Now, Out);
}

failover::StartResult GroupEngine::changePrimary(std::string_view Preferred,
                                                 Time Now, Actions &Out) {
  const failover::StartResult Result =
      Promotion.start(failover::ChangeReason::Planned, Preferred, Now);
  runFailover(Now, Out);
  return Result;
}

std::size_t GroupEngine::queued() const { return Reads.size() + Writes.size(); }

bool GroupEngine::isSuspected(MemberIndex Member, Time Now) const {
  return Suspicion.isSuspected(View.member(Member).Name, Now);
}

void GroupEngine::describe(admin::GroupStatus &Status, Time Now) const {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  *Status.mutable_record() = View.record();
  Status.set_confirmed_index(View.confirmedIndex());
  Status.set_queued_requests(static_cast<std::uint32_t>(queued()));
  for (MemberIndex I = 0; I < View.members().size(); ++I) {
    const group::MemberState &State = View.member(I);
    if (!State.InRecord)
      continue;
    admin::MemberView &Member = *Status.add_members();
    Member.set_name(State.Name);
    Member.set_address(State.Address);
    Member.set_availability_zone(State.AvailabilityZone);
    if (State.Status) {
      *Member.mutable_status() = *State.Status;
      Member.set_status_age_ms(static_cast<std::uint64_t>(
          duration_cast<milliseconds>(Now - State.StatusAt).count()));
    }
    Member.set_reachable(I < MemberRuntimes.size() &&
                         MemberRuntimes[I].Observing);
    Member.set_suspected(isSuspected(I, Now));
    Member.set_leaving(State.leaving());
    Member.set_connections(Pool.openCount(I));
  }
}

} // namespace borageridge::dispatch
