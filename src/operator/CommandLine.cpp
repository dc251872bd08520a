#include "operator/CommandLine.h"

#include "operator/Credentials.h"
#include "operator/GroupCommands.h"
#include "operator/ProxyCommands.h"
#include "operator/RequestCommands.h"
#include "operator/TableCommands.h"

#include <CLI/CLI.hpp>

#include <functional>
#include <optional>
#include <sstream>

namespace borageridge::operators {
namespace {

constexpr char ExitCodes[] =
    "Exit codes: 0 ok, 1 failure, 2 usage, 3 conflict, 4 invalid input, "
    "5 unreachable (nothing was changed), 6 not found, 7 the request did not "
    "run, 8 outcome unknown";

// Planned changes wait for running requests, so they get more time.
constexpr std::uint32_t DefaultTimeoutMs = 2000;
constexpr std::uint32_t ChangeTimeoutMs = 15000;

struct Options {
  std::vector<std::string> Stores;
  std::string Prefix = "/borageridge/";
  std::vector<std::string> Admins;
  std::string AdminFile;
  OutputFormat Format = OutputFormat::Text;
  TlsFiles Tls;
  std::uint32_t TimeoutMs = 0;

  std::string File;
  std::optional<std::uint64_t> Version;
  TableApply Apply;
  std::uint64_t HistoryLimit = 20;
  GroupInit Init;
  std::string Database;
  std::string Preferred;
  RequestLookUp LookUp;
};

// Addresses one a line; empty lines and lines that start with # are skipped.
Expected<std::vector<std::string>> readAddresses(const std::string &File) {
  const auto Text = readFile(File);
  if (!Text.has_value())
    return Text.error();
  std::vector<std::string> Addresses;
  std::istringstream Lines(Text.value());
  for (std::string Line; std::getline(Lines, Line);) {
    while (!Line.empty() && (Line.back() == '\r' || Line.back() == ' '))
      Line.pop_back();
    if (!Line.empty() && Line.front() != '#')
      Addresses.push_back(Line);
  }
  return Addresses;
}

class CommandLine {
public:
  CommandLine(std::ostream &Results, std::ostream &NoteStream)
      : Out(Results, NoteStream), ResultStream(Results), Notes(NoteStream),
        App("Operates borageridge proxies", "borageridgectl") {
    App.require_subcommand(1);
    App.fallthrough();
    App.footer(ExitCodes);
    addGlobalOptions();
    addTableCommands();
    addStatus();
    addGroupCommands();
    addProxyCommands();
    addRequestCommands();
  }

  ExitCode run(std::vector<std::string> Arguments) {
    std::reverse(Arguments.begin(), Arguments.end());
    try {
      App.parse(std::move(Arguments));
    } catch (const CLI::ParseError &Error) {
      const int Code = App.exit(Error, ResultStream, Notes);
      return Code == 0 ? ExitCode::Ok : ExitCode::Usage;
    }
    Out.Format = O.Format;
    return Action ? Action() : ExitCode::Usage;
  }

private:
  void addGlobalOptions() {
    App.add_option("--store", O.Stores, "IP:port of a store; repeatable")
        ->type_name("ADDRESS")
        ->allow_extra_args(false);
    App.add_option("--prefix", O.Prefix, "Prefix of the keys in the store")
        ->capture_default_str();
    App.add_option("--admin", O.Admins,
                   "Administration IP:port of a proxy; repeatable")
        ->type_name("ADDRESS")
        ->allow_extra_args(false);
    App.add_option("--admin-file", O.AdminFile,
                   "File with administration addresses, one a line");
    const std::map<std::string, OutputFormat> Formats = {
        {"text", OutputFormat::Text}, {"json", OutputFormat::Json}};
    App.add_option("--output", O.Format, "text, or json: one object a line")
        ->transform(CLI::CheckedTransformer(Formats))
        ->option_text("text|json");
    App.add_option("--certificate-file", O.Tls.Certificate,
                   "PEM certificate of the operator; switches TLS on");
    App.add_option("--key-file", O.Tls.Key, "PEM key of the certificate");
    App.add_option("--authority-file", O.Tls.Authority,
                   "PEM authority of the servers; switches TLS on");
    App.add_option("--timeout-ms", O.TimeoutMs,
                   "Bound of each call; 2000, for change-primary 15000")
        ->check(CLI::Range(1, 600000));
  }

  CLI::App *command(CLI::App *Parent, const char *Name, const char *Help,
                    std::function<ExitCode()> Run) {
    CLI::App *Command = Parent->add_subcommand(Name, Help);
    Command->callback([this, Run = std::move(Run)] { Action = Run; });
    return Command;
  }

  CLI::App *family(const char *Name, const char *Help) {
    CLI::App *Family = App.add_subcommand(Name, Help);
    Family->require_subcommand(1);
    return Family;
  }

  void addTableCommands() {
    CLI::App *Table = family("table", "The table of weights and limits");
    const auto File = [](CLI::App *Command, std::string &Into) {
      Command->add_option("FILE", Into, "Table in TOML")->required();
    };
    File(command(Table, "validate", "Checks a file without the store",
                 [this] { return tableValidate(Out, O.File); }),
         O.File);
    command(Table, "show", "Prints the text of the current or another version",
            [this] {
              return withStore([this](StoreClient &Store) {
                return tableShow(Out, Store, O.Version);
              });
            })
        ->add_option("--version", O.Version, "Version to print");
    File(command(Table, "diff", "Prints what applying a file would change",
                 [this] {
                   return withStore([this](StoreClient &Store) {
                     return tableDiff(Out, Store, O.File);
                   });
                 }),
         O.File);
    CLI::App *Apply =
        command(Table, "apply", "Makes a file the current table", [this] {
          return withStore([this](StoreClient &Store) {
            return tableApply(Out, Store, O.Apply);
          });
        });
    File(Apply, O.Apply.File);
    Apply
        ->add_option("--base", O.Apply.Base,
                     "Version that the file was edited from; 0 for the first")
        ->required();
    Apply->add_option("--author", O.Apply.Author, "Name of the operator")
        ->required();
    command(Table, "history", "Prints versions, newest first",
            [this] {
              return withStore([this](StoreClient &Store) {
                return tableHistory(Out, Store, O.HistoryLimit);
              });
            })
        ->add_option("--limit", O.HistoryLimit, "Largest number of versions")
        ->capture_default_str();
  }

  void addStatus() {
    command(&App, "status",
            "Prints the table version in force at each proxy and whether it "
            "is confirmed to be recent",
            [this] {
              return withAdmins(DefaultTimeoutMs, [this](const auto &Targets) {
                return status(Out, Targets);
              });
            });
  }

  void addGroupCommands() {
    CLI::App *Group = family("group", "Database groups");
    CLI::App *Init =
        command(Group, "init", "Writes the first record of a group", [this] {
          return withStore([this](StoreClient &Store) {
            return groupInit(Out, Store, O.Init);
          });
        });
    Init->add_option("DATABASE", O.Init.Database)->required();
    Init->add_option("--member", O.Init.Members, "A member; repeatable")
        ->type_name("NAME=ADDRESS@ZONE")
        ->allow_extra_args(false)
        ->required();
    Init->add_option("--primary", O.Init.Primary, "Name of the first primary")
        ->required();
    command(Group, "show", "Prints record and members as proxies see them",
            [this] {
              return withAdmins(DefaultTimeoutMs, [this](const auto &Targets) {
                return groupShow(Out, Targets, O.Database);
              });
            })
        ->add_option("DATABASE", O.Database);
    CLI::App *Change = command(
        Group, "change-primary", "Starts a planned change and waits", [this] {
          return withAdmins(ChangeTimeoutMs, [this](const auto &Targets) {
            return groupChangePrimary(Out, Targets, O.Database, O.Preferred);
          });
        });
    Change->add_option("DATABASE", O.Database)->required();
    Change->add_option("--to", O.Preferred, "Name of the new primary");
  }

  void addProxyCommands() {
    CLI::App *Proxy = family("proxy", "Single proxies");
    command(Proxy, "drain",
            "Lets one proxy finish its requests and end; returns at once",
            [this] {
              return withAdmins(DefaultTimeoutMs, [this](const auto &Targets) {
                return drain(Out, Targets);
              });
            });
  }

  void addRequestCommands() {
    CLI::App *Request = family("request", "Requests of callers");
    CLI::App *LookUp =
        command(Request, "lookup",
                "Settles the outcome of a request id: ran or not_run",
                [this] { return lookUp(); });
    LookUp->add_option("DATABASE", O.LookUp.Database)->required();
    LookUp->add_option("ID", O.LookUp.RequestId)->required();
    LookUp
        ->add_option("--caller-address", O.LookUp.CallerAddress,
                     "IP:port at which a proxy serves callers")
        ->required();
    LookUp->add_option("--caller", O.LookUp.Caller, "The request's caller")
        ->required();
    LookUp
        ->add_option("--secret-file", O.LookUp.SecretFile,
                     "File with the caller's secret")
        ->required();
  }

  Duration timeout(std::uint32_t DefaultMs) const {
    return std::chrono::milliseconds(O.TimeoutMs > 0 ? O.TimeoutMs : DefaultMs);
  }

  ExitCode usage(const char *Needed) {
    Out.note(std::string("this command needs ") + Needed);
    return ExitCode::Usage;
  }

  template <typename Command> ExitCode withStore(Command Run) {
    if (O.Stores.empty())
      return usage("--store");
    auto Credentials = channelCredentials(O.Tls);
    if (!Credentials.has_value())
      return Out.fail("TLS", Credentials.error());
    store::EtcdStoreOptions StoreOptions;
    StoreOptions.Addresses = O.Stores;
    StoreOptions.Prefix = O.Prefix;
    StoreOptions.Credentials = Credentials.value();
    StoreClient Client(std::move(StoreOptions), timeout(DefaultTimeoutMs));
    return Run(Client);
  }

  template <typename Command>
  ExitCode withAdmins(std::uint32_t DefaultMs, Command Run) {
    AdminTargets Targets;
    Targets.Addresses = O.Admins;
    if (!O.AdminFile.empty()) {
      const auto More = readAddresses(O.AdminFile);
      if (!More.has_value())
        return Out.fail("--admin-file", More.error());
      Targets.Addresses.insert(Targets.Addresses.end(), More.value().begin(),
                               More.value().end());
    }
    if (Targets.Addresses.empty())
      return usage("--admin or --admin-file");
    auto Credentials = channelCredentials(O.Tls);
    if (!Credentials.has_value())
      return Out.fail("TLS", Credentials.error());
    Targets.Credentials = Credentials.value();
    Targets.Timeout = timeout(DefaultMs);
    return Run(Targets);
  }

  ExitCode lookUp() {
    auto Credentials = channelCredentials(O.Tls);
    if (!Credentials.has_value())
      return Out.fail("TLS", Credentials.error());
    O.LookUp.Credentials = Credentials.value();
    O.LookUp.Timeout = timeout(DefaultTimeoutMs);
    return requestLookUp(Out, O.LookUp);
  }

  Console Out;
  std::ostream &ResultStream;
  std::ostream &Notes;
  CLI::App App;
  Options O;
  std::function<ExitCode()> Action;
};

} // namespace

ExitCode runCommandLine(const std::vector<std::string> &Arguments,
                        std::ostream &Results, std::ostream &Notes) {
  return CommandLine(Results, Notes).run(Arguments);
}

} // namespace borageridge::operators
