#ifndef BORAGERIDGE_INSTANCELIST_H
#define BORAGERIDGE_INSTANCELIST_H

#include "borageridge/Failure.h"
#include "borageridge/Types.h"

#include "instances.pb.h"

#include <functional>

namespace borageridge {

using ListCallback = std::function<void(Expected<instances::ListReply>)>;

/// The platform's list of live and leaving instances; it may be out of date.
/// The callback runs on a thread of the list and must not block.
template <typename L>
concept InstanceList = requires(L &List, Duration Timeout,
                                ListCallback OnList) {
  List.list(Timeout, OnList);
};

} // namespace borageridge

#endif // BORAGERIDGE_INSTANCELIST_H
