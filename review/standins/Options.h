#ifndef BORAGERIDGE_REVIEW_OPTIONS_H
#define BORAGERIDGE_REVIEW_OPTIONS_H

#include <cstdlib>
#include <string>

#include <unistd.h>

namespace review {

// Exit codes of a case.
constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CannotRun = 2;

/// Whether the disruption takes place.
inline bool hasTrouble() {
  const char *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

/// The first three numbers of loopback addresses that no other run uses.
inline std::string subnet() {
  const auto Process = static_cast<unsigned>(getpid());
  return "127." + std::to_string(64 + Process / 250 % 128) + "." +
         std::to_string(1 + Process % 250);
}

} // namespace review

#endif // BORAGERIDGE_REVIEW_OPTIONS_H
