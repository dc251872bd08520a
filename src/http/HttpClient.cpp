#include "http/HttpClient.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

namespace borageridge::http {
namespace {

namespace beast = boost::beast;
using runtime::error_code;
using runtime::Task;
using runtime::asio::redirect_error;
using runtime::asio::use_awaitable;

constexpr Duration ConnectTimeout = std::chrono::milliseconds(1000);
// Larger than a page of a range read from the store.
constexpr std::size_t MaxBodyBytes = std::size_t(8) << 20;

Failure makeFailure(FailureKind Kind, const error_code &Error) {
  return {Kind, Error.message()};
}

} // namespace

struct HttpClient::Connection {
  explicit Connection(runtime::asio::io_context &Io) : Socket(Io) {}
  runtime::tcp::socket Socket;
  beast::flat_buffer Buffer;

  /// Whether the server has neither closed the connection nor sent unexpected
  /// data.
  bool isReusable() {
    char Byte = 0;
    const auto Got =
        recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return Got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }
};

HttpClient::HttpClient(runtime::asio::io_context &Context,
                       runtime::tcp::endpoint To)
    : Io(Context), Server(To),
      Host(To.address().to_string() + ":" + std::to_string(To.port())) {}

HttpClient::~HttpClient() = default;

void HttpClient::closeIdleConnections() { Idle.clear(); }

void HttpClient::abortRequests() {
  Idle.clear();
  error_code Ignored;
  for (Connection *Conn : Busy)
    Conn->Socket.close(Ignored);
}

std::unique_ptr<HttpClient::Connection> HttpClient::takeIdleConnection() {
  while (!Idle.empty()) {
    std::unique_ptr<Connection> Conn = std::move(Idle.back());
    Idle.pop_back();
    if (Conn->isReusable())
      return Conn;
  }
  return nullptr;
}

Task<Expected<std::unique_ptr<HttpClient::Connection>>>
HttpClient::connect(Duration Timeout) {
  std::unique_ptr<Connection> Conn = takeIdleConnection();
  if (Conn)
    co_return std::move(Conn);
  Conn = std::make_unique<Connection>(Io);
  const error_code Error = co_await runtime::connectTo(
      Conn->Socket, Server, std::min(Timeout, ConnectTimeout));
  if (Error)
    co_return makeFailure(FailureKind::Unavailable, Error);
  co_return std::move(Conn);
}

Task<Expected<Response>> HttpClient::send(Request Message, Duration Timeout) {
  Expected<std::unique_ptr<Connection>> Conn = co_await connect(Timeout);
  if (!Conn)
    co_return std::move(Conn).error();
  co_return co_await sendAndKeep(std::move(Conn).value(), Message, Timeout);
}

// A connection that is closed with the linger time 0 discards the bytes that
// the kernel has not delivered, which it would otherwise still retransmit.
Task<Expected<Response>> HttpClient::sendIf(Permission IsPermitted,
                                            Request Message, Duration Timeout) {
  Expected<std::unique_ptr<Connection>> Made = co_await connect(Timeout);
  if (!Made)
    co_return std::move(Made).error();
  std::unique_ptr<Connection> Conn = std::move(Made).value();
  if (!IsPermitted()) {
    Idle.push_back(std::move(Conn));
    co_return Failure{FailureKind::Unavailable, "no longer permitted"};
  }
  error_code Ignored;
  Conn->Socket.set_option(runtime::tcp::socket::linger(true, 0), Ignored);
  co_return co_await sendAndKeep(std::move(Conn), Message, Timeout);
}

Task<Expected<Response>>
HttpClient::sendAndKeep(std::unique_ptr<Connection> Conn,
                        const Request &Message, Duration Timeout) {
  Busy.insert(Conn.get());
  Expected<Response> Result = co_await sendOver(*Conn, Message, Timeout);
  Busy.erase(Conn.get());
  if (Result && Conn->Socket.is_open())
    Idle.push_back(std::move(Conn));
  co_return Result;
}

Task<Expected<Response>> HttpClient::sendOver(Connection &Conn,
                                              const Request &Message,
                                              Duration Timeout) {
  const runtime::Watchdog Guard(Conn.Socket, Timeout);
  beast::http::request<beast::http::string_body> Outgoing;
  Outgoing.version(11);
  Outgoing.method_string(Message.Method);
  Outgoing.target(Message.Target);
  Outgoing.set(beast::http::field::host, Host);
  for (const auto &[Name, Value] : Message.Headers)
    Outgoing.set(Name, Value);
  if (!Message.Body.empty())
    Outgoing.set(beast::http::field::content_type, "application/json");
  Outgoing.body() = Message.Body;
  Outgoing.prepare_payload();
  error_code Error;
  co_await beast::http::async_write(Conn.Socket, Outgoing,
                                    redirect_error(use_awaitable, Error));
  if (Error)
    co_return makeFailure(FailureKind::Unknown, Error);
  beast::http::response_parser<beast::http::string_body> Parser;
  Parser.body_limit(MaxBodyBytes);
  co_await beast::http::async_read(Conn.Socket, Conn.Buffer, Parser,
                                   redirect_error(use_awaitable, Error));
  if (Error)
    co_return makeFailure(FailureKind::Unknown,
                          Guard.hasExpired()
                              ? error_code(runtime::asio::error::timed_out)
                              : Error);
  Response Result;
  Result.Status = Parser.get().result_int();
  Result.Body = std::move(Parser.get().body());
  for (const auto &Field : Parser.get())
    Result.Headers.emplace_back(Field.name_string(), Field.value());
  if (!Parser.get().keep_alive()) {
    error_code Ignored;
    Conn.Socket.close(Ignored);
  }
  co_return Result;
}

} // namespace borageridge::http
