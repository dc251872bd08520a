#include "peer/PeerChannel.h"

#include "runtime/Listener.h"

#include <array>
#include <deque>
#include <utility>
#include <vector>

namespace borageridge::peer {
namespace {

using runtime::error_code;
using runtime::Task;
using runtime::tcp;
using runtime::asio::redirect_error;
using runtime::asio::use_awaitable;

constexpr Duration ConnectTimeout = std::chrono::milliseconds(400);
constexpr Duration WriteTimeout = std::chrono::milliseconds(3000);
// Larger than a page of a range read from the store.
constexpr std::size_t MaxFrameBytes = std::size_t(8) << 20;
constexpr std::size_t HeaderBytes = 4;

// A frame is a 4-byte big-endian length followed by a MessagePack object.
std::string encodeFrame(const Message &Content) {
  std::string Frame(HeaderBytes, '\0');
  nlohmann::json::to_msgpack(Content,
                             nlohmann::detail::output_adapter<char>(Frame));
  const std::size_t Size = Frame.size() - HeaderBytes;
  for (std::size_t I = 0; I < HeaderBytes; ++I)
    Frame[I] = static_cast<char>(Size >> (8 * (HeaderBytes - 1 - I)));
  return Frame;
}

Task<bool> readFrame(tcp::socket &Socket, Message &Result) {
  std::array<unsigned char, HeaderBytes> Header{};
  error_code Error;
  co_await runtime::asio::async_read(Socket, runtime::asio::buffer(Header),
                                     redirect_error(use_awaitable, Error));
  if (Error)
    co_return false;
  std::size_t Size = 0;
  for (const unsigned char Byte : Header)
    Size = Size << 8 | Byte;
  if (Size > MaxFrameBytes)
    co_return false;
  std::vector<std::uint8_t> Bytes(Size);
  co_await runtime::asio::async_read(Socket, runtime::asio::buffer(Bytes),
                                     redirect_error(use_awaitable, Error));
  if (Error)
    co_return false;
  Result = Message::from_msgpack(Bytes, true, false);
  co_return Result.is_object();
}

// Queues frames and writes them in order.
struct FrameWriter : std::enable_shared_from_this<FrameWriter> {
  FrameWriter(runtime::asio::io_context &Context, tcp::socket Connected)
      : Io(Context), Socket(std::move(Connected)) {}

  void send(std::string Frame) {
    Queue.push_back(std::move(Frame));
    if (Writing)
      return;
    Writing = true;
    runtime::spawn(Io, writeQueued(shared_from_this()));
  }

  static Task<void> writeQueued(std::shared_ptr<FrameWriter> Self) {
    error_code Error;
    while (!Self->Queue.empty() && !Error) {
      const std::string Frame = std::move(Self->Queue.front());
      Self->Queue.pop_front();
      const runtime::Watchdog Guard(Self->Socket, WriteTimeout);
      co_await runtime::asio::async_write(Self->Socket,
                                          runtime::asio::buffer(Frame),
                                          redirect_error(use_awaitable, Error));
    }
    Self->Writing = false;
    if (Error)
      Self->close();
  }

  void close() {
    Queue.clear();
    error_code Ignored;
    Socket.close(Ignored);
  }

  runtime::asio::io_context &Io;
  tcp::socket Socket;
  std::deque<std::string> Queue;
  bool Writing = false;
};

Task<void> handleRequest(std::shared_ptr<FrameWriter> Writer,
                         const Handler &Handle, Message Request) {
  const auto Id = Request.value("id", std::uint64_t(0));
  Message Reply = co_await Handle(std::move(Request));
  Reply["id"] = Id;
  Writer->send(encodeFrame(Reply));
}

Task<void> serveConnection(runtime::asio::io_context &Io, tcp::socket Socket,
                           const Handler &Handle) {
  runtime::setSocketOptions(Socket);
  const auto Writer = std::make_shared<FrameWriter>(Io, std::move(Socket));
  Message Request;
  while (co_await readFrame(Writer->Socket, Request))
    runtime::spawn(Io, handleRequest(Writer, Handle, std::move(Request)));
  Writer->close();
}

} // namespace

struct PeerChannel::PendingRequest {
  explicit PendingRequest(runtime::asio::io_context &Io) : Done(Io) {}
  runtime::Event Done;
  Message Reply;
  bool HasReply = false;
};

struct PeerChannel::Connection {
  explicit Connection(runtime::asio::io_context &Io, tcp::socket Socket)
      : Writer(std::make_shared<FrameWriter>(Io, std::move(Socket))) {}
  std::shared_ptr<FrameWriter> Writer;
  std::map<std::uint64_t, std::shared_ptr<PendingRequest>> PendingById;
  /// Number of replies received.
  std::uint64_t Received = 0;
};

PeerChannel::PeerChannel(runtime::asio::io_context &Context,
                         runtime::tcp::endpoint Address)
    : Io(Context), Peer(Address) {}

void PeerChannel::close() {
  if (Current)
    Current->Writer->close();
  Current.reset();
}

Task<std::shared_ptr<PeerChannel::Connection>>
PeerChannel::connect(Duration Timeout) {
  if (Current && Current->Writer->Socket.is_open())
    co_return Current;
  tcp::socket Socket(Io);
  const error_code Error = co_await runtime::connectTo(
      Socket, Peer, std::min(Timeout, ConnectTimeout));
  if (Error)
    co_return nullptr;
  // Another request may have connected in the meantime.
  if (Current && Current->Writer->Socket.is_open())
    co_return Current;
  Current = std::make_shared<Connection>(Io, std::move(Socket));
  runtime::spawn(Io, readReplies(Current));
  co_return Current;
}

Task<void> PeerChannel::readReplies(std::shared_ptr<Connection> Source) {
  const auto Self = shared_from_this();
  Message Reply;
  while (co_await readFrame(Source->Writer->Socket, Reply)) {
    ++Source->Received;
    const auto Found =
        Source->PendingById.find(Reply.value("id", std::uint64_t(0)));
    if (Found == Source->PendingById.end())
      continue;
    Found->second->Reply = std::move(Reply);
    Found->second->HasReply = true;
    Found->second->Done.notify();
  }
  Source->Writer->close();
  for (const auto &[Id, Request] : Source->PendingById)
    Request->Done.notify();
}

Task<Expected<Message>> PeerChannel::request(Message Request,
                                             Duration Timeout) {
  const auto Self = shared_from_this();
  const std::shared_ptr<Connection> Conn = co_await connect(Timeout);
  if (!Conn)
    co_return Failure{FailureKind::Unavailable, "cannot connect to peer"};
  const std::uint64_t Id = ++LastId;
  Request["id"] = Id;
  const auto Pending = std::make_shared<PendingRequest>(Io);
  Conn->PendingById.emplace(Id, Pending);
  Conn->Writer->send(encodeFrame(Request));
  const std::uint64_t ReceivedBefore = Conn->Received;
  const bool Signalled = co_await Pending->Done.wait(Timeout);
  Conn->PendingById.erase(Id);
  if (Pending->HasReply)
    co_return std::move(Pending->Reply);
  // Closes a connection that has received no reply during the wait; the next
  // request opens a new one. One that still delivers replies to other requests
  // is kept.
  if (!Signalled && Current == Conn && Conn->Received == ReceivedBefore)
    close();
  co_return Failure{FailureKind::Unknown, "no reply from peer"};
}

Expected<void> serve(runtime::asio::io_context &Io, tcp::endpoint Address,
                     Handler Handle) {
  return runtime::serve(
      Io, Address, [&Io, Handle = std::move(Handle)](tcp::socket Socket) {
        runtime::spawn(Io, serveConnection(Io, std::move(Socket), Handle));
      });
}

} // namespace borageridge::peer
