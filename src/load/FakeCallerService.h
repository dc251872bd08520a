#ifndef BORAGERIDGE_LOAD_FAKECALLERSERVICE_H
#define BORAGERIDGE_LOAD_FAKECALLERSERVICE_H

#include "caller.grpc.pb.h"

#include <grpcpp/grpcpp.h>
#include <sqlite3.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace borageridge::load {

/// Faults that the fake shows; a period of 0 means never, n every n-th write.
struct FakeFaults {
  /// The write takes effect and its answer is lost.
  std::uint32_t LoseAnswerPeriod = 0;
  /// The write takes no effect and the connection fails.
  std::uint32_t DropPeriod = 0;
  /// The write is acknowledged without effect, which is wrong.
  std::uint32_t ForgetPeriod = 0;
  /// Request ids are ignored, which is wrong.
  bool RunEveryTry = false;
  std::chrono::milliseconds Delay{0};
};

/// Answers like a proxy in front of one SQLite database in memory. Several
/// servers may share one object and then behave like proxies of one group.
class FakeCallerService final : public caller::CallerService::Service {
public:
  explicit FakeCallerService(FakeFaults F = {}) : Faults(F) {
    sqlite3_open(":memory:", &Database);
  }
  ~FakeCallerService() override { sqlite3_close(Database); }
  FakeCallerService(const FakeCallerService &) = delete;
  FakeCallerService &operator=(const FakeCallerService &) = delete;

  grpc::Status Execute(grpc::ServerContext *,
                       const caller::ExecuteRequest *Request,
                       caller::ExecuteReply *Reply) override {
    std::this_thread::sleep_for(Faults.Delay);
    const std::scoped_lock Guard(Lock);
    grpc::Status Lost(grpc::StatusCode::UNAVAILABLE, "lost");
    const bool Write = !Request->request_id().empty();
    Writes += Write ? 1 : 0;
    if (Write && every(Faults.DropPeriod))
      return Lost;
    run(*Request, *Reply);
    return Write && every(Faults.LoseAnswerPeriod) ? Lost : grpc::Status::OK;
  }

  grpc::Status LookUp(grpc::ServerContext *,
                      const caller::LookUpRequest *Request,
                      caller::LookUpReply *Reply) override {
    const std::scoped_lock Guard(Lock);
    const auto [Found, Added] = Records.try_emplace(Request->request_id());
    if (Added)
      Found->second.mutable_refusal()->set_reason(
          caller::REFUSAL_REASON_SETTLED);
    Reply->set_outcome(Found->second.has_refusal() ? caller::OUTCOME_NOT_RUN
                                                   : caller::OUTCOME_RAN);
    ++LookUps;
    return grpc::Status::OK;
  }

  std::uint64_t lookUps() {
    const std::scoped_lock Guard(Lock);
    return LookUps;
  }

private:
  bool every(std::uint32_t Period) const {
    return Period > 0 && Writes % Period == 0;
  }

  void run(const caller::ExecuteRequest &Request, caller::ExecuteReply &Reply) {
    const std::string &Id = Request.request_id();
    const auto Found = Records.find(Id);
    if (!Id.empty() && !Faults.RunEveryTry && Found != Records.end()) {
      Reply = Found->second;
      Reply.set_replayed(true);
      if (Reply.has_refusal())
        Reply.mutable_refusal()->set_execution(caller::EXECUTION_NOT_RUN);
      return;
    }
    const bool Forget = !Id.empty() && every(Faults.ForgetPeriod);
    for (const auto &Statement : Request.statements())
      if (!Forget || Statement.text().rfind("SELECT", 0) == 0)
        runStatement(Statement, *Reply.add_results());
    Reply.mutable_served_by()->set_term(1);
    Reply.set_session_token("token");
    if (!Id.empty())
      Records[Id] = Reply;
  }

  void runStatement(const caller::Statement &Source, caller::ResultSet &Out) {
    sqlite3_stmt *Statement = nullptr;
    sqlite3_prepare_v2(Database, Source.text().c_str(), -1, &Statement,
                       nullptr);
    int Index = 0;
    for (const auto &P : Source.parameters())
      if (++Index; P.has_text())
        sqlite3_bind_text(Statement, Index, P.text().c_str(), -1,
                          SQLITE_TRANSIENT);
      else
        sqlite3_bind_int64(Statement, Index, P.integer());
    while (sqlite3_step(Statement) == SQLITE_ROW)
      readRow(Statement, *Out.add_rows());
    sqlite3_finalize(Statement);
  }

  static void readRow(sqlite3_stmt *Statement, caller::Row &Out) {
    for (int I = 0; I < sqlite3_column_count(Statement); ++I)
      if (sqlite3_column_type(Statement, I) == SQLITE_TEXT)
        Out.add_values()->set_text(
            reinterpret_cast<const char *>(sqlite3_column_text(Statement, I)));
      else
        Out.add_values()->set_integer(sqlite3_column_int64(Statement, I));
  }

  const FakeFaults Faults;
  std::mutex Lock;
  sqlite3 *Database = nullptr;
  std::map<std::string, caller::ExecuteReply> Records;
  std::uint64_t Writes = 0;
  std::uint64_t LookUps = 0;
};

/// One listening server of a fake service.
class FakeProxy {
public:
  explicit FakeProxy(FakeCallerService &Service) {
    grpc::ServerBuilder Builder;
    Builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(),
                             &Port);
    Builder.RegisterService(&Service);
    Server = Builder.BuildAndStart();
  }

  std::string address() const { return "127.0.0.1:" + std::to_string(Port); }

private:
  int Port = 0;
  std::unique_ptr<grpc::Server> Server;
};

} // namespace borageridge::load

#endif // BORAGERIDGE_LOAD_FAKECALLERSERVICE_H
