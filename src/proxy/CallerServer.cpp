#include "proxy/CallerServer.h"

#include <absl/synchronization/mutex.h>

#include <optional>
#include <utility>

namespace borageridge::proxy {

namespace {

using dispatch::RequestContext;
using dispatch::RequestId;
using dispatch::SendAnswer;

// A request is named by the address of its sink: unique while the request
// lives, and an answer needs no table to find it.
RequestId idOf(AnswerSink *Sink) { return reinterpret_cast<RequestId>(Sink); }

Time deadlineOf(const grpc::CallbackServerContext &Context, Time Now,
                Duration Default) {
  const auto Left = Context.deadline() - std::chrono::system_clock::now();
  return Left < Default ? Now + std::chrono::duration_cast<Duration>(Left)
                        : Now + Default;
}

caller::Refusal makeRefusal(caller::RefusalReason Reason,
                            std::string_view RequestKey,
                            std::string_view Detail) {
  caller::Refusal Refusal;
  Refusal.set_reason(Reason);
  Refusal.set_execution(caller::EXECUTION_NOT_RUN);
  Refusal.set_request_id(std::string(RequestKey));
  Refusal.set_detail(std::string(Detail));
  Refusal.set_move(Reason == caller::REFUSAL_REASON_DRAINING);
  return Refusal;
}

grpc::Status unauthenticated(const Failure &Why) {
  return {grpc::StatusCode::UNAUTHENTICATED, Why.Detail};
}

/// What has to hold before a request reaches its group.
struct Admission {
  std::optional<caller::Refusal> Refusal;
  RequestTarget *Target = nullptr;
  session::SessionPositions Positions;
};

Admission check(const CallerServerEnvironment &Environment, bool Draining,
                std::string_view Caller, std::string_view Database,
                std::string_view Token, std::string_view RequestKey) {
  Admission Result;
  const auto Refuse = [&](caller::RefusalReason Reason,
                          std::string_view Detail) {
    Result.Refusal = makeRefusal(Reason, RequestKey, Detail);
  };
  if (Draining) {
    Refuse(caller::REFUSAL_REASON_DRAINING, "the proxy is shutting down");
    return Result;
  }
  auto Positions = Environment.Tokens->decode(Caller, Token);
  if (!Positions.has_value()) {
    Refuse(caller::REFUSAL_REASON_BAD_TOKEN, name(Positions.error()));
    return Result;
  }
  Result.Positions = std::move(Positions.value());
  Result.Target = Environment.Target(Database);
  if (!Result.Target)
    Refuse(caller::REFUSAL_REASON_UNKNOWN_DATABASE,
           "the table does not name the database");
  return Result;
}

} // namespace

/// What Execute and LookUp differ in.
template <typename Message> struct UnaryTraits;

template <> struct UnaryTraits<caller::ExecuteRequest> {
  using Reply = caller::ExecuteReply;

  static void submit(RequestTarget &Target, RequestContext From,
                     const caller::ExecuteRequest &Message) {
    Target.execute(std::move(From), Message);
  }

  static CallKind kind(const caller::ExecuteRequest &Message) {
    return Message.kind() == caller::STATEMENT_KIND_WRITE ? CallKind::Write
                                                          : CallKind::Read;
  }

  static std::string_view requestClass(const caller::ExecuteRequest &Message) {
    return Message.request_class();
  }
};

template <> struct UnaryTraits<caller::LookUpRequest> {
  using Reply = caller::LookUpReply;

  static void submit(RequestTarget &Target, RequestContext From,
                     const caller::LookUpRequest &Message) {
    Target.lookUp(std::move(From), Message);
  }

  static CallKind kind(const caller::LookUpRequest &) {
    return CallKind::LookUp;
  }

  static std::string_view requestClass(const caller::LookUpRequest &) {
    return "";
  }
};

/// One unary call from its arrival to its answer; deletes itself.
template <typename MessageType> class UnaryCall final : public AnswerSink {
  using Traits = UnaryTraits<MessageType>;
  using ReplyType = typename Traits::Reply;

public:
  static grpc::ServerUnaryReactor *run(CallerServer &Server,
                                       grpc::CallbackServerContext &Context,
                                       const MessageType &Message,
                                       ReplyType &Reply) {
    grpc::ServerUnaryReactor *Reactor = Context.DefaultReactor();
    Expected<std::string> Caller = Server.Environment.Authenticate(Context);
    if (!Caller.has_value()) {
      Reactor->Finish(unauthenticated(Caller.error()));
      return Reactor;
    }
    auto *Call = new UnaryCall(Server, Message, Reply, Reactor,
                               std::move(Caller.value()));
    Call->start(Context);
    return Reactor;
  }

  void answer(SendAnswer &&Answer) override {
    Reply = std::move(std::get<ReplyType>(Answer.Reply));
    Reply.set_session_token(
        Server.Environment.Tokens->encode(Caller, Answer.Positions));
    end();
  }

private:
  UnaryCall(CallerServer &Owner, const MessageType &Request,
            ReplyType &CallReply, grpc::ServerUnaryReactor *CallReactor,
            std::string CallCaller)
      : Server(Owner), Message(Request), Reply(CallReply), Reactor(CallReactor),
        Caller(std::move(CallCaller)),
        Arrival(std::chrono::steady_clock::now()) {
    ++Server.InFlight;
  }

  void start(const grpc::CallbackServerContext &Context) {
    Admission Checked =
        check(Server.Environment, Server.Draining, Caller, Message.database(),
              Message.session_token(), Message.request_id());
    if (Checked.Refusal) {
      *Reply.mutable_refusal() = std::move(*Checked.Refusal);
      Reply.set_session_token(Message.session_token());
      return end();
    }
    // This object may be gone when the target returns.
    Traits::submit(
        *Checked.Target,
        {idOf(this), Caller, std::move(Checked.Positions),
         deadlineOf(Context, Arrival, Server.Environment.DefaultDeadline)},
        Message);
  }

  void end() {
    Server.Environment.OnFinished(
        {Traits::kind(Message), Caller, Message.database(),
         Traits::requestClass(Message),
         std::chrono::steady_clock::now() - Arrival,
         Reply.served_by().replica(), Reply.refusal().reason()});
    CallerServer &Owner = Server;
    Reactor->Finish(grpc::Status::OK);
    --Owner.InFlight;
    delete this;
  }

  CallerServer &Server;
  const MessageType &Message;
  ReplyType &Reply;
  grpc::ServerUnaryReactor *Reactor;
  std::string Caller;
  Time Arrival;
};

/// One Transact stream. It lives until the stream is done and the request has
/// its last answer, whichever comes later.
class TransactCall final
    : public AnswerSink,
      public grpc::ServerBidiReactor<caller::TransactRequest,
                                     caller::TransactReply> {
public:
  TransactCall(CallerServer &Owner, grpc::CallbackServerContext &CallContext,
               std::string CallCaller)
      : Server(Owner), Context(CallContext), Caller(std::move(CallCaller)),
        Arrival(std::chrono::steady_clock::now()) {
    ++Server.InFlight;
    StartRead(&Incoming);
  }

  void OnReadDone(bool Ok) override {
    if (!Ok)
      return inputEnded();
    if (!Target)
      return begin();
    Target->step(idOf(this), Incoming);
  }

  void OnWriteDone(bool Ok) override {
    bool Ended = false;
    {
      const absl::MutexLock Lock(&Mutex);
      Writing = false;
      Ended = Answered;
    }
    if (!Ok || Ended)
      return finishOnce();
    StartRead(&Incoming);
  }

  void OnCancel() override { inputEnded(); }

  void OnDone() override { release(true); }

  void answer(SendAnswer &&Answer) override {
    Outgoing = std::move(std::get<caller::TransactReply>(Answer.Reply));
    if (Outgoing.has_end())
      Outgoing.mutable_end()->set_session_token(
          Server.Environment.Tokens->encode(Caller, Answer.Positions));
    const bool Last = Answer.Last;
    write(Last);
    if (Last)
      release(false);
  }

private:
  void begin() {
    if (!Incoming.has_begin())
      return reject(makeRefusal(caller::REFUSAL_REASON_BAD_REQUEST, "",
                                "the first step must be a begin"));
    const caller::TransactBegin &Begin = Incoming.begin();
    Admission Checked =
        check(Server.Environment, Server.Draining, Caller, Begin.database(),
              Begin.session_token(), Begin.request_id());
    if (Checked.Refusal)
      return reject(std::move(*Checked.Refusal));
    {
      const absl::MutexLock Lock(&Mutex);
      Target = Checked.Target;
      Answered = false;
    }
    Database = Begin.database();
    Checked.Target->begin(
        {idOf(this), Caller, std::move(Checked.Positions),
         deadlineOf(Context, Arrival, Server.Environment.DefaultDeadline)},
        Begin);
  }

  void reject(caller::Refusal Refusal) {
    *Outgoing.mutable_refusal() = std::move(Refusal);
    write(true);
  }

  // The caller may have gone away in the meantime; nothing may be written on a
  // stream that was finished.
  void write(bool Last) {
    {
      const absl::MutexLock Lock(&Mutex);
      Answered = Last;
      Writing = !Finished;
      if (!Writing)
        return;
    }
    StartWrite(&Outgoing);
  }

  void inputEnded() {
    RequestTarget *Open = nullptr;
    {
      const absl::MutexLock Lock(&Mutex);
      if (!Answered)
        Open = Target;
      else if (Writing)
        // The end of the write finishes the stream.
        return;
    }
    if (Open)
      Open->abandon(idOf(this));
    else
      finishOnce();
  }

  void finishOnce() {
    {
      const absl::MutexLock Lock(&Mutex);
      if (Finished)
        return;
      Finished = true;
    }
    Finish(grpc::Status::OK);
  }

  // Called once for the end of the stream and once for the last answer, or
  // only for the stream if the request never reached its group.
  void release(bool StreamDone) {
    bool Gone = false;
    {
      const absl::MutexLock Lock(&Mutex);
      if (StreamDone)
        Done = true;
      else
        AnswerReleased = true;
      Gone = Done && (AnswerReleased || !Target);
    }
    if (!Gone)
      return;
    Server.Environment.OnFinished({CallKind::Transaction, Caller, Database, "",
                                   std::chrono::steady_clock::now() - Arrival,
                                   false, Outgoing.refusal().reason()});
    --Server.InFlight;
    delete this;
  }

  CallerServer &Server;
  grpc::CallbackServerContext &Context;
  std::string Caller;
  std::string Database;
  Time Arrival;
  caller::TransactRequest Incoming;
  caller::TransactReply Outgoing;

  absl::Mutex Mutex;
  RequestTarget *Target = nullptr;
  /// The request has its last answer, or never reached a group.
  bool Answered = true;
  bool AnswerReleased = false;
  /// A write is under way; its end decides what follows.
  bool Writing = false;
  bool Finished = false;
  bool Done = false;
};

/// A stream that is refused before it begins.
class RefusedStream final
    : public grpc::ServerBidiReactor<caller::TransactRequest,
                                     caller::TransactReply> {
public:
  explicit RefusedStream(const grpc::Status &Why) { Finish(Why); }
  void OnDone() override { delete this; }
};

CallerServer::CallerServer(CallerServerEnvironment WithEnvironment)
    : Environment(std::move(WithEnvironment)) {}

grpc::ServerUnaryReactor *
CallerServer::Execute(grpc::CallbackServerContext *Context,
                      const caller::ExecuteRequest *Message,
                      caller::ExecuteReply *Reply) {
  return UnaryCall<caller::ExecuteRequest>::run(*this, *Context, *Message,
                                                *Reply);
}

grpc::ServerUnaryReactor *
CallerServer::LookUp(grpc::CallbackServerContext *Context,
                     const caller::LookUpRequest *Message,
                     caller::LookUpReply *Reply) {
  return UnaryCall<caller::LookUpRequest>::run(*this, *Context, *Message,
                                               *Reply);
}

grpc::ServerBidiReactor<caller::TransactRequest, caller::TransactReply> *
CallerServer::Transact(grpc::CallbackServerContext *Context) {
  Expected<std::string> Caller = Environment.Authenticate(*Context);
  if (!Caller.has_value())
    return new RefusedStream(unauthenticated(Caller.error()));
  return new TransactCall(*this, *Context, std::move(Caller.value()));
}

void CallerServer::deliver(SendAnswer &&Answer) {
  // The inverse of idOf.
  // NOLINTNEXTLINE(performance-no-int-to-ptr)
  auto *Sink = reinterpret_cast<AnswerSink *>(Answer.Request);
  Sink->answer(std::move(Answer));
}

} // namespace borageridge::proxy
