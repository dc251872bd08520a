#include "database/DatabaseServer.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace borageridge::database {
namespace {

struct Files {
  std::string Certificate;
  std::string Key;
  std::string Authority;
};

std::string readFile(const std::string &Path) {
  const std::ifstream In(Path);
  std::ostringstream Out;
  Out << In.rdbuf();
  return Out.str();
}

ServerSecurity loadSecurity(const Files &Paths) {
  if (Paths.Certificate.empty())
    return {};
  const std::string Key = readFile(Paths.Key);
  const std::string Certificate = readFile(Paths.Certificate);
  const std::string Authority = readFile(Paths.Authority);
  grpc::SslServerCredentialsOptions Server(
      GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
  Server.pem_root_certs = Authority;
  Server.pem_key_cert_pairs.push_back({Key, Certificate});
  grpc::SslCredentialsOptions Client;
  Client.pem_root_certs = Authority;
  Client.pem_private_key = Key;
  Client.pem_cert_chain = Certificate;
  return {grpc::SslServerCredentials(Server), grpc::SslCredentials(Client)};
}

void addSecurityOptions(CLI::App &App, Files &Paths) {
  auto *const Certificate =
      App.add_option("--certificate-file", Paths.Certificate,
                     "PEM certificate; plaintext if absent")
          ->check(CLI::ExistingFile);
  auto *const Key = App.add_option("--key-file", Paths.Key, "PEM key")
                        ->check(CLI::ExistingFile);
  auto *const Authority =
      App.add_option("--authority-file", Paths.Authority,
                     "PEM certificate of the authority of both sides")
          ->check(CLI::ExistingFile);
  Certificate->needs(Key)->needs(Authority);
  Key->needs(Certificate);
  Authority->needs(Certificate);
}

void addOptions(CLI::App &App, ServerOptions &Options,
                ServerAddresses &Addresses) {
  App.add_option("--name", Options.Name, "Name in the output")->required();
  App.add_option("--listen", Addresses.Listen, "IP:port")->required();
  App.add_option("--control", Addresses.Control, "IP:port of the fault control")
      ->required();
  App.add_option("--data-directory", Options.Storage.Directory)->required();
  App.add_option("--connection-limit", Options.ConnectionLimit)
      ->capture_default_str();
  App.add_option("--slots", Options.Storage.Slots,
                 "Statements that run at the same time")
      ->check(CLI::Range(1, 256))
      ->capture_default_str();
  App.add_option("--request-retention", Options.Storage.RequestRetention,
                 "Number of request records kept")
      ->check(CLI::PositiveNumber)
      ->capture_default_str();
}

int run(const ServerOptions &Options, const ServerAddresses &Addresses,
        const ServerSecurity &Security) {
  // Blocked before any thread starts, so that only sigwait sees them.
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  const auto Server = DatabaseServer::start(Options, Addresses, Security);
  if (!Server) {
    std::cerr << "cannot listen on " << Addresses.Listen << " or "
              << Addresses.Control << '\n';
    return 1;
  }
  std::cout << R"({"event":"listening","name":")" << Options.Name
            << R"(","port":)" << Server->port() << R"(,"control_port":)"
            << Server->controlPort() << "}" << std::endl;
  int Signal = 0;
  sigwait(&Signals, &Signal);
  return 0;
}

int parseAndRun(int ArgumentCount, char **Arguments) {
  ServerOptions Options;
  ServerAddresses Addresses;
  Files Paths;
  int OpenDelayMs = 10;
  int TransactionTimeoutMs = 5000;
  CLI::App App("Database member over SQLite for tests and trials");
  addOptions(App, Options, Addresses);
  addSecurityOptions(App, Paths);
  App.add_option("--open-delay-ms", OpenDelayMs)->capture_default_str();
  App.add_option("--transaction-timeout-ms", TransactionTimeoutMs)
      ->capture_default_str();
  CLI11_PARSE(App, ArgumentCount, Arguments);
  Options.OpenDelay = std::chrono::milliseconds(OpenDelayMs);
  Options.Storage.TransactionTimeout =
      std::chrono::milliseconds(TransactionTimeoutMs);
  return run(Options, Addresses, loadSecurity(Paths));
}

} // namespace
} // namespace borageridge::database

int main(int ArgumentCount, char **Arguments) {
  try {
    return borageridge::database::parseAndRun(ArgumentCount, Arguments);
  } catch (const std::exception &Error) {
    // Thrown by the standard library, for example for a directory that cannot
    // be created.
    std::cerr << Error.what() << '\n';
    return 1;
  }
}
