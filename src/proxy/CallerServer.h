#ifndef BORAGERIDGE_PROXY_CALLERSERVER_H
#define BORAGERIDGE_PROXY_CALLERSERVER_H

#include "borageridge/Failure.h"
#include "dispatch/Actions.h"
#include "dispatch/Request.h"
#include "session/Token.h"

#include "caller.grpc.pb.h"

#include <grpcpp/server_context.h>

#include <atomic>
#include <functional>
#include <string>
#include <string_view>

namespace borageridge::proxy {

/// Answers to a request; called once with Last set.
class AnswerSink {
public:
  virtual ~AnswerSink() = default;
  virtual void answer(dispatch::SendAnswer &&Answer) = 0;
};

/// The requests of one database group as the caller service sees them.
class RequestTarget {
public:
  virtual ~RequestTarget() = default;
  virtual void execute(dispatch::RequestContext From,
                       const caller::ExecuteRequest &Message) = 0;
  virtual void lookUp(dispatch::RequestContext From,
                      const caller::LookUpRequest &Message) = 0;
  virtual void begin(dispatch::RequestContext From,
                     const caller::TransactBegin &Message) = 0;
  virtual void step(dispatch::RequestId Id,
                    const caller::TransactRequest &Step) = 0;
  virtual void abandon(dispatch::RequestId Id) = 0;
};

enum class CallKind { Read, Write, LookUp, Transaction };

/// One finished call, for metrics.
struct FinishedCall {
  CallKind Kind = CallKind::Read;
  std::string_view Caller;
  std::string_view Database;
  std::string_view Class;
  Duration Latency = Duration::zero();
  bool Replica = false;
  caller::RefusalReason Refused = caller::REFUSAL_REASON_UNSPECIFIED;
};

struct CallerServerEnvironment {
  std::function<Expected<std::string>(grpc::CallbackServerContext &)>
      Authenticate;
  /// The target of a database; null if this proxy does not know it.
  std::function<RequestTarget *(std::string_view Database)> Target;
  const session::TokenCodec *Tokens = nullptr;
  std::function<void(const FinishedCall &)> OnFinished;
  /// Calls without a deadline get this one.
  Duration DefaultDeadline = std::chrono::seconds(30);
};

/// The service that callers use.
class CallerServer final : public caller::CallerService::CallbackService {
public:
  explicit CallerServer(CallerServerEnvironment WithEnvironment);

  grpc::ServerUnaryReactor *Execute(grpc::CallbackServerContext *Context,
                                    const caller::ExecuteRequest *Message,
                                    caller::ExecuteReply *Reply) override;
  grpc::ServerUnaryReactor *LookUp(grpc::CallbackServerContext *Context,
                                   const caller::LookUpRequest *Message,
                                   caller::LookUpReply *Reply) override;
  grpc::ServerBidiReactor<caller::TransactRequest, caller::TransactReply> *
  Transact(grpc::CallbackServerContext *Context) override;

  /// New requests are refused with a hint to move; running ones go on.
  void drain() { Draining = true; }
  std::size_t inFlight() const { return InFlight; }

  /// Delivers an answer to the request that it names.
  static void deliver(dispatch::SendAnswer &&Answer);

private:
  template <typename MessageType> friend class UnaryCall;
  friend class TransactCall;

  CallerServerEnvironment Environment;
  std::atomic<bool> Draining = false;
  std::atomic<std::size_t> InFlight = 0;
};

} // namespace borageridge::proxy

#endif // BORAGERIDGE_PROXY_CALLERSERVER_H
