#ifndef BORAGERIDGE_ENDPOINT_H
#define BORAGERIDGE_ENDPOINT_H

#include "borageridge/Failure.h"
#include "borageridge/Types.h"

#include "endpoint.pb.h"

#include <concepts>
#include <functional>
#include <memory>
#include <string_view>

namespace borageridge {

/// Receives each reply of a connection, or the failure that ended it. Not
/// called again after a failure.
using ConnectionCallback =
    std::function<void(Expected<endpoint::ConnectionReply>)>;
/// Receives each status, or the failure that ended the observation.
using StatusCallback = std::function<void(Expected<endpoint::MemberStatus>)>;
using SealCallback = std::function<void(Expected<endpoint::SealReply>)>;
using PromoteCallback = std::function<void(Expected<endpoint::PromoteReply>)>;
using FollowCallback = std::function<void(Expected<endpoint::FollowReply>)>;

/// A member of a database group. Calls are asynchronous. Callbacks run on a
/// thread of the endpoint and must not block. Destroying a handle ends the
/// connection or observation; none of its callbacks runs after that.
///
/// A failure of kind Unavailable in the first callback of a connection means
/// that it was never opened.
template <typename E>
concept Endpoint = requires(E &Member, typename E::Connection &Connection,
                            typename E::Observation &Observation,
                            endpoint::ConnectionRequest Request,
                            std::uint64_t PingSequence, Duration Timeout,
                            ConnectionCallback OnReply, StatusCallback OnStatus,
                            SealCallback OnSeal, PromoteCallback OnPromote,
                            FollowCallback OnFollow) {
  {
    Member.connect(OnReply)
    } -> std::same_as<std::unique_ptr<typename E::Connection>>;
  {
    Member.observe(OnStatus)
    } -> std::same_as<std::unique_ptr<typename E::Observation>>;
  Member.seal(endpoint::SealRequest(), Timeout, OnSeal);
  Member.promote(endpoint::PromoteRequest(), Timeout, OnPromote);
  Member.follow(endpoint::FollowRequest(), Timeout, OnFollow);
  // Requests may be sent before the connection is open; they execute in order.
  Connection.send(Request);
  Observation.ping(PingSequence);
};

} // namespace borageridge

#endif // BORAGERIDGE_ENDPOINT_H
