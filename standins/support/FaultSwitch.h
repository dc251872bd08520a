#ifndef BORAGERIDGE_STANDINS_SUPPORT_FAULTSWITCH_H
#define BORAGERIDGE_STANDINS_SUPPORT_FAULTSWITCH_H

#include "control.pb.h"

#include <absl/random/random.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <string_view>

namespace borageridge::standins {

/// What happens to one call.
enum class CallFate {
  Answer,
  /// Fails at once with UNAVAILABLE and has no effect.
  Refuse,
  /// Has no effect and gets no answer.
  Drop
};

enum class CallEffect { None, ChangesState };

/// The faults of proto/control.proto and the counters of one stand-in.
/// Thread-safe.
class FaultSwitch {
public:
  /// Unset fields keep their present value.
  void set(const control::Faults &Change);

  /// Decides about one call from a peer and remembers the peer's connection.
  CallFate onCall(std::string_view Peer);
  /// Whether the answer to a call that was carried out gets lost.
  bool losesAnswer(CallEffect Effect);
  /// Whether a connection gets answers at present; for streams.
  bool isSilent(std::string_view Peer) const;
  bool isDown() const;
  std::chrono::milliseconds delay() const;
  std::chrono::milliseconds listLag() const;

  void count(const std::string &Counter);
  void setCounter(const std::string &Counter, std::uint64_t Value);
  control::Counters counters() const;

private:
  bool silentLocked(std::string_view Peer) const;

  mutable std::mutex Mutex;
  control::Faults Present;
  std::set<std::string, std::less<>> Peers;
  std::set<std::string, std::less<>> Silenced;
  std::map<std::string, std::uint64_t> Counters;
  absl::BitGen Random;
};

} // namespace borageridge::standins

#endif // BORAGERIDGE_STANDINS_SUPPORT_FAULTSWITCH_H
