#ifndef BORAGERIDGE_CHANGE_PROMOTIONCALLS_H
#define BORAGERIDGE_CHANGE_PROMOTIONCALLS_H

#include "borageridge/Types.h"
#include "cluster/Records.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace borageridge::change {

/// The calls for promotions of one service that may still take effect, now or
/// at any later time, as far as one coordinator knows.
class PromotionCalls {
public:
  /// Time after the last call for a member from which on no call for it is
  /// expected to take effect any more.
  static constexpr Duration Lifetime = std::chrono::minutes(10);

  PromotionCalls() = default;
  /// Continues from a record that another coordinator wrote: the members that
  /// it lists, and the candidate of a change in progress, are unsettled.
  PromotionCalls(const cluster::GroupRecord &Record, Time Now);

  /// A call is about to be sent.
  void add(const std::string &Member, Time Now);
  /// The last call for the member was certainly not executed and will not be.
  void removeLast(std::string_view Member);
  /// The member took over after the calls recorded here. Settles a single call;
  /// of several it is unknown which one took effect.
  void recordEffect(std::string_view Member);
  /// Calls that this coordinator does not know of may be under way for the
  /// member.
  void addUnknown(const std::string &Member, Time Now);

  /// Members whose promotion may still take effect, in order.
  std::vector<std::string> unsettled(Time Now) const;

private:
  struct State {
    std::size_t Open = 0;
    bool HasUnknown = false;
    Time LastCall;
  };

  std::map<std::string, State, std::less<>> ByMember;
};

} // namespace borageridge::change

#endif // BORAGERIDGE_CHANGE_PROMOTIONCALLS_H
