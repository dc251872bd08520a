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

constexpr Duration ConnectLimit = std::chrono::milliseconds(400);
constexpr Duration WriteLimit = std::chrono::milliseconds(3000);
// Larger than a page of the store's range read.
constexpr std::size_t MaxFrameBytes = std::size_t(8) << 20;
constexpr std::size_t HeaderBytes = 4;

// A frame is a length of four bytes, the highest first, and MessagePack.
std::string encodeFrame(const Message &M) {
  std::string Frame(HeaderBytes, '\0');
  nlohmann::json::to_msgpack(M, nlohmann::detail::output_adapter<char>(Frame));
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

// Writes frames one after the other.
struct FrameWriter : std::enable_shared_from_this<FrameWriter> {
  FrameWriter(runtime::asio::io_context &Context, tcp::socket Connected)
      : Io(Context), Socket(std::move(Connected)) {}

  void send(std::string Frame) {
    Queue.push_back(std::move(Frame));
    if (Writing)
      return;
    Writing = true;
    runtime::spawn(Io, drain(shared_from_this()));
  }

  static Task<void> drain(std::shared_ptr<FrameWriter> Self) {
    error_code Error;
    while (!Self->Queue.empty() && !Error) {
      const std::string Frame = std::move(Self->Queue.front());
      Self->Queue.pop_front();
      const runtime::Watchdog Guard(Self->Socket, WriteLimit);
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

Task<void> answerOne(std::shared_ptr<FrameWriter> Writer, const Handler &Answer,
                     Message Request) {
  const auto Id = Request.value("id", std::uint64_t(0));
  Message Reply = co_await Answer(std::move(Request));
  Reply["id"] = Id;
  Writer->send(encodeFrame(Reply));
}

Task<void> serveConnection(runtime::asio::io_context &Io, tcp::socket Socket,
                           const Handler &Answer) {
  runtime::setUsualOptions(Socket);
  const auto Writer = std::make_shared<FrameWriter>(Io, std::move(Socket));
  Message Request;
  while (co_await readFrame(Writer->Socket, Request))
    runtime::spawn(Io, answerOne(Writer, Answer, std::move(Request)));
  Writer->close();
}

} // namespace

struct PeerChannel::Pending {
  explicit Pending(runtime::asio::io_context &Io) : Done(Io) {}
  runtime::Event Done;
  Message Answer;
  bool Answered = false;
};

struct PeerChannel::Link {
  explicit Link(runtime::asio::io_context &Io, tcp::socket Socket)
      : Writer(std::make_shared<FrameWriter>(Io, std::move(Socket))) {}
  std::shared_ptr<FrameWriter> Writer;
  std::map<std::uint64_t, std::shared_ptr<Pending>> Waiting;
  /// Answers that have arrived.
  std::uint64_t Received = 0;
};

PeerChannel::PeerChannel(runtime::asio::io_context &Context,
                         runtime::tcp::endpoint Address)
    : Io(Context), To(Address) {}

void PeerChannel::close() {
  if (Current)
    Current->Writer->close();
  Current.reset();
}

Task<std::shared_ptr<PeerChannel::Link>> PeerChannel::connect(Duration Limit) {
  if (Current && Current->Writer->Socket.is_open())
    co_return Current;
  tcp::socket Socket(Io);
  const error_code Error =
      co_await runtime::connectTo(Socket, To, std::min(Limit, ConnectLimit));
  if (Error)
    co_return nullptr;
  // Another request may have connected in the meantime.
  if (Current && Current->Writer->Socket.is_open())
    co_return Current;
  Current = std::make_shared<Link>(Io, std::move(Socket));
  runtime::spawn(Io, readAnswers(Current));
  co_return Current;
}

Task<void> PeerChannel::readAnswers(std::shared_ptr<Link> From) {
  const auto Self = shared_from_this();
  Message Answer;
  while (co_await readFrame(From->Writer->Socket, Answer)) {
    ++From->Received;
    const auto Found = From->Waiting.find(Answer.value("id", std::uint64_t(0)));
    if (Found == From->Waiting.end())
      continue;
    Found->second->Answer = std::move(Answer);
    Found->second->Answered = true;
    Found->second->Done.notify();
  }
  From->Writer->close();
  for (const auto &[Id, Request] : From->Waiting)
    Request->Done.notify();
}

Task<Expected<Message>> PeerChannel::ask(Message Request, Duration Limit) {
  const auto Self = shared_from_this();
  const std::shared_ptr<Link> Over = co_await connect(Limit);
  if (!Over)
    co_return Failure{FailureKind::Unavailable, "peer not reached"};
  const std::uint64_t Id = ++LastId;
  Request["id"] = Id;
  const auto Entry = std::make_shared<Pending>(Io);
  Over->Waiting.emplace(Id, Entry);
  Over->Writer->send(encodeFrame(Request));
  const std::uint64_t ReceivedBefore = Over->Received;
  const bool Signalled = co_await Entry->Done.wait(Limit);
  Over->Waiting.erase(Id);
  if (Entry->Answered)
    co_return std::move(Entry->Answer);
  // A connection that has gone silent is replaced; one that still answers
  // other requests is kept.
  if (!Signalled && Current == Over && Over->Received == ReceivedBefore)
    close();
  co_return Failure{FailureKind::Unknown, "no answer from peer"};
}

Expected<void> serve(runtime::asio::io_context &Io, tcp::endpoint Address,
                     Handler Answer) {
  return runtime::serve(
      Io, Address, [&Io, Answer = std::move(Answer)](tcp::socket Socket) {
        runtime::spawn(Io, serveConnection(Io, std::move(Socket), Answer));
      });
}

} // namespace borageridge::peer
