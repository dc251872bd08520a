#include "entry/CallerConnection.h"

#include "authority/Fingerprint.h"
#include "entry/CallerLimits.h"
#include "runtime/Clock.h"

#include <sys/socket.h>

#include <variant>

namespace borageridge::entry {
namespace {

using runtime::bootTime;
using runtime::error_code;
using runtime::Task;
using runtime::asio::redirect_error;
using runtime::asio::use_awaitable;
using statement::ErrorCode;

constexpr std::size_t ReadChunkBytes = 4096;
// The connection is closed if the caller does not read an answer for this long.
constexpr Duration WriteTimeout = std::chrono::seconds(10);
// The connection is closed if no start message arrives within this time.
constexpr Duration StartTimeout = std::chrono::seconds(5);
// Below the two seconds after which callers give up on their start message.
constexpr Duration ConfigTimeout = std::chrono::milliseconds(1500);
// Added to the route's timeout, within which the holder answers.
constexpr Duration HolderTimeoutMargin = std::chrono::milliseconds(300);
// A statement exists as text, as its decoded parts and as bytes to send.
constexpr std::size_t CopiesInWork = 4;
// A session's values also exist on the member connections that it has used.
constexpr std::size_t CopiesOfValues = 2;
// A larger receive buffer is freed once it is empty.
constexpr std::size_t MaxKeptBufferBytes = std::size_t(16) << 10;
constexpr Duration ConfigPollInterval = std::chrono::milliseconds(20);

} // namespace

// Bytes that have arrived but are not read yet may be a request.
bool CallerConnection::hasUnreadInput() const {
  error_code Error;
  return Socket.available(Error) > 0 && !Error;
}

bool CallerConnection::isBetweenRequests() const {
  return Buffer.empty() && !isInTransaction() && !hasUnreadInput();
}

bool CallerConnection::isIdle() const {
  return AwaitingInput && isBetweenRequests();
}

Duration CallerConnection::waited(Time Now) const {
  return AwaitingInput ? Now - AwaitingSince : Duration();
}

// The caller has sent nothing since, so that no request is lost by the close. A
// session that is being set up goes on, since its caller would have to begin
// again. Requests that have been read are answered in any case, also if the
// caller does not wait for the answers.
// A refused caller finds another daemon if it connects again.
bool CallerConnection::endsAfter(statement::StatementKind Answered,
                                 const statement::Reply &Answer) const {
  using Kind = statement::StatementKind;
  const bool Refused = S.Stopping && Answer.Error == ErrorCode::Busy;
  if (!S.ClosesSessions && !Refused)
    return false;
  if (bootTime() >= S.StatementExecutor.latestAnswer())
    return Buffer.find("\r\n") == std::string::npos && !hasUnreadInput();
  const bool SetsUp = Answered == Kind::SetVariable ||
                      Answered == Kind::Prepare || Answered == Kind::Deallocate;
  return !SetsUp && isBetweenRequests();
}

// The holder rolls back the transaction of a closed session.
void CallerConnection::abortTransaction(Time Now) {
  if (AbortedAt)
    return;
  AbortedAt = Now;
  if (Holder)
    Holder->close();
  else
    S.StatementExecutor.abortWaitingTransaction(CallerSession);
}

bool CallerConnection::waitsInTransaction() const {
  return AwaitingInput && isInTransaction() && Buffer.empty() &&
         !hasUnreadInput();
}

void CallerConnection::giveUpForwarded() {
  if (Holder && isWorking())
    Holder->finishSending();
}

// The other daemon sends the next statement only after the answer, so that an
// end of its input concerns the one in work.
void CallerConnection::endAbandonedWait() {
  const pool::WaitingTicket Waiting = CallerSession.Waiting;
  if (Forwarder != nullptr || Waiting.Pool == nullptr)
    return;
  char Byte = 0;
  if (recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0)
    Waiting.Pool->abandon(Waiting.Id);
}

void CallerConnection::endForwardedWait() {
  if (Holder && isWorking())
    Holder->close();
}

// Called when the holder or its session is lost, and the session state with it.
// A caller with nothing outstanding only has to connect again. One in a
// transaction receives an error for its next statement.
void CallerConnection::closeIfIdle() {
  if (isIdle())
    close();
}

void CallerConnection::closeIfHeldBy(std::string_view Daemon) {
  if (Holder && Holder->member() == Daemon)
    closeIfIdle();
}

// Such a session runs in this daemon only because no holder was known or
// reachable when it began.
void CallerConnection::closeIfHeldElsewhere() {
  const catalog::Route *Route =
      S.StatementExecutor.route(CallerSession.Database);
  if (!Holder && Route != nullptr && isIdle() &&
      isHeldElsewhere(S, Route->Service))
    close();
}

void CallerConnection::closeIfRevoked() {
  if (!CallerSession.Database.empty() && isIdle() &&
      S.StatementExecutor.isRevoked(CallerSession, bootTime()))
    close();
}

std::size_t CallerConnection::heldBytes() const {
  return Buffer.capacity() + CopiesOfValues * SessionBytes +
         CopiesInWork * InWorkBytes;
}

void CallerConnection::updateOccupied() {
  if (Occupied != nullptr)
    Occupied->update(*this, heldBytes(), bootTime());
}

// While a statement is processed, the session's values may be in use; they are
// freed with the connection.
void CallerConnection::closeForMemory() {
  close();
  Buffer = std::string();
  if (AwaitingInput)
    CallerSession.State = {};
}

void CallerConnection::close() {
  error_code Ignored;
  Socket.close(Ignored);
}

Task<CallerConnection::ReadResult>
CallerConnection::readLine(std::string &Result) {
  std::size_t Searched = 0;
  for (;;) {
    const std::size_t End = Buffer.find("\r\n", Searched);
    if (End != std::string::npos) {
      Result.assign(Buffer, 0, End);
      Buffer.erase(0, End + 2);
      if (Buffer.empty() && Buffer.capacity() > MaxKeptBufferBytes)
        Buffer = std::string();
      co_return ReadResult::Read;
    }
    if (Buffer.size() >= platform::MaxMessageBytes)
      co_return ReadResult::TooLong;
    Searched = Buffer.empty() ? 0 : Buffer.size() - 1;
    const std::size_t Old = Buffer.size();
    AwaitingInput = true;
    AwaitingSince = bootTime();
    // Waits without a read buffer to save memory, since most sessions are idle.
    error_code Error;
    co_await Socket.async_wait(runtime::tcp::socket::wait_read,
                               redirect_error(use_awaitable, Error));
    AwaitingInput = false;
    if (Error)
      co_return ReadResult::Closed;
    Buffer.resize(Old + ReadChunkBytes);
    const std::size_t Read = Socket.read_some(
        runtime::asio::buffer(Buffer.data() + Old, ReadChunkBytes), Error);
    Buffer.resize(Old + Read);
    if (Error && Error != runtime::asio::error::would_block)
      co_return ReadResult::Closed;
    updateOccupied();
    if (!Socket.is_open())
      co_return ReadResult::Closed;
  }
}

Task<bool> CallerConnection::write(std::string Bytes) {
  const runtime::Watchdog Guard(Socket, WriteTimeout);
  error_code Error;
  co_await runtime::asio::async_write(Socket, runtime::asio::buffer(Bytes),
                                      redirect_error(use_awaitable, Error));
  co_return !Error;
}

Task<const catalog::Route *> CallerConnection::waitForRoute() {
  const Time Start = bootTime();
  // Forwarded sessions are never forwarded again, so they need not wait until
  // all daemons are known.
  const auto IsReady = [this] {
    return S.Loaded && (Forwarder == nullptr || bootTime() >= S.FleetKnownFrom);
  };
  while (!IsReady() && !S.Stopping && bootTime() - Start < ConfigTimeout)
    co_await runtime::sleepFor(ConfigPollInterval);
  co_return S.StatementExecutor.route(CallerSession.Database);
}

// A key does not leave the daemon that its caller is connected to. Another
// daemon that forwards the session sends the fingerprint.
std::optional<std::string>
CallerConnection::authenticate(const platform::StartMessage &Start) {
  CallerSession.Fingerprint = Forwarder == nullptr
                                  ? Start.Fingerprint
                                  : authority::fingerprintOf(Start.Caller);
  const Time Now = bootTime();
  const authority::Decision Decided = S.StatementExecutor.decide(
      CallerSession.Database, CallerSession.Fingerprint, Now);
  switch (Decided.Result) {
  case authority::Verdict::Allowed:
    CallerSession.Organisation = Decided.Organisation;
    return std::nullopt;
  case authority::Verdict::UnknownDatabase:
    return platform::encodeFatalError(ErrorCode::UnknownDatabase,
                                      "no such database");
  case authority::Verdict::UnknownKey:
    S.StatementExecutor.noteRefusedCaller(CallerSession, Decided.Result, Now);
    return platform::encodeFatalError(ErrorCode::Unauthenticated,
                                      "unknown key");
  case authority::Verdict::OutdatedConfig:
    break;
  }
  S.StatementExecutor.noteRefusedCaller(CallerSession, Decided.Result, Now);
  return platform::encodeFatalError(ErrorCode::Busy,
                                    "the configuration is outdated");
}

Task<bool> CallerConnection::start() {
  std::string Text;
  {
    const runtime::Watchdog Guard(Socket, StartTimeout);
    if (co_await readLine(Text) != ReadResult::Read)
      co_return false;
  }
  const platform::CallerMessage Message = platform::decodeCallerMessage(Text);
  const auto *Start = std::get_if<platform::StartMessage>(&Message);
  if (Start == nullptr) {
    co_await write(platform::encodeFatalError(ErrorCode::Malformed,
                                              "expected a start message"));
    co_return false;
  }
  CallerSession.Database = Start->Database;
  const catalog::Route *Route = co_await waitForRoute();
  if (Route == nullptr && !S.Loaded) {
    co_await write(platform::encodeFatalError(
        ErrorCode::Busy, "the configuration is not known yet"));
    co_return false;
  }
  if (const std::optional<std::string> Refusal = authenticate(*Start)) {
    co_await write(*Refusal);
    co_return false;
  }
  if (Forwarder != nullptr) {
    Holder = co_await Forwarder->openSession(
        Route->Service, CallerSession.Database, CallerSession.Fingerprint);
    if (Holder)
      Holder->onRemoteClose([Weak = weak_from_this()] {
        if (const auto Self = Weak.lock())
          Self->closeIfIdle();
      });
  } else if (S.Stopping) {
    co_await write(
        platform::encodeFatalError(ErrorCode::Busy, "the proxy is stopping"));
    co_return false;
  }
  co_return co_await write(platform::encodeSessionReady());
}

Task<bool> CallerConnection::serveMessage() {
  std::string Text;
  const ReadResult Read = co_await readLine(Text);
  if (Read == ReadResult::TooLong)
    co_await write(
        platform::encodeFatalError(ErrorCode::TooLarge, "message is too long"));
  if (Read != ReadResult::Read)
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
  const statement::StatementKind Kind = Statement->Kind;
  InWorkBytes = Text.size();
  updateOccupied();
  statement::Reply Answer;
  if (Holder)
    Answer = co_await forward(*Statement, Text, Arrival);
  else
    Answer = co_await S.StatementExecutor.execute(
        CallerSession, std::move(*Statement), Arrival);
  if (!isInTransaction())
    AbortedAt.reset();
  std::string Reply = platform::encodeReply(Answer);
  SessionBytes = statement::sizeOf(CallerSession.State);
  InWorkBytes = Reply.size();
  updateOccupied();
  const bool Written = co_await write(std::move(Reply));
  InWorkBytes = 0;
  updateOccupied();
  const bool HolderLost = Holder && !Holder->isOpen();
  co_return Written && !HolderLost &&
      Answer.Error != ErrorCode::UnknownDatabase &&
      Answer.Error != ErrorCode::Unauthenticated && !endsAfter(Kind, Answer);
}

// The holder executes the statement and decides its outcome. If the holder is
// lost, this daemon reports whether the statement may have taken effect. The
// holder rolls back the open transaction of a lost session.
Task<statement::Reply> CallerConnection::forward(const statement::Statement &St,
                                                 std::string_view Text,
                                                 Time Arrival) {
  const catalog::Route *Route =
      S.StatementExecutor.route(CallerSession.Database);
  if (Route == nullptr)
    co_return statement::localError(ErrorCode::UnknownDatabase,
                                    "no such database", HolderState);
  std::string Bytes(Text);
  Bytes.append("\r\n");
  const Time Now = bootTime();
  const Duration Limit = Now < S.StatementExecutor.latestAnswer()
                             ? std::min(Route->Timeout + HolderTimeoutMargin,
                                        S.StatementExecutor.latestReply() - Now)
                             : Duration::zero();
  Expected<statement::Reply, pool::CallFailure> Answer =
      pool::CallFailure::NotSent;
  if (Limit > Duration::zero())
    Answer = co_await Holder->call(std::move(Bytes), Limit);
  else
    Holder->close();
  if (Answer) {
    HolderState = Answer.value().State;
    co_return std::move(Answer).value();
  }
  S.PeersToCheck.insert(Holder->member());
  const bool MayCommit = St.Kind == statement::StatementKind::Commit ||
                         (HolderState == statement::TransactionState::None &&
                          (St.Kind == statement::StatementKind::Write ||
                           St.Kind == statement::StatementKind::Execute));
  const bool Sent = Answer.error() == pool::CallFailure::MayHaveRun;
  HolderState = statement::TransactionState::None;
  co_return S.StatementExecutor.refuse(
      St, CallerSession.Database,
      Sent && MayCommit ? ErrorCode::InDoubt : ErrorCode::Aborted,
      "lost the proxy that holds the connections", Holder->member(),
      HolderState, Arrival);
}

Task<void> CallerConnection::run() {
  const auto Self = shared_from_this();
  runtime::setSocketOptions(Socket);
  error_code Ignored;
  Socket.non_blocking(true, Ignored);
  bool Open = co_await start();
  while (Open) {
    if (isInTransaction() && Buffer.empty()) {
      // An idle transaction is rolled back after the configured time, so that
      // other sessions can use its endpoint connection.
      runtime::asio::steady_timer Idle(
          S.Io, S.StatementExecutor.catalog().TransactionIdle);
      Idle.async_wait([Self](const error_code &Error) {
        if (!Error && Self->AwaitingInput && !Self->Holder)
          Self->S.StatementExecutor.abortWaitingTransaction(
              Self->CallerSession);
      });
      error_code Closed;
      AwaitingInput = true;
      AwaitingSince = bootTime();
      co_await Socket.async_wait(runtime::tcp::socket::wait_read,
                                 redirect_error(use_awaitable, Closed));
      AwaitingInput = false;
    }
    Open = co_await serveMessage();
  }
  if (Occupied != nullptr)
    Occupied->remove(*this);
  S.StatementExecutor.discardTransaction(CallerSession);
  if (Holder)
    Holder->close();
  close();
}

} // namespace borageridge::entry
