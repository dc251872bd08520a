#include "control.grpc.pb.h"

#include <CLI/CLI.hpp>
#include <google/protobuf/util/json_util.h>
#include <grpcpp/grpcpp.h>

#include <chrono>
#include <exception>
#include <iostream>
#include <string>

namespace borageridge {
namespace {

constexpr std::chrono::seconds CallTimeout{5};

struct Options {
  std::string Address;
  std::string Faults;
};

int fail(const std::string &What) {
  std::cerr << "standin-control: " << What << '\n';
  return 1;
}

grpc::Status call(const Options &O, const control::Faults &Faults,
                  control::Counters &Counters) {
  const auto Stub = control::ControlService::NewStub(
      grpc::CreateChannel(O.Address, grpc::InsecureChannelCredentials()));
  grpc::ClientContext Context;
  Context.set_deadline(std::chrono::system_clock::now() + CallTimeout);
  if (O.Faults.empty())
    return Stub->Read(&Context, control::ReadRequest(), &Counters);
  return Stub->SetFaults(&Context, Faults, &Counters);
}

int run(const Options &O) {
  control::Faults Faults;
  const auto Parsed =
      google::protobuf::util::JsonStringToMessage(O.Faults, &Faults);
  if (!O.Faults.empty() && !Parsed.ok())
    return fail(std::string(Parsed.message()));
  control::Counters Counters;
  const grpc::Status Status = call(O, Faults, Counters);
  if (!Status.ok())
    return fail(O.Address + ": " + Status.error_message());
  for (const auto &[Name, Value] : Counters.counters())
    std::cout << Name << ' ' << Value << '\n';
  return 0;
}

int parseAndRun(int ArgumentCount, char **Arguments) {
  Options O;
  CLI::App App("Sets fault switches of a stand-in and prints its counters");
  App.add_option("address", O.Address, "IP:port of the fault control")
      ->required();
  App.add_option("faults", O.Faults,
                 "Message Faults of control.proto as JSON, for example "
                 "'{\"cut_off\":true}'; only reads the counters if absent");
  CLI11_PARSE(App, ArgumentCount, Arguments);
  return run(O);
}

} // namespace
} // namespace borageridge

int main(int ArgumentCount, char **Arguments) {
  try {
    return borageridge::parseAndRun(ArgumentCount, Arguments);
  } catch (const std::exception &Error) {
    std::cerr << "standin-control: " << Error.what() << '\n';
    return 1;
  }
}
