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

constexpr Duration ConnectLimit = std::chrono::milliseconds(1000);
// Larger than a page of a range read.
constexpr std::size_t MaxBodyBytes = std::size_t(8) << 20;

Failure failed(FailureKind Kind, const error_code &Error) {
  return {Kind, Error.message()};
}

} // namespace

struct HttpClient::Connection {
  explicit Connection(runtime::asio::io_context &Io) : Socket(Io) {}
  runtime::tcp::socket Socket;
  beast::flat_buffer Buffer;

  /// Whether the server has neither closed it nor sent anything unasked.
  bool isQuiet() {
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

void HttpClient::dropConnections() { Idle.clear(); }

void HttpClient::endCalls() {
  Idle.clear();
  error_code Ignored;
  for (Connection *Link : Busy)
    Link->Socket.close(Ignored);
}

std::unique_ptr<HttpClient::Connection> HttpClient::takeIdle() {
  while (!Idle.empty()) {
    std::unique_ptr<Connection> Link = std::move(Idle.back());
    Idle.pop_back();
    if (Link->isQuiet())
      return Link;
  }
  return nullptr;
}

Task<Expected<Response>> HttpClient::call(Request Call, Duration Limit) {
  std::unique_ptr<Connection> Link = takeIdle();
  if (!Link) {
    Link = std::make_unique<Connection>(Io);
    const error_code Error = co_await runtime::connectTo(
        Link->Socket, Server, std::min(Limit, ConnectLimit));
    if (Error)
      co_return failed(FailureKind::Unavailable, Error);
  }
  Busy.insert(Link.get());
  Expected<Response> Result = co_await exchange(*Link, Call, Limit);
  Busy.erase(Link.get());
  if (Result && Link->Socket.is_open())
    Idle.push_back(std::move(Link));
  co_return Result;
}

Task<Expected<Response>>
HttpClient::exchange(Connection &Link, const Request &Call, Duration Limit) {
  const runtime::Watchdog Guard(Link.Socket, Limit);
  beast::http::request<beast::http::string_body> Message;
  Message.version(11);
  Message.method_string(Call.Method);
  Message.target(Call.Target);
  Message.set(beast::http::field::host, Host);
  for (const auto &[Name, Value] : Call.Headers)
    Message.set(Name, Value);
  if (!Call.Body.empty())
    Message.set(beast::http::field::content_type, "application/json");
  Message.body() = Call.Body;
  Message.prepare_payload();
  error_code Error;
  co_await beast::http::async_write(Link.Socket, Message,
                                    redirect_error(use_awaitable, Error));
  if (Error)
    co_return failed(FailureKind::Unknown, Error);
  beast::http::response_parser<beast::http::string_body> Parser;
  Parser.body_limit(MaxBodyBytes);
  co_await beast::http::async_read(Link.Socket, Link.Buffer, Parser,
                                   redirect_error(use_awaitable, Error));
  if (Error)
    co_return failed(
        FailureKind::Unknown,
        Guard.hasFired() ? error_code(runtime::asio::error::timed_out) : Error);
  Response Result;
  Result.Status = Parser.get().result_int();
  Result.Body = std::move(Parser.get().body());
  if (!Parser.get().keep_alive()) {
    error_code Ignored;
    Link.Socket.close(Ignored);
  }
  co_return Result;
}

} // namespace borageridge::http
