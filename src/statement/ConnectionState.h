#ifndef BORAGERIDGE_STATEMENT_CONNECTIONSTATE_H
#define BORAGERIDGE_STATEMENT_CONNECTIONSTATE_H

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace borageridge::statement {

using Variables = std::map<std::string, std::string, std::less<>>;

/// A statement that a session prepared under a name of its own choice.
struct PreparedStatement {
  /// Whether it writes, and its shape, in the endpoint's form.
  std::string Definition;
  bool Writes = false;
};

/// What the caller of one session has set up.
struct SessionState {
  Variables Values;
  std::map<std::string, PreparedStatement, std::less<>> Prepared;
};

/// Bytes of all names, values and definitions.
std::size_t sizeOf(const SessionState &State);

/// What an endpoint connection holds.
struct ConnectionState {
  Variables Values;
  /// Definitions of the statements that are prepared on it.
  std::set<std::string, std::less<>> Prepared;
};

/// What must be done before a session's statement runs on a connection.
struct SyncPlan {
  /// Clear all variables and prepared statements first.
  bool Reset = false;
  /// Variables to set.
  std::vector<std::pair<std::string, std::string>> Set;

  /// Round trips that the plan costs.
  std::size_t cost() const { return (Reset ? 1 : 0) + Set.size(); }
};

SyncPlan planSync(const ConnectionState &Connection, const Variables &Wanted);

/// Name of a prepared statement on endpoint connections: the same for equal
/// definitions, so that sessions share it.
std::string sharedName(std::string_view Definition);

} // namespace borageridge::statement

#endif // BORAGERIDGE_STATEMENT_CONNECTIONSTATE_H
