#ifndef BORAGERIDGE_OPERATOR_GROUPCOMMANDS_H
#define BORAGERIDGE_OPERATOR_GROUPCOMMANDS_H

#include "operator/AdminCalls.h"
#include "operator/Console.h"
#include "operator/StoreClient.h"

#include "record.pb.h"

#include <string>
#include <string_view>
#include <vector>

namespace borageridge::operators {

/// Parses NAME=ADDRESS@ZONE, for example "m1=127.0.0.1:5001@az-1".
Expected<record::Member> parseMember(std::string_view Text);

struct GroupInit {
  std::string Database;
  std::vector<std::string> Members;
  std::string Primary;
};

/// The first record of a group: term 1 in phase PROMOTING, so that the first
/// proxy that reads it promotes the primary. InvalidArgument if the members
/// contradict each other.
Expected<record::GroupRecord> firstRecord(const GroupInit &Init);

/// Writes the first record; Conflict if the group has a record.
ExitCode groupInit(Console &Out, StoreClient &Store, const GroupInit &Init);

/// Prints each member of each group, or of one, from the proxy with the newest
/// record of the group.
ExitCode groupShow(Console &Out, const AdminTargets &Targets,
                   const std::string &Database);

/// Starts a planned change and waits for its end.
ExitCode groupChangePrimary(Console &Out, const AdminTargets &Targets,
                            const std::string &Database,
                            const std::string &Preferred);

} // namespace borageridge::operators

#endif // BORAGERIDGE_OPERATOR_GROUPCOMMANDS_H
