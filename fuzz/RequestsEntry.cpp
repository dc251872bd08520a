#include "FuzzEntry.h"

#include "session/TermHistory.h"

#include "admin.pb.h"
#include "caller.pb.h"
#include "endpoint.pb.h"
#include "peer.pb.h"
#include "record.pb.h"

#include <google/protobuf/stubs/logging.h>

#include <algorithm>
#include <array>

namespace borageridge::fuzz {
namespace {

caller::ExecuteRequest executeRequest() {
  caller::ExecuteRequest Request;
  Request.set_database("ledger-1");
  Request.set_kind(caller::STATEMENT_KIND_WRITE);
  Request.set_request_id("order-1");
  Request.set_request_class("order");
  Request.set_accepted_age_ms(1000);
  Request.set_session_token("token");
  caller::Statement *Statement = Request.add_statements();
  Statement->set_text("insert into orders values (?, ?)");
  Statement->add_parameters()->set_integer(1);
  Statement->add_parameters()->set_text("stone");
  return Request;
}

caller::TransactRequest transactRequest() {
  caller::TransactRequest Request;
  Request.mutable_begin()->set_database("ledger-1");
  Request.mutable_begin()->set_request_id("order-1");
  return Request;
}

record::GroupRecord groupRecord() {
  record::GroupRecord Record;
  Record.set_database("ledger-1");
  for (std::uint64_t Number = 1; Number <= 4; ++Number) {
    record::TermStart *Start = Record.add_history();
    Start->set_term(Number);
    Start->set_start_index((Number - 1) * 10);
    Start->set_start_entry_term(Number - 1);
  }
  return Record;
}

peer::ExchangeRequest exchangeRequest() {
  peer::ExchangeRequest Request;
  Request.set_instance("proxy-1");
  Request.add_groups()->set_database("ledger-1");
  Request.add_evidence()->set_member("m1");
  return Request;
}

// A message that parses gives the same bytes each time it is written.
template <typename Message> bool reads(std::string_view Input) {
  Message Parsed;
  if (!Parsed.ParseFromArray(Input.data(), static_cast<int>(Input.size())))
    return false;
  Message Again;
  const std::string Written = Parsed.SerializeAsString();
  check(Again.ParseFromString(Written), "a written message does not parse");
  check(Again.SerializeAsString() == Written,
        "a message changes when it is written twice");
  return true;
}

// Any record, also one that contradicts itself, gives answers that agree.
void checkHistory(std::string_view Input) {
  record::GroupRecord Record;
  if (!Record.ParseFromArray(Input.data(), static_cast<int>(Input.size())))
    return;
  const auto History = session::TermHistory::fromRecord(Record);
  check(History.contains({0, 0}), "the empty log is not contained");
  check(!History.contains({History.newestTerm() + 1, 1}) ||
            History.newestTerm() + 1 == 0,
        "an unknown term is contained");
  for (Term Number = 0; Number < 8; ++Number)
    for (const LogIndex Index : {0, 1, 9, 10, 11, 35, 1000})
      check(!History.reached({Number, Index}, 1000) ||
                History.contains({Number, Index}),
            "a member holds what the log does not contain");
}

} // namespace

std::vector<std::string> seeds() {
  return {executeRequest().SerializeAsString(),
          transactRequest().SerializeAsString(),
          groupRecord().SerializeAsString(),
          exchangeRequest().SerializeAsString()};
}

std::string decode(std::string_view Input) {
  // The library prints a line for each text that is not UTF-8.
  const google::protobuf::LogSilencer Silence;
  const std::array Read{reads<caller::ExecuteRequest>(Input),
                        reads<caller::TransactRequest>(Input),
                        reads<caller::LookUpRequest>(Input),
                        reads<endpoint::ConnectionReply>(Input),
                        reads<endpoint::MemberStatus>(Input),
                        reads<peer::ExchangeRequest>(Input),
                        reads<peer::ExchangeReply>(Input),
                        reads<admin::ChangePrimaryRequest>(Input),
                        reads<record::TableRecord>(Input),
                        reads<record::GroupRecord>(Input)};
  checkHistory(Input);
  const bool Any = std::ranges::find(Read, true) != Read.end();
  return Any ? "accepted" : "corrupt";
}

} // namespace borageridge::fuzz
