#include "FuzzEntry.h"

#include "settings/Callers.h"

#include <algorithm>
#include <sstream>

namespace borageridge::fuzz {

std::vector<std::string> seeds() {
  return {R"([[caller]]
name = "counter"
secret = "0123456789abcdef"
[[caller]]
name = "dispatch"
certificate_name = "dispatch.example"
)"};
}

std::string decode(std::string_view Input) {
  const auto Lines =
      static_cast<std::uint32_t>(std::ranges::count(Input, '\n')) + 1;
  const auto Parsed = settings::CallerDirectory::parse(Input, "callers.toml");
  if (!Parsed.has_value()) {
    check(Parsed.error().Line <= Lines, "an error beyond the last line");
    std::ostringstream Printed;
    Printed << Parsed.error();
    check(Printed.str().find("0123456789abcdef") == std::string::npos,
          "an error that contains a secret: " + Printed.str());
    return std::string(name(Parsed.error().Why));
  }
  check(Parsed.value().size() > 0, "a directory without callers");
  check(!Parsed.value().hasSecret("counter", ""), "an empty secret");
  check(!Parsed.value().hasSecret("", "0123456789abcdef"), "an empty name");
  return "accepted";
}

} // namespace borageridge::fuzz
