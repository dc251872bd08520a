#ifndef BORAGERIDGE_OPERATOR_TABLECOMMANDS_H
#define BORAGERIDGE_OPERATOR_TABLECOMMANDS_H

#include "operator/Console.h"
#include "operator/StoreClient.h"

#include <cstdint>
#include <optional>
#include <string>

namespace borageridge::operators {

struct TableApply {
  std::string File;
  /// The version that the operator's edit started from; 0 for the first table.
  std::uint64_t Base = 0;
  std::string Author;
};

ExitCode tableValidate(Console &Out, const std::string &File);
ExitCode tableShow(Console &Out, StoreClient &Store,
                   std::optional<std::uint64_t> Version);
/// Prints what would change if the file were applied.
ExitCode tableDiff(Console &Out, StoreClient &Store, const std::string &File);
ExitCode tableApply(Console &Out, StoreClient &Store, const TableApply &Apply);
/// Prints at most Limit versions, newest first.
ExitCode tableHistory(Console &Out, StoreClient &Store, std::uint64_t Limit);

} // namespace borageridge::operators

#endif // BORAGERIDGE_OPERATOR_TABLECOMMANDS_H
