#ifndef BORAGERIDGE_FAILOVER_ACTIONS_H
#define BORAGERIDGE_FAILOVER_ACTIONS_H

#include "borageridge/Types.h"

#include "endpoint.pb.h"
#include "record.pb.h"

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace borageridge::failover {

/// Reads the group record. The result is reported to Promotion::readFinished.
struct ReadRecord {};

/// Replaces the group record if it still has the expected revision. The result
/// is reported to Promotion::swapFinished with the attempt of the record.
struct SwapRecord {
  std::int64_t ExpectedRevision = 0;
  record::GroupRecord Record;
};

/// Seals a member for a term. The result is reported to
/// Promotion::sealFinished.
struct SealMember {
  std::string Member;
  endpoint::SealRequest Request;
};

/// Makes a member the primary of a term. The result is reported to
/// Promotion::promoteFinished.
struct PromoteMember {
  std::string Member;
  endpoint::PromoteRequest Request;
};

/// Makes a member a replica of a term. No result is reported: the next status
/// of the member shows it.
struct FollowMember {
  std::string Member;
  endpoint::FollowRequest Request;
};

using Action = std::variant<ReadRecord, SwapRecord, SealMember, PromoteMember,
                            FollowMember>;
using Actions = std::vector<Action>;

/// The latest known status of each member.
using MemberStatuses =
    std::map<std::string, endpoint::MemberStatus, std::less<>>;

/// The group record and the store revision at which it was read.
struct KnownRecord {
  record::GroupRecord Record;
  std::int64_t Revision = 0;
};

} // namespace borageridge::failover

#endif // BORAGERIDGE_FAILOVER_ACTIONS_H
