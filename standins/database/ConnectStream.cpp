#include "database/ConnectStream.h"

namespace borageridge::database {

namespace {

bool changesState(const endpoint::ConnectionRequest &Request) {
  switch (Request.step_case()) {
  case endpoint::ConnectionRequest::kBatch:
    return !Request.batch().read_only();
  case endpoint::ConnectionRequest::kCommit:
  case endpoint::ConnectionRequest::kSettle:
    return true;
  default:
    return false;
  }
}

} // namespace

ConnectStream *ConnectStream::open(ServerCore &Core,
                                   grpc::CallbackServerContext *Context) {
  auto Stream = std::make_shared<ConnectStream>(Core, Context);
  Stream->Self = Stream;
  ConnectStream *const Result = Stream.get();
  Core.add(Stream);
  Stream->start();
  return Result;
}

ConnectStream::ConnectStream(ServerCore &StreamCore,
                             grpc::CallbackServerContext *StreamContext)
    : Core(StreamCore), Context(StreamContext),
      Generation(Core.Switches.generation()) {}

void ConnectStream::start() {
  const std::uint32_t Open = ++Core.OpenConnections;
  if (Core.Switches.down())
    return Finish({grpc::StatusCode::UNAVAILABLE, "down"});
  if (Open > Core.Options.ConnectionLimit)
    return Core.whenReachable([this] { refuse(); });
  std::uint32_t Peak = Core.PeakConnections;
  while (Open > Peak && !Core.PeakConnections.compare_exchange_weak(Peak, Open))
    ;
  Core.after(Core.Options.OpenDelay, [this] { StartRead(&Request); });
}

void ConnectStream::refuse() {
  Reply.set_error(endpoint::ENDPOINT_ERROR_TOO_MANY_CONNECTIONS);
  StartWriteAndFinish(&Reply, {}, grpc::Status::OK);
}

void ConnectStream::changed() {
  if (Core.Switches.down())
    Context->TryCancel();
}

void ConnectStream::OnReadDone(bool Ok) {
  if (!Ok) {
    Core.member().close(State);
    return Finish(grpc::Status::OK);
  }
  Core.whenReachable([this] { receive(); });
}

void ConnectStream::receive() {
  // Requests do not reach the member on a silent connection.
  if (silent() || Context->IsCancelled())
    return StartRead(&Request);
  if (Request.step_case() == endpoint::ConnectionRequest::kHello)
    return work();
  Core.post([this] { work(); });
}

void ConnectStream::work() {
  Reply = Core.member().run(State, Request, std::chrono::steady_clock::now());
  Reply.set_sequence(Request.sequence());
  const bool Lost = Reply.error() == endpoint::ENDPOINT_ERROR_NONE &&
                    changesState(Request) && Core.Switches.takeLostAnswer();
  if (Lost)
    return StartRead(&Request);
  Core.after(Core.Switches.answerDelay(),
             [this] { Core.whenReachable([this] { answer(); }); });
}

void ConnectStream::answer() {
  if (silent())
    return StartRead(&Request);
  StartWrite(&Reply);
}

// After a failed write the read fails, too.
void ConnectStream::OnWriteDone(bool /*Ok*/) { StartRead(&Request); }

void ConnectStream::OnDone() {
  --Core.OpenConnections;
  Self.reset();
}

} // namespace borageridge::database
