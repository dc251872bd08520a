#ifndef BORAGERIDGE_PROXY_DAEMON_H
#define BORAGERIDGE_PROXY_DAEMON_H

#include "borageridge/Failure.h"
#include "settings/Callers.h"
#include "settings/Settings.h"

#include <memory>
#include <string>

namespace borageridge::proxy {

/// What a daemon is made from; all checked.
struct DaemonConfiguration {
  settings::ProxySettings Settings;
  settings::CallerDirectory Callers;
  std::string TokenKey;
};

/// One proxy process: servers, control loop, groups.
class Daemon {
public:
  explicit Daemon(DaemonConfiguration Configuration);
  ~Daemon();
  Daemon(const Daemon &) = delete;
  Daemon &operator=(const Daemon &) = delete;

  /// Opens all addresses. Unavailable if one cannot be listened on.
  Expected<void> start();

  /// Serves until requestStop() and until what is in flight has ended or the
  /// drain timeout has passed. Returns the requests that were cut off.
  std::size_t run();

  /// Starts the shutdown; safe in any thread, but not in a signal handler.
  void requestStop(std::string_view Cause);

private:
  class Parts;
  std::unique_ptr<Parts> Own;
};

} // namespace borageridge::proxy

#endif // BORAGERIDGE_PROXY_DAEMON_H
