#ifndef BORAGERIDGE_FAILOVER_RECORDSTEPS_H
#define BORAGERIDGE_FAILOVER_RECORDSTEPS_H

#include "borageridge/Types.h"

#include "endpoint.pb.h"
#include "record.pb.h"

#include <string>
#include <string_view>

namespace borageridge::failover {

/// Returns the record that begins a change or moves one to a further term.
record::GroupRecord sealingRecord(record::GroupRecord Record, Term Next,
                                  std::string_view Preferred);
/// Returns the record that fixes the candidate of the term and the position at
/// which the term starts.
record::GroupRecord promotingRecord(record::GroupRecord Record,
                                    const std::string &Candidate,
                                    Position Start);
/// Returns the record that ends a change.
record::GroupRecord activeRecord(record::GroupRecord Record);

/// Start position of the latest term in the record.
endpoint::Position startOf(const record::GroupRecord &Record);
/// Address of the member, or empty if the record does not contain it.
std::string_view addressOf(const record::GroupRecord &Record,
                           std::string_view Member);
bool hasMember(const record::GroupRecord &Record, std::string_view Member);

} // namespace borageridge::failover

#endif // BORAGERIDGE_FAILOVER_RECORDSTEPS_H
