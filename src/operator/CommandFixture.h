#ifndef BORAGERIDGE_OPERATOR_COMMANDFIXTURE_H
#define BORAGERIDGE_OPERATOR_COMMANDFIXTURE_H

#include "operator/CommandLine.h"
#include "standins/support/ServerOptions.h"

#include "admin.grpc.pb.h"
#include "caller.grpc.pb.h"
#include "runtime/Clock.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

namespace borageridge::operators {

/// The result of one command.
struct Outcome {
  ExitCode Code = ExitCode::Ok;
  std::string Results;
  std::string Notes;
};

inline Outcome runCommand(const std::vector<std::string> &Arguments) {
  std::ostringstream Results;
  std::ostringstream Notes;
  Outcome Done;
  Done.Code = runCommandLine(Arguments, Results, Notes);
  Done.Results = Results.str();
  Done.Notes = Notes.str();
  return Done;
}

inline void assertCode(ExitCode Wanted, const Outcome &Done) {
  CPPUNIT_ASSERT_EQUAL_MESSAGE(Done.Results + Done.Notes,
                               static_cast<int>(Wanted),
                               static_cast<int>(Done.Code));
}

/// A file that is removed with the fixture.
class TemporaryFile {
public:
  explicit TemporaryFile(const std::string &Text) {
    char Name[] = "/tmp/borageridge-operator-XXXXXX";
    close(mkstemp(Name));
    Path = Name;
    write(Text);
  }
  ~TemporaryFile() { unlink(Path.c_str()); }
  TemporaryFile(const TemporaryFile &) = delete;
  TemporaryFile &operator=(const TemporaryFile &) = delete;

  void write(const std::string &Text) const { std::ofstream(Path) << Text; }

  std::string Path;
};

/// A proxy's services with fixed answers.
class FakeProxy : public admin::AdminService::Service,
                  public caller::CallerService::Service {
public:
  FakeProxy() {
    auto Started = standins::startServer(
        "127.0.0.1:0", grpc::InsecureServerCredentials(),
        {static_cast<admin::AdminService::Service *>(this),
         static_cast<caller::CallerService::Service *>(this)});
    CPPUNIT_ASSERT(Started.has_value());
    Running = std::move(Started).value();
  }
  ~FakeProxy() override { Running.Server->Shutdown(runtime::wallTime()); }
  FakeProxy(const FakeProxy &) = delete;
  FakeProxy &operator=(const FakeProxy &) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Running.Port);
  }

  grpc::Status Status(grpc::ServerContext *, const admin::StatusRequest *,
                      admin::StatusReply *Reply) override {
    *Reply = StatusAnswer;
    return grpc::Status::OK;
  }

  grpc::Status ChangePrimary(grpc::ServerContext *Context,
                             const admin::ChangePrimaryRequest *Request,
                             admin::ChangePrimaryReply *Reply) override {
    ++Changes;
    Preferred = Request->preferred_primary();
    while (Hang && !Context->IsCancelled())
      usleep(1000);
    *Reply = ChangeAnswer;
    return ChangeStatus;
  }

  grpc::Status Drain(grpc::ServerContext *, const admin::DrainRequest *,
                     admin::DrainReply *Reply) override {
    Reply->set_in_flight(3);
    return grpc::Status::OK;
  }

  grpc::Status LookUp(grpc::ServerContext *Context,
                      const caller::LookUpRequest *,
                      caller::LookUpReply *Reply) override {
    const auto &Metadata = Context->client_metadata();
    const auto Given = Metadata.find("authorization");
    const auto Name = Metadata.find("x-borageridge-caller");
    if (Given == Metadata.end() || Given->second != "Bearer secret" ||
        Name == Metadata.end() || Name->second != "counter")
      return {grpc::StatusCode::UNAUTHENTICATED, "unknown caller"};
    *Reply = LookUpAnswer;
    return grpc::Status::OK;
  }

  admin::StatusReply StatusAnswer;
  admin::ChangePrimaryReply ChangeAnswer;
  grpc::Status ChangeStatus;
  caller::LookUpReply LookUpAnswer;
  std::atomic<int> Changes = 0;
  std::atomic<bool> Hang = false;
  std::string Preferred;

private:
  standins::RunningServer Running;
};

/// A port of the loopback on which nothing listens.
constexpr char RefusedAddress[] = "127.0.0.1:1";

} // namespace borageridge::operators

#endif // BORAGERIDGE_OPERATOR_COMMANDFIXTURE_H
