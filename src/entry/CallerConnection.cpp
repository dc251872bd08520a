#include "entry/CallerConnection.h"

#include "platform/Wire.h"
#include "runtime/Clock.h"

#include <variant>

namespace borageridge::entry {
namespace {

using runtime::bootTime;
using runtime::error_code;
using runtime::Task;
using runtime::asio::redirect_error;
using runtime::asio::use_awaitable;
using statement::ErrorCode;

constexpr std::size_t ReadBytes = 4096;
// A caller that does not read its answer for this long is closed.
constexpr Duration WriteLimit = std::chrono::seconds(10);
// A connection that does not say what it wants is closed.
constexpr Duration StartLimit = std::chrono::seconds(5);
// Callers give up two seconds after their start message.
constexpr Duration ConfigWait = std::chrono::milliseconds(1500);
// The holder answers at the end of the route's time at the latest.
constexpr Duration HolderSlack = std::chrono::milliseconds(300);
constexpr Duration ConfigStep = std::chrono::milliseconds(20);

} // namespace

bool CallerConnection::isIdle() const {
  return Waiting && Buffer.empty() && !isInTransaction();
}

// What the session held is lost with its holder; a caller that has nothing
// outstanding only has to connect again. One in a transaction is told with its
// next statement.
void CallerConnection::endWithHolder() {
  if (isIdle())
    close();
}

void CallerConnection::leaveHolder(std::string_view Daemon) {
  if (Holder && Holder->member() == Daemon)
    endWithHolder();
}

// A session that runs here only because no holder was known or reached when it
// began.
void CallerConnection::leaveIfHeldElsewhere() {
  const catalog::Route *Route = S.Runner.route(Own.Database);
  if (!Holder && Route != nullptr && isIdle() &&
      isHeldElsewhere(S, Route->Service))
    close();
}

void CallerConnection::close() {
  error_code Ignored;
  Socket.close(Ignored);
}

Task<CallerConnection::Line> CallerConnection::readLine(std::string &Result) {
  std::size_t Searched = 0;
  for (;;) {
    const std::size_t End = Buffer.find("\r\n", Searched);
    if (End != std::string::npos) {
      Result.assign(Buffer, 0, End);
      Buffer.erase(0, End + 2);
      co_return Line::Read;
    }
    if (Buffer.size() >= platform::MaxMessageBytes)
      co_return Line::TooLong;
    Searched = Buffer.empty() ? 0 : Buffer.size() - 1;
    const std::size_t Old = Buffer.size();
    Waiting = true;
    // Waits without memory for the bytes: most sessions are idle.
    error_code Error;
    co_await Socket.async_wait(runtime::tcp::socket::wait_read,
                               redirect_error(use_awaitable, Error));
    Waiting = false;
    if (Error)
      co_return Line::Closed;
    Buffer.resize(Old + ReadBytes);
    const std::size_t Read = Socket.read_some(
        runtime::asio::buffer(Buffer.data() + Old, ReadBytes), Error);
    Buffer.resize(Old + Read);
    if (Error && Error != runtime::asio::error::would_block)
      co_return Line::Closed;
  }
}

Task<bool> CallerConnection::write(std::string Bytes) {
  const runtime::Watchdog Guard(Socket, WriteLimit);
  error_code Error;
  co_await runtime::asio::async_write(Socket, runtime::asio::buffer(Bytes),
                                      redirect_error(use_awaitable, Error));
  co_return !Error;
}

Task<const catalog::Route *> CallerConnection::waitForRoute() {
  const Time Start = bootTime();
  // A session that was forwarded here runs here in any case.
  const auto IsReady = [this] {
    return S.Loaded && (Forwarder == nullptr || bootTime() >= S.FleetKnownFrom);
  };
  while (!IsReady() && bootTime() - Start < ConfigWait)
    co_await runtime::sleepFor(ConfigStep);
  co_return S.Runner.route(Own.Database);
}

Task<bool> CallerConnection::start() {
  std::string Text;
  {
    const runtime::Watchdog Guard(Socket, StartLimit);
    if (co_await readLine(Text) != Line::Read)
      co_return false;
  }
  const platform::CallerMessage Message = platform::decodeCallerMessage(Text);
  const auto *Start = std::get_if<platform::StartMessage>(&Message);
  if (Start == nullptr) {
    co_await write(platform::encodeFatalError(ErrorCode::Malformed,
                                              "expected a start message"));
    co_return false;
  }
  Own.Database = Start->Database;
  const catalog::Route *Route = co_await waitForRoute();
  if (Route == nullptr) {
    co_await write(platform::encodeFatalError(ErrorCode::UnknownDatabase,
                                              "no such database"));
    co_return false;
  }
  if (Forwarder != nullptr) {
    Holder = co_await Forwarder->openSession(Route->Service, Own.Database);
    if (Holder)
      Holder->notifyWhenEnded([Weak = weak_from_this()] {
        if (const auto Self = Weak.lock())
          Self->endWithHolder();
      });
  } else if (S.Stopping) {
    co_await write(
        platform::encodeFatalError(ErrorCode::Busy, "the proxy is stopping"));
    co_return false;
  }
  co_return co_await write(platform::encodeSessionReady());
}

Task<bool> CallerConnection::serveOne() {
  std::string Text;
  const Line Read = co_await readLine(Text);
  if (Read == Line::TooLong)
    co_await write(
        platform::encodeFatalError(ErrorCode::TooLarge, "message is too long"));
  if (Read != Line::Read)
    co_return false;
  const Time Arrival = bootTime();
  platform::CallerMessage Message = platform::decodeCallerMessage(Text);
  auto *Statement = std::get_if<statement::Statement>(&Message);
  if (Statement == nullptr) {
    if (!std::holds_alternative<platform::TerminateMessage>(Message))
      co_await write(
          platform::encodeFatalError(ErrorCode::Malformed, "unknown message"));
    co_return false;
  }
  statement::Reply Answer;
  if (Holder)
    Answer = co_await forward(*Statement, Text, Arrival);
  else
    Answer = co_await S.Runner.execute(Own, std::move(*Statement), Arrival);
  const bool Written = co_await write(platform::encodeReply(Answer));
  const bool HolderLost = Holder && !Holder->isOpen();
  co_return Written && !HolderLost &&
      Answer.Error != ErrorCode::UnknownDatabase;
}

// The daemon at the other end decides; this one only has to say the truth if
// that daemon is lost. It rolls back what its lost session had open.
Task<statement::Reply> CallerConnection::forward(const statement::Statement &St,
                                                 std::string_view Text,
                                                 Time Arrival) {
  const catalog::Route *Route = S.Runner.route(Own.Database);
  if (Route == nullptr)
    co_return statement::localError(ErrorCode::UnknownDatabase,
                                    "no such database", HolderState);
  std::string Bytes(Text);
  Bytes.append("\r\n");
  Expected<statement::Reply, pool::Loss> Answer =
      co_await Holder->call(std::move(Bytes), Route->Timeout + HolderSlack);
  if (Answer) {
    HolderState = Answer.value().State;
    co_return std::move(Answer).value();
  }
  const bool MayCommit = St.Kind == statement::StatementKind::Commit ||
                         (HolderState == statement::TransactionState::None &&
                          (St.Kind == statement::StatementKind::Write ||
                           St.Kind == statement::StatementKind::Execute));
  const bool Sent = Answer.error() == pool::Loss::MayHaveRun;
  HolderState = statement::TransactionState::None;
  co_return S.Runner.refuse(St, Own.Database,
                            Sent && MayCommit ? ErrorCode::InDoubt
                                              : ErrorCode::Aborted,
                            "lost the proxy that holds the connections",
                            Holder->member(), HolderState, Arrival);
}

Task<void> CallerConnection::run() {
  const auto Self = shared_from_this();
  runtime::setUsualOptions(Socket);
  error_code Ignored;
  Socket.non_blocking(true, Ignored);
  bool Open = co_await start();
  while (Open) {
    if (isInTransaction() && Buffer.empty()) {
      // A transaction that rests too long gives its connection to others.
      runtime::asio::steady_timer Idle(S.Io,
                                       S.Runner.catalog().TransactionIdle);
      Idle.async_wait([Self](const error_code &Error) {
        if (!Error && Self->Waiting && !Self->Holder)
          Self->S.Runner.failTransaction(Self->Own);
      });
      error_code Closed;
      Waiting = true;
      co_await Socket.async_wait(runtime::tcp::socket::wait_read,
                                 redirect_error(use_awaitable, Closed));
      Waiting = false;
    }
    Open = co_await serveOne();
  }
  S.Runner.discardTransaction(Own);
  if (Holder)
    Holder->close();
  close();
}

} // namespace borageridge::entry
