#include "explain/Story.h"

#include <CLI/CLI.hpp>

#include <cstdio>
#include <exception>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

namespace {

constexpr int NothingFound = 1;
constexpr int BadUsage = 64;
constexpr int InternalError = 70;

int runProgram(int ArgumentCount, char **Arguments) {
  std::string Request;
  std::string Service;
  std::vector<std::string> Files;
  CLI::App App("Tells from the logs of entry daemons what happened to a "
               "request or a service");
  auto *Subject = App.add_option_group("subject")->require_option(1);
  Subject->add_option("--request", Request, "Id of a request");
  Subject->add_option("--service", Service, "Name of a service");
  App.add_option("files", Files, "Log files; standard input if none");
  try {
    App.parse(ArgumentCount, Arguments);
  } catch (const CLI::ParseError &Error) {
    return App.exit(Error) == 0 ? 0 : BadUsage;
  }
  borageridge::explain::Story Logs;
  if (Files.empty())
    Logs.read(std::cin);
  for (const std::string &File : Files) {
    std::ifstream In(File);
    if (!In) {
      std::cerr << File << ": cannot be read\n";
      return BadUsage;
    }
    Logs.read(In);
  }
  const auto Told =
      Request.empty() ? Logs.ofService(Service) : Logs.ofRequest(Request);
  for (const auto &Line : Told)
    std::cout << borageridge::explain::format(Line) << '\n';
  return Told.empty() ? NothingFound : 0;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  try {
    return runProgram(ArgumentCount, Arguments);
  } catch (const std::exception &Why) {
    std::fprintf(stderr, "borageridge-explain: %s\n", Why.what());
    return InternalError;
  }
}
