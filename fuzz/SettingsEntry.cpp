#include "FuzzEntry.h"

#include "settings/Address.h"
#include "settings/Settings.h"
#include "settings/TestSettings.h"

#include <algorithm>

namespace borageridge::fuzz {

std::vector<std::string> seeds() {
  return {std::string(settings::CompleteSettings)};
}

std::string decode(std::string_view Input) {
  const auto Lines =
      static_cast<std::uint32_t>(std::ranges::count(Input, '\n')) + 1;
  const auto Parsed = settings::parse(Input, "proxy.toml");
  if (!Parsed.has_value()) {
    check(Parsed.error().File == "proxy.toml", "an error without its file");
    check(Parsed.error().Line <= Lines, "an error beyond the last line");
    return std::string(name(Parsed.error().Why));
  }
  const settings::ProxySettings &Settings = Parsed.value();
  check(settings::isAddress(Settings.Instance.CallerAddress),
        "an address that is none");
  check(!Settings.Instance.Name.empty(), "an instance without a name");
  check(!Settings.Store.Addresses.empty(), "a store without an address");
  check(Settings.Failover.QuickSuspicion > Settings.Failover.PingInterval,
        "suspicion faster than pings");
  return "accepted";
}

} // namespace borageridge::fuzz
