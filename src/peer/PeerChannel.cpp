#include "peer/PeerChannel.h"

#include "runtime/Listener.h"

#include <algorithm>
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
// A frame is read in pieces of this size, so that its header alone does not
// reserve memory.
constexpr std::size_t ReadChunkBytes = std::size_t(64) << 10;

enum class ReadResult { Read, Closed, Invalid };

// On Invalid, Reason says what is wrong with the frame.
Task<ReadResult> readFrame(tcp::socket &Socket, Message &Result,
                           Failure &Reason) {
  std::array<std::uint8_t, FrameHeaderBytes> Header{};
  error_code Error;
  co_await runtime::asio::async_read(Socket, runtime::asio::buffer(Header),
                                     redirect_error(use_awaitable, Error));
  if (Error)
    co_return ReadResult::Closed;
  const std::size_t Size = frameSize(Header);
  if (Size > MaxFrameBytes) {
    Reason = {FailureKind::Corrupt, "frame is too long"};
    co_return ReadResult::Invalid;
  }
  std::vector<std::uint8_t> Bytes;
  while (Bytes.size() < Size) {
    const std::size_t Old = Bytes.size();
    Bytes.resize(std::min(Size, Old + ReadChunkBytes));
    co_await runtime::asio::async_read(
        Socket, runtime::asio::buffer(Bytes.data() + Old, Bytes.size() - Old),
        redirect_error(use_awaitable, Error));
    if (Error)
      co_return ReadResult::Closed;
  }
  Expected<Message> Decoded = decodeFrame(Bytes);
  if (!Decoded) {
    Reason = std::move(Decoded).error();
    co_return ReadResult::Invalid;
  }
  Result = std::move(Decoded).value();
  co_return ReadResult::Read;
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

struct Server {
  runtime::asio::io_context &Io;
  Handler Handle;
  RejectionHandler OnRejection;
};

std::string remoteAddress(const tcp::socket &Socket) {
  error_code Error;
  const tcp::endpoint Remote = Socket.remote_endpoint(Error);
  return Error ? std::string("unknown") : Remote.address().to_string();
}

Task<void> handleRequest(std::shared_ptr<FrameWriter> Writer,
                         std::shared_ptr<const Server> Config,
                         Message Request) {
  const auto Id = Request["id"].get<std::uint64_t>();
  Expected<Message> Reply = co_await Config->Handle(std::move(Request));
  if (!Reply) {
    Config->OnRejection(remoteAddress(Writer->Socket), Reply.error());
    Writer->close();
    co_return;
  }
  Reply.value()["id"] = Id;
  Writer->send(encodeFrame(Reply.value()));
}

Task<void> serveConnection(tcp::socket Socket,
                           std::shared_ptr<const Server> Config) {
  runtime::setSocketOptions(Socket);
  const auto Writer =
      std::make_shared<FrameWriter>(Config->Io, std::move(Socket));
  Message Request;
  Failure Reason{FailureKind::Corrupt, ""};
  ReadResult Read = ReadResult::Closed;
  while ((Read = co_await readFrame(Writer->Socket, Request, Reason)) ==
         ReadResult::Read)
    runtime::spawn(Config->Io,
                   handleRequest(Writer, Config, std::move(Request)));
  if (Read == ReadResult::Invalid)
    Config->OnRejection(remoteAddress(Writer->Socket), Reason);
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
  // An invalid reply is reported to the pending requests as a lost one.
  Failure Ignored{FailureKind::Corrupt, ""};
  while (co_await readFrame(Source->Writer->Socket, Reply, Ignored) ==
         ReadResult::Read) {
    ++Source->Received;
    const auto Found =
        Source->PendingById.find(Reply["id"].get<std::uint64_t>());
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
                     Handler Handle, RejectionHandler OnRejection) {
  const auto Config = std::make_shared<const Server>(
      Server{Io, std::move(Handle), std::move(OnRejection)});
  return runtime::serve(Io, Address, [Config](tcp::socket Socket) {
    runtime::spawn(Config->Io, serveConnection(std::move(Socket), Config));
  });
}

} // namespace borageridge::peer
