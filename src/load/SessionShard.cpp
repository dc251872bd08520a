#include "load/SessionShard.h"

#include "load/Workload.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace borageridge::load {

namespace {

/// Sessions that an arrival tries before it waits behind a busy one.
constexpr int SessionDraws = 8;

/// Wait while only answers are pending; the last answer ends it early.
constexpr std::chrono::milliseconds IdleWait{100};

Time now() { return std::chrono::steady_clock::now(); }

} // namespace

/// The messages of one try.
struct SessionShard::Call {
  grpc::ClientContext Context;
  caller::ExecuteRequest Execute;
  caller::ExecuteReply ExecuteReply;
  caller::LookUpRequest LookUp;
  caller::LookUpReply LookUpReply;
};

struct SessionShard::Request {
  Request(Session &S, const OperationSpec &O, Time Start,
          const ClientSpec &Limits)
      : Owner(S), Class(O),
        Progress(isWrite(O.Kind), O.Kind != OperationKind::JobInsert, Start,
                 Limits) {}

  Session &Owner;
  const OperationSpec &Class;
  RequestProgress Progress;
  Operation Op;
  RequestRecord Record;
  std::string Marker;
  NextStep::Kind Step = NextStep::Kind::Execute;
  std::unique_ptr<Call> Current;
  /// Position in the list of open requests.
  std::size_t Slot = 0;
};

struct SessionShard::Timer {
  Time At;
  Request *Target = nullptr;
};

bool SessionShard::LaterTimer::operator()(const Timer &A,
                                          const Timer &B) const {
  return A.At > B.At;
}

SessionShard::SessionShard(const Scenario &S, const std::string &RunName,
                           const std::string &Token, CallerClient &Caller,
                           ShardPlace Place)
    : Spec(S), Run(RunName), Client(Caller), Length(S.Length),
      Random(S.Seed * 1000003 + Place.Index),
      MarkerPrefix(RunName + "-" + std::to_string(Place.Index) + "-") {
  for (const OperationSpec &Op : Spec.Operations)
    Arrivals.emplace_back(Op.RatePerSecond / Place.Count, periodsOf(Op),
                          Random());
  for (SessionId Id = Place.Index; Id < Spec.Sessions; Id += Place.Count) {
    Session &Owner = Sessions.emplace_back();
    Owner.Id = Id;
    Owner.Proxy = Random() % Client.proxies();
    Owner.Token = Token;
    Owner.LastValue.resize(Spec.Databases.size());
    Owner.LastJob.resize(Spec.Databases.size());
    Owner.AcknowledgedJob.resize(Spec.Databases.size());
  }
}

SessionShard::~SessionShard() = default;

std::vector<RatePeriod> SessionShard::periodsOf(const OperationSpec &Op) const {
  std::vector<RatePeriod> Periods;
  for (const Burst &B : Spec.Bursts)
    if (B.Operation == Op.Name)
      Periods.push_back({B.Start, B.Start + B.Length, B.Factor});
  return Periods;
}

void SessionShard::run(Time Start) {
  std::unique_lock Guard(Lock);
  Recorded.Start = Start;
  Recorded.End = Start + Length;
  while (!finished()) {
    Ready Due;
    const Time Now = now();
    startDueArrivals(Now, Due);
    startDueTimers(Now, Due);
    Guard.unlock();
    for (Request *R : Due)
      send(*R);
    Guard.lock();
    if (!finished() && nextWake() > now())
      Wake.wait_until(Guard, nextWake());
  }
}

bool SessionShard::finished() const {
  const auto Over = [this](const auto &A) { return A.next() >= Length; };
  return Open.empty() && std::all_of(Arrivals.begin(), Arrivals.end(), Over);
}

Time SessionShard::nextWake() const {
  Time Next = now() + IdleWait;
  for (const PoissonArrivals &A : Arrivals)
    if (A.next() < Length)
      Next = std::min(Next, Recorded.Start + A.next());
  if (!Timers.empty())
    Next = std::min(Next, Timers.top().At);
  return Next;
}

void SessionShard::startDueArrivals(Time Now, Ready &Due) {
  for (std::uint32_t I = 0; I < Arrivals.size(); ++I) {
    PoissonArrivals &A = Arrivals[I];
    for (; A.next() < Length && Recorded.Start + A.next() <= Now; A.advance())
      arrive({I, Recorded.Start + A.next()}, Due);
  }
}

void SessionShard::startDueTimers(Time Now, Ready &Due) {
  for (; !Timers.empty() && Timers.top().At <= Now; Timers.pop())
    Due.push_back(Timers.top().Target);
}

void SessionShard::arrive(const Waiting &Arrival, Ready &Due) {
  Session *Owner = nullptr;
  for (int Draw = 0; Draw < SessionDraws && (!Owner || Owner->Busy); ++Draw)
    Owner = &Sessions[Random() % Sessions.size()];
  if (Owner->Busy)
    Owner->Queue.push_back(Arrival);
  else
    Due.push_back(startRequest(*Owner, Arrival));
}

SessionShard::Request *SessionShard::startRequest(Session &Owner,
                                                  const Waiting &Arrival) {
  const OperationSpec &Class = Spec.Operations[Arrival.Spec];
  auto Created = std::make_unique<Request>(Owner, Class, now(), Spec.Client);
  Request *R = Created.get();
  R->Slot = Open.size();
  Open.push_back(std::move(Created));
  R->Record.Spec = Arrival.Spec;
  R->Record.Intended = Arrival.Intended;
  R->Marker = MarkerPrefix + std::to_string(++NextMarker);
  planOperation(Owner, Class, R->Op);
  Owner.Busy = true;
  std::uniform_real_distribution<double> Share(0, 1);
  if (Share(Random) < Spec.RoamProbability)
    moveSession(Owner);
  return R;
}

void SessionShard::planOperation(Session &Owner, const OperationSpec &Class,
                                 Operation &Op) {
  Op.Session = Owner.Id;
  Op.Database = DatabaseId(Random() % Spec.Databases.size());
  Op.Kind = Class.Kind;
  Op.AcceptedAge = Class.AcceptedAge;
  // Before its first acknowledged job a session reads its register instead.
  if (Op.Kind == OperationKind::JobRead && !Owner.AcknowledgedJob[Op.Database])
    Op.Kind = OperationKind::RegisterRead;
  switch (Op.Kind) {
  case OperationKind::RegisterWrite:
    Op.Value = ++Owner.LastValue[Op.Database];
    break;
  case OperationKind::JobInsert:
    Op.Value = ++Owner.LastJob[Op.Database];
    break;
  case OperationKind::RegisterRead:
    planRead(Class, Op);
    break;
  case OperationKind::JobRead:
    Op.Value = Owner.AcknowledgedJob[Op.Database];
    break;
  }
}

void SessionShard::planRead(const OperationSpec &Class, Operation &Op) {
  const bool List = Class.Target == ReadTarget::List;
  Op.ExpectedValues = List ? Class.ListSize : 1;
  Op.FirstKey =
      Class.Target == ReadTarget::Own
          ? Op.Session
          : SessionId(Random() % (Spec.Sessions - Op.ExpectedValues + 1));
}

void SessionShard::moveSession(Session &Owner) {
  if (Client.proxies() < 2)
    return;
  const std::size_t Step = 1 + Random() % (Client.proxies() - 1);
  Owner.Proxy = (Owner.Proxy + Step) % Client.proxies();
  ++Recorded.SessionMoves;
}

void SessionShard::send(Request &R) {
  R.Current = std::make_unique<Call>();
  const Time Now = now();
  if (R.Record.Tries++ == 0)
    R.Op.FirstSent = Now;
  R.Op.Sent = Now;
  if (R.Step == NextStep::Kind::LookUp)
    sendLookUp(R);
  else
    sendExecute(R);
}

void SessionShard::sendExecute(Request &R) {
  caller::ExecuteRequest &Message = R.Current->Execute;
  const bool Write = isWrite(R.Op.Kind);
  Message.set_database(Spec.Databases[R.Op.Database]);
  Message.set_kind(Write ? caller::STATEMENT_KIND_WRITE
                         : caller::STATEMENT_KIND_READ);
  Message.set_idempotent(R.Op.Kind != OperationKind::JobInsert);
  Message.set_request_class(R.Class.RequestClass);
  Message.set_session_token(R.Owner.Token);
  if (Write)
    Message.set_request_id(R.Marker);
  else
    Message.set_accepted_age_ms(std::uint32_t(R.Class.AcceptedAge.count()));
  addStatements(R.Op, Run, R.Marker, Message);
  Client.execute(R.Owner.Proxy, R.Op.Session, Spec.Client.AttemptTimeout,
                 Message, R.Current->ExecuteReply, R.Current->Context,
                 [this, &R](const grpc::Status &S) { onAnswer(R, S); });
}

void SessionShard::sendLookUp(Request &R) {
  caller::LookUpRequest &Message = R.Current->LookUp;
  Message.set_database(Spec.Databases[R.Op.Database]);
  Message.set_request_id(R.Marker);
  Message.set_session_token(R.Owner.Token);
  Client.lookUp(R.Owner.Proxy, R.Op.Session, Spec.Client.AttemptTimeout,
                Message, R.Current->LookUpReply, R.Current->Context,
                [this, &R](const grpc::Status &S) { onAnswer(R, S); });
}

TryResult SessionShard::readTry(Request &R, const grpc::Status &Status) {
  TryResult Try;
  if (!Status.ok())
    return Try;
  const bool LookUp = R.Step == NextStep::Kind::LookUp;
  const Call &C = *R.Current;
  const bool Refused =
      LookUp ? C.LookUpReply.has_refusal() : C.ExecuteReply.has_refusal();
  const std::string &Token =
      LookUp ? C.LookUpReply.session_token() : C.ExecuteReply.session_token();
  if (!Refused && !Token.empty())
    R.Owner.Token = Token;
  if (Refused) {
    const caller::Refusal &Refusal =
        LookUp ? C.LookUpReply.refusal() : C.ExecuteReply.refusal();
    return {TryResult::Kind::Refused, Refusal.reason(), Refusal.execution(),
            std::chrono::milliseconds(Refusal.retry_after_ms()),
            Refusal.move()};
  }
  if (!LookUp) {
    Try.How = TryResult::Kind::Answered;
    readAnswer(C.ExecuteReply, R.Marker, R.Op);
    R.Record.Replica = C.ExecuteReply.served_by().replica();
  } else if (C.LookUpReply.outcome() == caller::OUTCOME_RAN) {
    // A look-up returns no results; it counts as a replayed answer.
    Try.How = TryResult::Kind::LookUpRan;
    R.Op.Replayed = true;
  } else if (C.LookUpReply.outcome() == caller::OUTCOME_NOT_RUN) {
    Try.How = TryResult::Kind::LookUpNotRun;
  }
  return Try;
}

void SessionShard::onAnswer(Request &R, const grpc::Status &Status) {
  const Time Now = now();
  Ready Due;
  {
    const std::scoped_lock Guard(Lock);
    const TryResult Try = readTry(R, Status);
    if (Try.How == TryResult::Kind::Refused)
      R.Record.Reason = Try.Reason;
    const NextStep Next = R.Progress.onTry(Try, Now);
    if (Next.Step == NextStep::Kind::Finish) {
      finish(R, Next.Outcome, Now, Due);
    } else {
      R.Step = Next.Step;
      if (Next.Elsewhere)
        moveSession(R.Owner);
      Timers.push({Now + Next.Delay, &R});
    }
    if (Open.empty() || Next.Step != NextStep::Kind::Finish)
      Wake.notify_one();
  }
  for (Request *Started : Due)
    send(*Started);
}

void SessionShard::finish(Request &R, Result Outcome, Time Now, Ready &Due) {
  R.Op.Outcome = Outcome;
  R.Op.Completed = Now;
  Session &Owner = R.Owner;
  if (Outcome == Result::Acknowledged && R.Op.Kind == OperationKind::JobInsert)
    Owner.AcknowledgedJob[R.Op.Database] = R.Op.Value;
  Recorded.History.push_back(std::move(R.Op));
  Recorded.Records.push_back(R.Record);
  Open.back()->Slot = R.Slot;
  std::swap(Open[R.Slot], Open.back());
  Open.pop_back();
  Owner.Busy = false;
  if (Owner.Queue.empty())
    return;
  const Waiting Next = Owner.Queue.front();
  Owner.Queue.pop_front();
  Due.push_back(startRequest(Owner, Next));
}

} // namespace borageridge::load
