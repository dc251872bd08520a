#include "Options.h"

#include <exception>
#include <iostream>

int main(int ArgumentCount, char **Arguments) {
  using namespace borageridge::load;
  try {
    Options Chosen;
    if (const auto Code = parseOptions(ArgumentCount, Arguments, Chosen))
      return *Code;
    if (!Chosen.Admin.empty())
      return adminMode(Chosen);
    if (Chosen.IdleSessions > 0)
      return idleMode(Chosen);
    return Chosen.Probe ? probeMode(Chosen) : runMode(Chosen);
  } catch (const std::exception &Error) {
    std::cerr << "borageridge-load: " << Error.what() << '\n';
    return ExitFailure;
  }
}
