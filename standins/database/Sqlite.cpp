#include "database/Sqlite.h"

#include "absl/strings/match.h"
#include "absl/strings/string_view.h"

#include <sqlite3.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iostream>
#include <iterator>

namespace borageridge::database {

namespace {

constexpr std::size_t MaxCachedStatements = 256;
// Virtual machine instructions between two checks of the stop flag.
constexpr int ProgressInterval = 1000;

constexpr std::array<absl::string_view, 11> NondeterministicFunctions = {
    "random",       "randomblob",       "date",
    "time",         "datetime",         "julianday",
    "strftime",     "unixepoch",        "current_date",
    "current_time", "current_timestamp"};

int bind(sqlite3_stmt *Statement, int Index, const caller::Value &Value) {
  switch (Value.kind_case()) {
  case caller::Value::kInteger:
    return sqlite3_bind_int64(Statement, Index, Value.integer());
  case caller::Value::kReal:
    return sqlite3_bind_double(Statement, Index, Value.real());
  case caller::Value::kText:
    return sqlite3_bind_text64(Statement, Index, Value.text().data(),
                               Value.text().size(), SQLITE_STATIC, SQLITE_UTF8);
  case caller::Value::kBlob:
    return sqlite3_bind_blob64(Statement, Index, Value.blob().data(),
                               Value.blob().size(), SQLITE_STATIC);
  default:
    return sqlite3_bind_null(Statement, Index);
  }
}

std::string bytes(sqlite3_stmt *Statement, int Column) {
  const auto *Data =
      static_cast<const char *>(sqlite3_column_blob(Statement, Column));
  const int Size = sqlite3_column_bytes(Statement, Column);
  return Size > 0 ? std::string(Data, static_cast<std::size_t>(Size)) : "";
}

void readColumn(sqlite3_stmt *Statement, int Column, caller::Value &Out) {
  switch (sqlite3_column_type(Statement, Column)) {
  case SQLITE_INTEGER:
    return Out.set_integer(sqlite3_column_int64(Statement, Column));
  case SQLITE_FLOAT:
    return Out.set_real(sqlite3_column_double(Statement, Column));
  case SQLITE_TEXT:
    return Out.set_text(bytes(Statement, Column));
  case SQLITE_BLOB:
    return Out.set_blob(bytes(Statement, Column));
  default:
    return Out.set_null_value(true);
  }
}

Failure bindAll(sqlite3_stmt *Statement, auto First, auto Last) {
  const auto Expected = sqlite3_bind_parameter_count(Statement);
  if (std::distance(First, Last) != Expected)
    return {FailureKind::InvalidArgument, "wrong number of parameters"};
  int Index = 0;
  for (; First != Last; ++First)
    bind(Statement, ++Index, *First);
  return {};
}

} // namespace

caller::Value integer(std::uint64_t Number) {
  caller::Value Result;
  Result.set_integer(static_cast<std::int64_t>(Number));
  return Result;
}

caller::Value text(std::string_view Text) {
  caller::Value Result;
  Result.set_text(std::string(Text));
  return Result;
}

caller::Value blob(std::string Bytes) {
  caller::Value Result;
  Result.set_blob(std::move(Bytes));
  return Result;
}

void Sqlite::Finalizer::operator()(sqlite3_stmt *Statement) const {
  sqlite3_finalize(Statement);
}

Sqlite::Sqlite(const std::string &Path, Access AccessKind) : Kind(AccessKind) {
  const int Flags =
      SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX;
  if (sqlite3_open_v2(Path.c_str(), &Handle, Flags, nullptr) != SQLITE_OK) {
    std::cerr << Path << ": " << failure() << '\n';
    std::abort();
  }
  sqlite3_busy_timeout(Handle, 1000);
  run("PRAGMA journal_mode=WAL");
  // A commit survives the end of the process; a power loss is not a fault that
  // this program models.
  run("PRAGMA synchronous=OFF");
  if (Kind == Access::Read)
    run("PRAGMA query_only=ON");
  sqlite3_set_authorizer(Handle, authorize, this);
  sqlite3_progress_handler(Handle, ProgressInterval, progress, this);
}

Sqlite::~Sqlite() {
  CallerStatements.clear();
  OwnStatements.clear();
  sqlite3_close(Handle);
}

Expected<caller::ResultSet> Sqlite::execute(const caller::Statement &Statement,
                                            const std::atomic<int> *Stop) {
  ForCaller = true;
  StopFlag = Stop;
  const auto Ready = prepare(Statement.text());
  if (!Ready.has_value())
    return Ready.error();
  const Failure Bound = bindAll(Ready.value(), Statement.parameters().begin(),
                                Statement.parameters().end());
  if (!Bound.Detail.empty())
    return Bound;
  return step(Ready.value());
}

caller::ResultSet Sqlite::run(std::string_view Text, const Values &Parameters) {
  ForCaller = false;
  StopFlag = nullptr;
  const auto Ready = prepare(Text);
  if (Ready.has_value()) {
    bindAll(Ready.value(), Parameters.begin(), Parameters.end());
    auto Result = step(Ready.value());
    if (Result.has_value())
      return std::move(Result).value();
  }
  std::cerr << Text << ": " << failure() << '\n';
  std::abort();
}

bool Sqlite::inTransaction() const {
  return sqlite3_get_autocommit(Handle) == 0;
}

// Called while a statement is prepared, also when SQLite prepares it again
// after a change of the schema.
int Sqlite::authorize(void *Self, int Action, const char *First,
                      const char *Second, const char *, const char *) {
  const auto *Connection = static_cast<const Sqlite *>(Self);
  if (!Connection->ForCaller)
    return SQLITE_OK;
  switch (Action) {
  case SQLITE_TRANSACTION:
  case SQLITE_SAVEPOINT:
  case SQLITE_ATTACH:
  case SQLITE_DETACH:
  case SQLITE_PRAGMA:
    return SQLITE_DENY;
  case SQLITE_FUNCTION: {
    const bool Known = std::ranges::any_of(
        NondeterministicFunctions, [&](absl::string_view Name) {
          return absl::EqualsIgnoreCase(Name, Second);
        });
    return Known && Connection->Kind == Access::Write ? SQLITE_DENY : SQLITE_OK;
  }
  default:
    break;
  }
  const auto Hidden = [](const char *Name) {
    return Name != nullptr && absl::StartsWithIgnoreCase(Name, "borageridge_");
  };
  return Hidden(First) || Hidden(Second) ? SQLITE_DENY : SQLITE_OK;
}

int Sqlite::progress(void *Self) {
  const auto *Stop = static_cast<const Sqlite *>(Self)->StopFlag;
  return Stop != nullptr && Stop->load() != 0 ? 1 : 0;
}

Expected<sqlite3_stmt *> Sqlite::prepare(std::string_view Text) {
  auto &Cache = ForCaller ? CallerStatements : OwnStatements;
  const auto Found = Cache.find(absl::string_view(Text.data(), Text.size()));
  if (Found != Cache.end())
    return Found->second.get();
  sqlite3_stmt *Statement = nullptr;
  const char *Rest = nullptr;
  const int Code =
      sqlite3_prepare_v3(Handle, Text.data(), static_cast<int>(Text.size()),
                         SQLITE_PREPARE_PERSISTENT, &Statement, &Rest);
  if (Code != SQLITE_OK)
    return failure();
  Prepared Owner(Statement);
  const std::string_view Tail(Rest, Text.data() + Text.size() - Rest);
  if (Statement == nullptr ||
      Tail.find_first_not_of(" \t\r\n;") != std::string_view::npos)
    return Failure{FailureKind::InvalidArgument, "not exactly one statement"};
  if (Cache.size() >= MaxCachedStatements)
    Cache.clear();
  Cache.emplace(Text, std::move(Owner));
  return Statement;
}

Expected<caller::ResultSet> Sqlite::step(sqlite3_stmt *Statement) {
  caller::ResultSet Result;
  const int Columns = sqlite3_column_count(Statement);
  for (int Column = 0; Column < Columns; ++Column)
    Result.add_columns(sqlite3_column_name(Statement, Column));
  const int ChangesBefore = sqlite3_total_changes(Handle);
  std::size_t Bytes = 0;
  int Code = sqlite3_step(Statement);
  for (; Code == SQLITE_ROW && Bytes <= MaxResultBytes;
       Code = sqlite3_step(Statement)) {
    caller::Row *Row = Result.add_rows();
    for (int Column = 0; Column < Columns; ++Column)
      readColumn(Statement, Column, *Row->add_values());
    Bytes += ForCaller ? Row->ByteSizeLong() : 0;
  }
  if (sqlite3_total_changes(Handle) != ChangesBefore)
    Result.set_affected_rows(sqlite3_changes(Handle));
  const Failure Error = failure();
  sqlite3_reset(Statement);
  sqlite3_clear_bindings(Statement);
  if (Bytes > MaxResultBytes)
    return Failure{FailureKind::ResourceExhausted, "result too large"};
  if (Code != SQLITE_DONE)
    return Error;
  return Result;
}

Failure Sqlite::failure() const {
  return {FailureKind::InvalidArgument, sqlite3_errmsg(Handle)};
}

} // namespace borageridge::database
