#ifndef BORAGERIDGE_ENTRY_FAKEMEMBER_H
#define BORAGERIDGE_ENTRY_FAKEMEMBER_H

#include "catalog/Catalog.h"
#include "runtime/Async.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace borageridge::entry {

/// Answers to a statement that succeeded, outside and inside a transaction, at
/// position 1.5 (term 1, index 5). 7.1 is the detail of the reply.
inline constexpr std::string_view Success = "COMPLETE 7.1\r\nREADY I 1.5\r\n";
inline constexpr std::string_view SuccessInTransaction =
    "COMPLETE 7.1\r\nREADY T 1.5\r\n";
/// Makes the member close the connection instead of answering.
inline constexpr std::string_view CloseConnection = "close";

/// A database member on a loopback socket with scripted answers. Also stands in
/// for a daemon to which sessions are forwarded, since both use the same
/// protocol.
class FakeMember {
public:
  struct Request {
    /// Number of the connection, counted from 0 in the order of acceptance.
    int Connection;
    std::string Text;
  };
  /// Returns the bytes to send, an empty string for no answer, or
  /// CloseConnection.
  using Script = std::function<std::string_view(const std::string &Text)>;

  FakeMember(runtime::asio::io_context &Context, std::string Name)
      : Io(Context), Id(std::move(Name)),
        Acceptor(Context, runtime::tcp::endpoint(
                              runtime::asio::ip::address_v4::loopback(), 0)) {
    runtime::spawn(Io, accept());
  }

  std::uint16_t port() const { return Acceptor.local_endpoint().port(); }

  void closeConnections() {
    for (const auto &Open : Sockets)
      if (const auto Socket = Open.lock())
        Socket->close();
    Sockets.clear();
  }

  catalog::Member info() const {
    catalog::Member M;
    M.Id = Id;
    M.Service = "db";
    M.Address = "127.0.0.1:" + std::to_string(port());
    M.Slots = 3;
    return M;
  }

  /// Number of received requests that contain the text.
  std::size_t count(std::string_view Part) const {
    return static_cast<std::size_t>(
        std::count_if(Requests.begin(), Requests.end(), [&](const Request &R) {
          return R.Text.find(Part) != std::string::npos;
        }));
  }

  Script Answer = [](const std::string &Text) {
    return Text.find("BEGIN") != std::string::npos ? SuccessInTransaction
                                                   : Success;
  };
  /// Answers nothing, also no start message.
  bool IsSilent = false;
  /// The received requests, without the start messages of connections.
  std::vector<Request> Requests;
  /// Start messages, in the order of arrival.
  std::vector<std::string> Starts;

private:
  runtime::Task<void> accept() {
    for (int Number = 0;; ++Number) {
      const auto Socket = std::make_shared<runtime::tcp::socket>(
          co_await Acceptor.async_accept(runtime::asio::use_awaitable));
      Sockets.push_back(Socket);
      runtime::spawn(Io, serve(Socket, Number));
    }
  }

  runtime::Task<void> serve(std::shared_ptr<runtime::tcp::socket> Socket,
                            int Number) {
    std::string Buffer;
    for (;;) {
      runtime::error_code Error;
      const std::size_t Size = co_await runtime::asio::async_read_until(
          *Socket, runtime::asio::dynamic_buffer(Buffer), "\r\n",
          runtime::asio::redirect_error(runtime::asio::use_awaitable, Error));
      if (Error)
        co_return;
      const std::string Text = Buffer.substr(0, Size - 2);
      Buffer.erase(0, Size);
      std::string Bytes = "READY I 1.5\r\n";
      if (IsSilent) {
        Bytes.clear();
      } else if (Text.starts_with("START")) {
        Starts.push_back(Text);
      } else {
        Requests.push_back({Number, Text});
        Bytes = Answer(Text);
      }
      if (Bytes == CloseConnection) {
        Socket->close();
        co_return;
      }
      co_await runtime::asio::async_write(
          *Socket, runtime::asio::buffer(Bytes),
          runtime::asio::redirect_error(runtime::asio::use_awaitable, Error));
    }
  }

  runtime::asio::io_context &Io;
  std::string Id;
  runtime::tcp::acceptor Acceptor;
  std::vector<std::weak_ptr<runtime::tcp::socket>> Sockets;
};

} // namespace borageridge::entry

#endif // BORAGERIDGE_ENTRY_FAKEMEMBER_H
