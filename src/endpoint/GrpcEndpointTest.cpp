#include "endpoint/GrpcEndpoint.h"

#include "endpoint.grpc.pb.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/synchronization/notification.h"
#include "absl/time/time.h"

#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <grpcpp/grpcpp.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace borageridge::endpoint {
namespace {

using namespace std::chrono_literals;

constexpr auto Patience = 3s;

/// Collects what callbacks deliver.
template <typename T> class Inbox {
public:
  void put(Expected<T> Item) {
    const absl::MutexLock Lock(&Mutex);
    Items.push_back(std::move(Item));
  }

  /// Returns the items once there are Count, or those there are after Timeout.
  std::vector<Expected<T>> wait(std::size_t Count,
                                Duration Timeout = Patience) {
    const absl::MutexLock Lock(&Mutex);
    const auto Enough = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex) {
      return Items.size() >= Count;
    };
    Mutex.AwaitWithTimeout(absl::Condition(&Enough), absl::FromChrono(Timeout));
    return Items;
  }

private:
  absl::Mutex Mutex;
  std::vector<Expected<T>> Items ABSL_GUARDED_BY(Mutex);
};

using Replies = Inbox<ConnectionReply>;

/// A member that answers every request with its sequence, and a request with a
/// begin step with replies without end.
class EchoService final : public EndpointService::Service {
public:
  grpc::Status
  Connect(grpc::ServerContext *Context,
          grpc::ServerReaderWriter<ConnectionReply, ConnectionRequest> *Stream)
      override {
    {
      const absl::MutexLock Lock(&Mutex);
      Peers.insert(Context->peer());
    }
    ConnectionRequest Request;
    while (Stream->Read(&Request)) {
      ConnectionReply Reply;
      Reply.set_sequence(Request.sequence());
      while (Stream->Write(Reply) && Request.has_begin())
        ;
    }
    return grpc::Status::OK;
  }

  grpc::Status
  Observe(grpc::ServerContext * /*Context*/,
          grpc::ServerReaderWriter<MemberStatus, Ping> *Stream) override {
    Ping Request;
    while (Stream->Read(&Request)) {
      MemberStatus Status;
      Status.set_ping_sequence(Request.sequence());
      Stream->Write(Status);
    }
    return grpc::Status::OK;
  }

  grpc::Status Seal(grpc::ServerContext * /*Context*/,
                    const SealRequest *Request, SealReply *Reply) override {
    Reply->set_accepted(true);
    Reply->set_sealed_term(Request->term());
    return grpc::Status::OK;
  }

  std::size_t peerCount() {
    const absl::MutexLock Lock(&Mutex);
    return Peers.size();
  }

private:
  absl::Mutex Mutex;
  std::set<std::string> Peers ABSL_GUARDED_BY(Mutex);
};

class EchoServer {
public:
  EchoServer() {
    grpc::ServerBuilder Builder;
    Builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(),
                             &Port);
    Builder.RegisterService(&Service);
    Server = Builder.BuildAndStart();
  }
  ~EchoServer() { Server->Shutdown(std::chrono::system_clock::now()); }

  std::string address() const { return "127.0.0.1:" + std::to_string(Port); }

  EchoService Service;

private:
  std::unique_ptr<grpc::Server> Server;
  int Port = 0;
};

/// A TCP peer without gRPC on a loopback port.
class RawPeer {
public:
  explicit RawPeer(bool Listens) : Socket(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto *const Generic = reinterpret_cast<sockaddr *>(&Address);
    socklen_t Size = sizeof(Address);
    CPPUNIT_ASSERT_EQUAL(0, bind(Socket, Generic, Size));
    CPPUNIT_ASSERT_EQUAL(0, getsockname(Socket, Generic, &Size));
    Port = ntohs(Address.sin_port);
    if (Listens)
      CPPUNIT_ASSERT_EQUAL(0, listen(Socket, 1));
  }
  ~RawPeer() {
    close(Socket);
    if (Accepted >= 0)
      close(Accepted);
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(Port); }

  void acceptOne() { Accepted = accept(Socket, nullptr, nullptr); }

  /// Sends an empty HTTP/2 settings frame, which opens the connection for the
  /// client.
  void sendSettings() {
    const std::array<char, 9> Frame = {0, 0, 0, 4, 0, 0, 0, 0, 0};
    CPPUNIT_ASSERT_EQUAL(ssize_t(9),
                         send(Accepted, Frame.data(), Frame.size(), 0));
  }

  /// Reads until Wanted has arrived.
  void readUntil(std::string_view Wanted) {
    std::string Bytes;
    std::array<char, 4096> Buffer{};
    while (Bytes.find(Wanted) == std::string::npos) {
      const ssize_t Count = recv(Accepted, Buffer.data(), Buffer.size(), 0);
      CPPUNIT_ASSERT(Count > 0);
      Bytes.append(Buffer.data(), static_cast<std::size_t>(Count));
    }
  }

  /// Closes the connection with a TCP reset.
  void reset() {
    const linger NoLinger{1, 0};
    setsockopt(Accepted, SOL_SOCKET, SO_LINGER, &NoLinger, sizeof(NoLinger));
    close(Accepted);
    Accepted = -1;
  }

private:
  int Socket;
  int Accepted = -1;
  int Port = 0;
};

ConnectionRequest request(std::uint64_t Sequence) {
  ConnectionRequest Request;
  Request.set_sequence(Sequence);
  Request.set_hello(true);
  return Request;
}

ConnectionRequest textRequest(const std::string &Text) {
  ConnectionRequest Request;
  Request.mutable_statement()->set_text(Text);
  return Request;
}

ConnectionRequest endless() {
  ConnectionRequest Request;
  Request.mutable_begin();
  return Request;
}

class GrpcEndpointTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GrpcEndpointTest);
  CPPUNIT_TEST(repliesKeepTheOrderOfTheRequests);
  CPPUNIT_TEST(eachConnectionHasATcpConnectionOfItsOwn);
  CPPUNIT_TEST(pingsAreAnswered);
  CPPUNIT_TEST(refusedConnectionReportsUnavailableFirst);
  CPPUNIT_TEST(peerThatNeverOpensTheConnectionReportsUnavailable);
  CPPUNIT_TEST(resetAfterARequestWasSentReportsUnknown);
  CPPUNIT_TEST(silentPeerCausesNoCallbackAndDestructionIsPrompt);
  CPPUNIT_TEST(noCallbackRunsAfterTheHandleIsDestroyed);
  CPPUNIT_TEST(callbackMayDestroyItsOwnHandle);
  CPPUNIT_TEST(unaryCallReturnsTheReply);
  CPPUNIT_TEST(unaryCallToSilentPeerReportsUnknownInTime);
  CPPUNIT_TEST(noUnaryCallbackRunsAfterTheEndpointIsDestroyed);
  CPPUNIT_TEST_SUITE_END();

  static GrpcEndpointBounds bounds() {
    GrpcEndpointBounds Bounds;
    Bounds.ConnectTimeout = 300ms;
    return Bounds;
  }

  struct TestEndpoint : GrpcEndpoint {
    explicit TestEndpoint(const std::string &Target)
        : GrpcEndpoint(Target, grpc::InsecureChannelCredentials(), bounds()) {}
  };

  static std::unique_ptr<GrpcEndpoint::Connection> connect(GrpcEndpoint &Member,
                                                           Replies &Into) {
    return Member.connect([&Into](auto Reply) { Into.put(std::move(Reply)); });
  }

  // Guards against replies delivered to the wrong request (P4).
  void repliesKeepTheOrderOfTheRequests() {
    constexpr std::uint64_t Count = 2000;
    EchoServer Server;
    TestEndpoint Member(Server.address());
    Replies Received;
    const auto Connection = connect(Member, Received);
    for (std::uint64_t Sequence = 1; Sequence <= Count; ++Sequence)
      Connection->send(request(Sequence));
    const auto Items = Received.wait(Count);
    CPPUNIT_ASSERT_EQUAL(std::size_t(Count), Items.size());
    for (std::uint64_t I = 0; I < Count; ++I) {
      CPPUNIT_ASSERT(Items[I].has_value());
      CPPUNIT_ASSERT_EQUAL(I + 1, std::uint64_t(Items[I].value().sequence()));
    }
  }

  // Guards against one silent TCP path that stops several connections.
  void eachConnectionHasATcpConnectionOfItsOwn() {
    EchoServer Server;
    TestEndpoint Member(Server.address());
    Replies Received;
    const auto First = connect(Member, Received);
    const auto Second = connect(Member, Received);
    First->send(request(1));
    Second->send(request(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Received.wait(2).size());
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Server.Service.peerCount());
  }

  void pingsAreAnswered() {
    EchoServer Server;
    TestEndpoint Member(Server.address());
    Inbox<MemberStatus> Received;
    const auto Observation =
        Member.observe([&](auto Status) { Received.put(std::move(Status)); });
    Observation->ping(5);
    Observation->ping(6);
    const auto Items = Received.wait(2);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Items.size());
    CPPUNIT_ASSERT(Items[1].has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(6),
                         std::uint64_t(Items[1].value().ping_sequence()));
  }

  // Guards against "unknown" for requests that were never sent.
  void refusedConnectionReportsUnavailableFirst() {
    const RawPeer Peer(false);
    TestEndpoint Member(Peer.address());
    Replies Received;
    const auto Connection = connect(Member, Received);
    Connection->send(request(1));
    const auto Items = Received.wait(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Items.size());
    CPPUNIT_ASSERT(!Items[0].has_value());
    CPPUNIT_ASSERT_EQUAL(name(FailureKind::Unavailable),
                         name(Items[0].error().Kind));
    // Dropped without a further callback.
    Connection->send(request(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Received.wait(2, 50ms).size());
  }

  void peerThatNeverOpensTheConnectionReportsUnavailable() {
    RawPeer Peer(true);
    TestEndpoint Member(Peer.address());
    Replies Received;
    const auto Connection = connect(Member, Received);
    Connection->send(request(1));
    Peer.acceptOne();
    const auto Items = Received.wait(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Items.size());
    CPPUNIT_ASSERT(!Items[0].has_value());
    CPPUNIT_ASSERT_EQUAL(name(FailureKind::Unavailable),
                         name(Items[0].error().Kind));
  }

  // Guards against "not run" for a request that the member may have run (P5).
  void resetAfterARequestWasSentReportsUnknown() {
    RawPeer Peer(true);
    TestEndpoint Member(Peer.address());
    Replies Received;
    const auto Connection = connect(Member, Received);
    Connection->send(textRequest("MARK"));
    Peer.acceptOne();
    Peer.sendSettings();
    Peer.readUntil("MARK");
    Peer.reset();
    const auto Items = Received.wait(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Items.size());
    CPPUNIT_ASSERT(!Items[0].has_value());
    CPPUNIT_ASSERT_EQUAL(name(FailureKind::Unknown),
                         name(Items[0].error().Kind));
  }

  // Guards against a caller that hangs when it discards a silent connection.
  void silentPeerCausesNoCallbackAndDestructionIsPrompt() {
    RawPeer Peer(true);
    TestEndpoint Member(Peer.address());
    Replies Received;
    auto Connection = connect(Member, Received);
    Connection->send(textRequest("MARK"));
    Peer.acceptOne();
    Peer.sendSettings();
    Peer.readUntil("MARK");
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Received.wait(1, 200ms).size());
    const Time Start = std::chrono::steady_clock::now();
    Connection.reset();
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - Start < 100ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Received.wait(1, 100ms).size());
  }

  // Guards against use of freed state by a late reply.
  void noCallbackRunsAfterTheHandleIsDestroyed() {
    EchoServer Server;
    TestEndpoint Member(Server.address());
    for (int Round = 0; Round < 50; ++Round) {
      std::atomic<bool> Destroyed = false;
      std::atomic<int> Late = 0;
      std::atomic<int> Count = 0;
      auto Connection = Member.connect([&](auto) {
        ++Count;
        Late += Destroyed ? 1 : 0;
      });
      Connection->send(endless());
      while (Count < 10)
        std::this_thread::yield();
      Connection.reset();
      Destroyed = true;
      const int Before = Count;
      std::this_thread::sleep_for(1ms);
      CPPUNIT_ASSERT_EQUAL(Before, Count.load());
      CPPUNIT_ASSERT_EQUAL(0, Late.load());
    }
  }

  void callbackMayDestroyItsOwnHandle() {
    EchoServer Server;
    TestEndpoint Member(Server.address());
    for (int Round = 0; Round < 20; ++Round) {
      std::unique_ptr<GrpcEndpoint::Connection> Connection;
      absl::Notification Assigned;
      absl::Notification Done;
      std::atomic<int> Count = 0;
      Connection = Member.connect([&](auto) {
        Assigned.WaitForNotification();
        ++Count;
        Connection.reset();
        Done.Notify();
      });
      Connection->send(endless());
      Assigned.Notify();
      CPPUNIT_ASSERT(Done.WaitForNotificationWithTimeout(absl::Seconds(3)));
      std::this_thread::sleep_for(1ms);
      CPPUNIT_ASSERT_EQUAL(1, Count.load());
    }
  }

  void unaryCallReturnsTheReply() {
    EchoServer Server;
    TestEndpoint Member(Server.address());
    Inbox<SealReply> Received;
    SealRequest Request;
    Request.set_term(9);
    Member.seal(Request, 1s,
                [&](auto Reply) { Received.put(std::move(Reply)); });
    const auto Items = Received.wait(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Items.size());
    CPPUNIT_ASSERT(Items[0].has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(9),
                         std::uint64_t(Items[0].value().sealed_term()));
  }

  void unaryCallToSilentPeerReportsUnknownInTime() {
    RawPeer Peer(true);
    TestEndpoint Member(Peer.address());
    Inbox<SealReply> Received;
    const Time Start = std::chrono::steady_clock::now();
    Member.seal(SealRequest(), 200ms,
                [&](auto Reply) { Received.put(std::move(Reply)); });
    Peer.acceptOne();
    Peer.sendSettings();
    const auto Items = Received.wait(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Items.size());
    CPPUNIT_ASSERT(!Items[0].has_value());
    CPPUNIT_ASSERT_EQUAL(name(FailureKind::Unknown),
                         name(Items[0].error().Kind));
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - Start < 1s);
  }

  void noUnaryCallbackRunsAfterTheEndpointIsDestroyed() {
    RawPeer Peer(true);
    Inbox<SealReply> Received;
    {
      TestEndpoint Member(Peer.address());
      Member.seal(SealRequest(), 200ms,
                  [&](auto Reply) { Received.put(std::move(Reply)); });
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), Received.wait(1, 400ms).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GrpcEndpointTest);

} // namespace
} // namespace borageridge::endpoint
