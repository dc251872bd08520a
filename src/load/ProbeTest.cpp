#include "load/Probe.h"

#include "endpoint.grpc.pb.h"
#include "load/FakeCallerService.h"

#include <cppunit/extensions/HelperMacros.h>
#include <grpcpp/grpcpp.h>

#include <chrono>
#include <memory>
#include <string>

namespace borageridge::load {
namespace {

/// Answers every request at once, or refuses the connection.
class FakeEndpoint final : public endpoint::EndpointService::Service {
public:
  explicit FakeEndpoint(bool Refuse) : Refuses(Refuse) {
    grpc::ServerBuilder Builder;
    Builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(),
                             &Port);
    Builder.RegisterService(this);
    Server = Builder.BuildAndStart();
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(Port); }

  grpc::Status Connect(
      grpc::ServerContext *,
      grpc::ServerReaderWriter<endpoint::ConnectionReply,
                               endpoint::ConnectionRequest> *Stream) override {
    endpoint::ConnectionRequest Request;
    endpoint::ConnectionReply Reply;
    if (Refuses) {
      Reply.set_error(endpoint::ENDPOINT_ERROR_TOO_MANY_CONNECTIONS);
      Stream->Write(Reply);
      return grpc::Status::OK;
    }
    while (Stream->Read(&Request)) {
      Reply.set_sequence(Request.sequence());
      Stream->Write(Reply);
    }
    return grpc::Status::OK;
  }

private:
  const bool Refuses;
  int Port = 0;
  std::unique_ptr<grpc::Server> Server;
};

ProbeSpec specFor(const std::string &Address) {
  ProbeSpec Spec;
  Spec.Address = Address;
  Spec.Connections = 4;
  Spec.Length = std::chrono::milliseconds(200);
  return Spec;
}

class ProbeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProbeTest);
  CPPUNIT_TEST(readsDirectlyWithOneOpenWriteForEachConnection);
  CPPUNIT_TEST(countsARefusedConnectionAsAFailure);
  CPPUNIT_TEST(readsThroughAProxy);
  CPPUNIT_TEST_SUITE_END();

  // gRPC ends the process if a second write is started before the first is
  // reported as done, which happens when an answer overtakes the report.
  void readsDirectlyWithOneOpenWriteForEachConnection() {
    const FakeEndpoint Endpoint(false);
    const ProbeResult R = probeEndpoint(specFor(Endpoint.address()), {});
    CPPUNIT_ASSERT(R.Latency.count() > 20);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, R.Failures);
  }

  // Without this a probe that measured nothing would report a median of 0.
  void countsARefusedConnectionAsAFailure() {
    const FakeEndpoint Endpoint(true);
    const ProbeResult R = probeEndpoint(specFor(Endpoint.address()), {});
    CPPUNIT_ASSERT(R.Failures >= 4);
  }

  void readsThroughAProxy() {
    FakeCallerService Service;
    const FakeProxy Proxy(Service);
    const ProbeResult R = probeProxy(specFor(Proxy.address()), {});
    CPPUNIT_ASSERT(R.Latency.count() > 20);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, R.Failures);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProbeTest);

} // namespace
} // namespace borageridge::load
