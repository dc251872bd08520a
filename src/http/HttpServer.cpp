#include "http/HttpServer.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace borageridge::http {
namespace {

namespace beast = boost::beast;
using runtime::error_code;
using runtime::Task;
using runtime::tcp;
using runtime::asio::redirect_error;
using runtime::asio::use_awaitable;

// Time within which a request must arrive, be handled and be answered; the
// connection is closed otherwise.
constexpr Duration IdleTimeout = std::chrono::seconds(30);

Task<bool> serveRequest(tcp::socket &Socket, beast::flat_buffer &Buffer,
                        const Handler &Handle) {
  const runtime::Watchdog Guard(Socket, IdleTimeout);
  error_code Error;
  beast::http::request<beast::http::string_body> Message;
  co_await beast::http::async_read(Socket, Buffer, Message,
                                   redirect_error(use_awaitable, Error));
  if (Error)
    co_return false;
  Request Decoded;
  Decoded.Method = std::string(Message.method_string());
  Decoded.Target = std::string(Message.target());
  Decoded.Body = std::move(Message.body());
  Response Result = Handle(Decoded);
  beast::http::response<beast::http::string_body> Reply;
  Reply.version(Message.version());
  Reply.result(Result.Status);
  Reply.set(beast::http::field::content_type, Result.ContentType);
  for (const auto &[Name, Value] : Result.Headers)
    Reply.set(Name, Value);
  Reply.body() = std::move(Result.Body);
  Reply.keep_alive(Message.keep_alive());
  Reply.prepare_payload();
  co_await beast::http::async_write(Socket, Reply,
                                    redirect_error(use_awaitable, Error));
  co_return !Error && Message.keep_alive();
}

Task<void> serveConnection(tcp::socket Socket, Handler Handle) {
  runtime::setSocketOptions(Socket);
  beast::flat_buffer Buffer;
  while (co_await serveRequest(Socket, Buffer, Handle)) {
  }
}

} // namespace

runtime::SocketHandler connectionHandler(runtime::asio::io_context &Io,
                                         Handler Handle) {
  return [&Io, Handle = std::move(Handle)](tcp::socket Socket) {
    runtime::spawn(Io, serveConnection(std::move(Socket), Handle));
  };
}

Expected<void> serve(runtime::asio::io_context &Io, tcp::endpoint Address,
                     Handler Handle) {
  return runtime::serve(Io, Address, connectionHandler(Io, std::move(Handle)));
}

} // namespace borageridge::http
