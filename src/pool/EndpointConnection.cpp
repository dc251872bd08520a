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
                                       std::string Id)
    : Socket(Io), Member(std::move(Id)) {}

void EndpointConnection::close() {
  error_code Ignored;
  Socket.close(Ignored);
}

bool EndpointConnection::isQuiet() {
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

Task<Expected<Reply, Loss>> EndpointConnection::collect() {
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
  co_return Loss::MayHaveRun;
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
    // A refusal is not followed by a ready message.
    if (Step == ReplyReader::Step::Done || Reader.result().Error)
      co_return std::move(Reader.result());
    if (Step == ReplyReader::Step::Invalid)
      break;
  }
  close();
  co_return Failure{FailureKind::Unavailable, "no answer to the start"};
}

Task<Expected<Reply, Loss>> EndpointConnection::exchange(std::string Bytes,
                                                         Duration Limit) {
  if (!isQuiet()) {
    close();
    co_return Loss::NotSent;
  }
  const runtime::Watchdog Guard(Socket, Limit);
  error_code Error;
  co_await runtime::asio::async_write(Socket, runtime::asio::buffer(Bytes),
                                      redirect_error(use_awaitable, Error));
  if (Error) {
    close();
    co_return Loss::MayHaveRun;
  }
  co_return co_await collect();
}

Task<Expected<Reply, Loss>> EndpointConnection::call(std::string Bytes,
                                                     Duration Limit) {
  Calling = true;
  Expected<Reply, Loss> Answer = co_await exchange(std::move(Bytes), Limit);
  Calling = false;
  if (OnEnd)
    awaitEnd();
  co_return Answer;
}

void EndpointConnection::notifyWhenEnded(std::function<void()> Ended) {
  OnEnd = std::move(Ended);
  awaitEnd();
}

// The bytes of an answer wake the wait as well, during the call or right after
// it.
void EndpointConnection::awaitEnd() {
  if (AwaitsEnd || !Socket.is_open())
    return;
  AwaitsEnd = true;
  Socket.async_wait(runtime::tcp::socket::wait_read,
                    [Weak = weak_from_this()](const error_code &Error) {
                      const Connection Self = Weak.lock();
                      if (!Self)
                        return;
                      Self->AwaitsEnd = false;
                      if (Error || Self->Calling)
                        return;
                      if (Self->isQuiet()) {
                        Self->awaitEnd();
                        return;
                      }
                      Self->close();
                      if (const auto Ended =
                              std::exchange(Self->OnEnd, nullptr))
                        Ended();
                    });
}

} // namespace borageridge::pool
