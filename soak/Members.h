#ifndef BORAGERIDGE_SOAK_MEMBERS_H
#define BORAGERIDGE_SOAK_MEMBERS_H

#include <standins/Group.h>
#include <standins/Link.h>

#include <array>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace soak {

using review::Clock;
using review::Milliseconds;

/// The members of one service, reached through links, whose entries are written
/// to the store as the state of each member demands. Thread-safe.
class Members {
public:
  static constexpr std::size_t Count = 3;

  Members(const std::string &Service, const std::string &Ip,
          review::Store &Registry, review::Record &Log);

  review::Group &group() { return *Group; }
  const std::string &service() const { return Service; }

  /// Whether the member announces that it leaves. One that no longer does has
  /// been replaced under the same id.
  void setLeaving(std::size_t Member, bool Leaving);
  /// While dark, a member neither answers nor writes its entry, and the
  /// platform does not promote it.
  void setDark(std::size_t Member, bool Dark);
  bool isDark(const std::string &Member);

private:
  struct State {
    std::unique_ptr<review::Link> Way;
    bool Leaving = false;
    bool Dark = false;
    int Replacements = 0;
    Clock::time_point LastWritten;
    std::string Written;
    bool Removed = false;
  };

  [[noreturn]] void publish();
  void publish(std::size_t Member, const std::string &Reported);

  std::string Service;
  std::string Ip;
  review::Store &Registry;
  /// Where the stand-ins of the members write their entries.
  review::Store Own;
  std::uint16_t OwnPort = 0;
  std::unique_ptr<review::Group> Group;
  std::mutex Lock;
  std::array<State, Count> States;
};

} // namespace soak

#endif // BORAGERIDGE_SOAK_MEMBERS_H
