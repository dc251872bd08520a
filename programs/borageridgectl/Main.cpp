#include "operator/CommandLine.h"

#include <cstdio>
#include <exception>
#include <iostream>

int main(int ArgumentCount, char **Arguments) {
  try {
    return static_cast<int>(borageridge::operators::runCommandLine(
        {Arguments + 1, Arguments + ArgumentCount}, std::cout, std::cerr));
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "borageridgectl: %s\n", Error.what());
    return 1;
  }
}
