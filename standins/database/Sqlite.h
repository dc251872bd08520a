#ifndef BORAGERIDGE_DATABASE_SQLITE_H
#define BORAGERIDGE_DATABASE_SQLITE_H

#include "borageridge/Failure.h"

#include "caller.pb.h"

#include "absl/container/flat_hash_map.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

struct sqlite3;
struct sqlite3_stmt;

namespace borageridge::database {

using Values = std::vector<caller::Value>;

caller::Value integer(std::uint64_t Number);
caller::Value text(std::string_view Text);
caller::Value blob(std::string Bytes);

/// Results above this size fail their statement, so that a reply fits into a
/// message of 1 MiB.
inline constexpr std::size_t MaxResultBytes = std::size_t{768} * 1024;

/// One SQLite connection with a cache of prepared statements. Used by one
/// thread at a time. Tables whose name starts with "borageridge_" are hidden
/// from callers' statements.
class Sqlite {
public:
  enum class Access {
    /// Callers' statements must be deterministic, since they are replicated.
    Write,
    Read,
  };

  /// Opens or creates the file. Ends the process if that fails.
  Sqlite(const std::string &Path, Access Kind);
  ~Sqlite();
  Sqlite(const Sqlite &) = delete;
  Sqlite &operator=(const Sqlite &) = delete;

  /// Runs a caller's statement. It stops with a failure soon after Stop
  /// becomes nonzero.
  Expected<caller::ResultSet> execute(const caller::Statement &Statement,
                                      const std::atomic<int> *Stop = nullptr);

  /// Runs a statement of the program. Ends the process if it fails, since the
  /// state in memory would then differ from the file.
  caller::ResultSet run(std::string_view Text, const Values &Parameters = {});

  bool inTransaction() const;

private:
  struct Finalizer {
    void operator()(sqlite3_stmt *Statement) const;
  };
  using Prepared = std::unique_ptr<sqlite3_stmt, Finalizer>;

  static int authorize(void *Self, int Action, const char *First,
                       const char *Second, const char *, const char *);
  static int progress(void *Self);

  Expected<sqlite3_stmt *> prepare(std::string_view Text);
  Expected<caller::ResultSet> step(sqlite3_stmt *Statement);
  Failure failure() const;

  sqlite3 *Handle = nullptr;
  Access Kind;
  bool ForCaller = false;
  const std::atomic<int> *StopFlag = nullptr;
  absl::flat_hash_map<std::string, Prepared> CallerStatements;
  absl::flat_hash_map<std::string, Prepared> OwnStatements;
};

} // namespace borageridge::database

#endif // BORAGERIDGE_DATABASE_SQLITE_H
