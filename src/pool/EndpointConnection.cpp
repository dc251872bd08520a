#include "pool/EndpointConnection.h"

#include "platform/Wire.h"

#include <sys/socket.h>

#include <utility>

namespace borageridge::pool {
namespace {

using platform::ReplyReader;
using runtime::error_code;
using runtime::Task;
using runtime::asio::redirect_error;
using runtime::asio::use_awaitable;
using statement::Reply;

} // namespace

EndpointConnection::EndpointConnection(runtime::asio::io_context &Io,
                                       std::string Id, std::string Owner)
    : Socket(Io), Member(std::move(Id)), Organisation(std::move(Owner)) {}

void EndpointConnection::close() {
  error_code Ignored;
  Socket.close(Ignored);
}

void EndpointConnection::finishSending() {
  error_code Ignored;
  Socket.shutdown(runtime::tcp::socket::shutdown_send, Ignored);
}

bool EndpointConnection::isReusable() {
  if (!Socket.is_open() || !Buffer.empty())
    return false;
  char Byte = 0;
  const auto Got =
      recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

Task<bool> EndpointConnection::readLine(std::string &Line) {
  error_code Error;
  const std::size_t Size = co_await runtime::asio::async_read_until(
      Socket,
      runtime::asio::dynamic_buffer(Buffer, 2 * platform::MaxMessageBytes),
      "\r\n", redirect_error(use_awaitable, Error));
  if (Error)
    co_return false;
  Line.assign(Buffer, 0, Size - 2);
  Buffer.erase(0, Size);
  co_return true;
}

Task<Expected<Reply, CallFailure>> EndpointConnection::readReply() {
  ReplyReader Reader;
  std::string Line;
  while (co_await readLine(Line)) {
    const ReplyReader::Step Step = Reader.consume(Line);
    if (Step == ReplyReader::Step::Done)
      co_return std::move(Reader.result());
    if (Step == ReplyReader::Step::Invalid)
      break;
  }
  close();
  co_return CallFailure::MayHaveRun;
}

Task<Expected<Reply>> EndpointConnection::open(runtime::tcp::endpoint To,
                                               std::string StartBytes,
                                               Duration Limit) {
  const error_code Error = co_await runtime::connectTo(Socket, To, Limit);
  if (Error)
    co_return Failure{Error == runtime::asio::error::connection_refused ||
                              Error == runtime::asio::error::connection_reset
                          ? FailureKind::PermissionDenied
                          : FailureKind::Unavailable,
                      Error.message()};
  const runtime::Watchdog Guard(Socket, Limit);
  error_code WriteError;
  co_await runtime::asio::async_write(
      Socket, runtime::asio::buffer(StartBytes),
      redirect_error(use_awaitable, WriteError));
  ReplyReader Reader;
  std::string Line;
  while (!WriteError && co_await readLine(Line)) {
    const ReplyReader::Step Step = Reader.consume(Line);
    // An error reply to the start message is not followed by READY.
    if (Step == ReplyReader::Step::Done || Reader.result().Error)
      co_return std::move(Reader.result());
    if (Step == ReplyReader::Step::Invalid)
      break;
  }
  close();
  co_return Failure{FailureKind::Unavailable,
                    "endpoint did not answer the start message"};
}

Task<Expected<Reply, CallFailure>>
EndpointConnection::exchange(std::string Bytes, Duration Limit) {
  if (!isReusable()) {
    close();
    co_return CallFailure::NotSent;
  }
  const runtime::Watchdog Guard(Socket, Limit);
  error_code Error;
  co_await runtime::asio::async_write(Socket, runtime::asio::buffer(Bytes),
                                      redirect_error(use_awaitable, Error));
  if (Error) {
    close();
    co_return CallFailure::MayHaveRun;
  }
  co_return co_await readReply();
}

Task<Expected<Reply, CallFailure>> EndpointConnection::call(std::string Bytes,
                                                            Duration Limit) {
  CallInProgress = true;
  Expected<Reply, CallFailure> Answer =
      co_await exchange(std::move(Bytes), Limit);
  CallInProgress = false;
  if (RemoteCloseHandler)
    watchForClose();
  co_return Answer;
}

void EndpointConnection::onRemoteClose(std::function<void()> Handler) {
  RemoteCloseHandler = std::move(Handler);
  watchForClose();
}

// Reply bytes also complete the wait, during a call or right after it, so the
// handler distinguishes them from a close.
void EndpointConnection::watchForClose() {
  if (WatchingForClose || !Socket.is_open())
    return;
  WatchingForClose = true;
  Socket.async_wait(runtime::tcp::socket::wait_read,
                    [Weak = weak_from_this()](const error_code &Error) {
                      const Connection Self = Weak.lock();
                      if (!Self)
                        return;
                      Self->WatchingForClose = false;
                      if (Error || Self->CallInProgress)
                        return;
                      if (Self->isReusable()) {
                        Self->watchForClose();
                        return;
                      }
                      Self->close();
                      if (const auto Handler =
                              std::exchange(Self->RemoteCloseHandler, nullptr))
                        Handler();
                    });
}

} // namespace borageridge::pool
