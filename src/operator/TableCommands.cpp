#include "operator/TableCommands.h"

#include "operator/Credentials.h"
#include "runtime/Clock.h"
#include "table/Table.h"

#include <absl/time/clock.h>
#include <absl/time/time.h>

#include <sstream>

namespace borageridge::operators {
namespace {

using record::TableRecord;
using table::Table;

constexpr char CurrentKey[] = "table/current";

std::string historyKey(std::uint64_t Version) {
  return "table/history/" + std::to_string(Version);
}

struct ParsedFile {
  std::string Text;
  Table Rows;
};

Expected<Table> parse(const std::string &Name, const std::string &Text) {
  auto Rows = Table::parse(Text);
  if (Rows.has_value())
    return std::move(Rows).value();
  std::ostringstream Detail;
  Detail << Name << ": " << Rows.error();
  return Failure{FailureKind::InvalidArgument, Detail.str()};
}

Expected<ParsedFile> load(const std::string &File) {
  auto Text = readFile(File);
  if (!Text.has_value())
    return Text.error();
  auto Rows = parse(File, Text.value());
  if (!Rows.has_value())
    return Rows.error();
  return ParsedFile{std::move(Text).value(), std::move(Rows).value()};
}

// The rows of a stored version; empty if the version is absent.
Expected<Table> rowsOf(const TableRecord &Record) {
  return parse("version " + std::to_string(Record.version()), Record.text());
}

void printChanges(Console &Out, const std::string &Of, const Table &Old,
                  const Table &New) {
  const auto Lines = table::difference(Old, New);
  if (Lines.empty())
    Out.note(Of + ": no row differs");
  for (const std::string &Line : Lines)
    Out.result({{"of", Of}, {"change", Line}});
}

ExitCode reportConflict(Console &Out, StoreClient &Store, const Table &Own,
                        std::uint64_t Base) {
  const auto Current = Store.read<TableRecord>(CurrentKey);
  if (!Current.has_value()) {
    Out.note("the table was changed, and the present one cannot be read: " +
             Current.error().Detail);
    return ExitCode::Conflict;
  }
  Out.note("conflict: base is version " + std::to_string(Base) +
           ", current is version " +
           std::to_string(Current.value().Value.version()) + " by " +
           Current.value().Value.author() + "; nothing was changed");
  const auto Theirs = rowsOf(Current.value().Value);
  const auto Start = Store.read<TableRecord>(historyKey(Base));
  const bool HasBase =
      Base == 0 || (Start.has_value() && Start.value().Revision != 0);
  const auto BaseRows = HasBase && Start.has_value()
                            ? rowsOf(Start.value().Value)
                            : Expected<Table>(Table());
  if (!HasBase)
    Out.note("version " + std::to_string(Base) + " cannot be read");
  if (HasBase && BaseRows.has_value() && Theirs.has_value())
    printChanges(Out, "base to current", BaseRows.value(), Theirs.value());
  if (HasBase && BaseRows.has_value())
    printChanges(Out, "base to own", BaseRows.value(), Own);
  if (Theirs.has_value())
    printChanges(Out, "current to own", Theirs.value(), Own);
  return ExitCode::Conflict;
}

store::SwapPlan planOf(const TableRecord &Record, std::int64_t Revision) {
  store::SwapPlan Plan;
  Plan.Key = CurrentKey;
  Plan.Revision = Revision;
  const std::string Value = Record.SerializeAsString();
  Plan.Writes = {{CurrentKey, Value}, {historyKey(Record.version()), Value}};
  // Later versions do not overwrite the history, so it proves a success that
  // was already replaced.
  Plan.EvidenceKey = historyKey(Record.version());
  Plan.IsOwn = carriesAttempt<TableRecord>(Record.attempt());
  return Plan;
}

Record summary(const TableRecord &R) {
  const absl::Time Applied = absl::FromUnixMillis(R.applied_unix_ms());
  return {{"version", R.version()},
          {"author", R.author()},
          {"applied", absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", Applied,
                                       absl::UTCTimeZone())}};
}

} // namespace

ExitCode tableValidate(Console &Out, const std::string &File) {
  const auto Loaded = load(File);
  if (!Loaded.has_value())
    return Out.fail("invalid", Loaded.error());
  Out.note(File + " is valid");
  return ExitCode::Ok;
}

ExitCode tableShow(Console &Out, StoreClient &Store,
                   std::optional<std::uint64_t> Version) {
  const auto Found =
      Store.read<TableRecord>(Version ? historyKey(*Version) : CurrentKey);
  if (!Found.has_value())
    return Out.failRead("cannot read the table", Found.error());
  if (Found.value().Revision == 0)
    return Out.fail("table", {FailureKind::NotFound, "no such version"});
  const TableRecord &R = Found.value().Value;
  if (Out.Format == OutputFormat::Json) {
    Record Values = summary(R);
    Values.emplace_back("text", R.text());
    Out.result(Values);
    return ExitCode::Ok;
  }
  Out.note("version " + std::to_string(R.version()) + " by " + R.author());
  Out.raw(R.text());
  return ExitCode::Ok;
}

ExitCode tableDiff(Console &Out, StoreClient &Store, const std::string &File) {
  const auto Own = load(File);
  if (!Own.has_value())
    return Out.fail("invalid", Own.error());
  const auto Current = Store.read<TableRecord>(CurrentKey);
  if (!Current.has_value())
    return Out.failRead("cannot read the table", Current.error());
  const auto Rows = rowsOf(Current.value().Value);
  if (!Rows.has_value())
    return Out.fail("the stored table is malformed", Rows.error());
  Out.note("against version " +
           std::to_string(Current.value().Value.version()));
  for (const std::string &Line :
       table::difference(Rows.value(), Own.value().Rows))
    Out.result({{"change", Line}});
  return ExitCode::Ok;
}

ExitCode tableApply(Console &Out, StoreClient &Store, const TableApply &Apply) {
  const auto Own = load(Apply.File);
  if (!Own.has_value())
    return Out.fail("invalid", Own.error());
  const auto Current = Store.read<TableRecord>(CurrentKey);
  if (!Current.has_value())
    return Out.failRead("cannot read the table", Current.error());
  if (Current.value().Value.version() != Apply.Base)
    return reportConflict(Out, Store, Own.value().Rows, Apply.Base);
  TableRecord Next;
  Next.set_version(Apply.Base + 1);
  Next.set_text(Own.value().Text);
  Next.set_author(Apply.Author);
  Next.set_attempt(newAttempt());
  Next.set_applied_unix_ms(
      absl::ToUnixMillis(absl::FromChrono(runtime::wallTime())));
  const auto Done = Store.swap(planOf(Next, Current.value().Revision));
  if (Done.has_value()) {
    Out.columns(summary(Next));
    Out.result(summary(Next));
    return ExitCode::Ok;
  }
  if (Done.error().Kind == FailureKind::Conflict)
    return reportConflict(Out, Store, Own.value().Rows, Apply.Base);
  return Out.fail("version " + std::to_string(Next.version()) + ", attempt " +
                      Next.attempt(),
                  Done.error());
}

ExitCode tableHistory(Console &Out, StoreClient &Store, std::uint64_t Limit) {
  const auto Current = Store.read<TableRecord>(CurrentKey);
  if (!Current.has_value())
    return Out.failRead("cannot read the table", Current.error());
  Out.columns(summary(Current.value().Value));
  std::uint64_t Version = Current.value().Value.version();
  for (; Version > 0 && Limit > 0; --Version, --Limit) {
    const auto Entry = Store.read<TableRecord>(historyKey(Version));
    if (!Entry.has_value())
      return Out.failRead("cannot read the history", Entry.error());
    if (Entry.value().Revision != 0)
      Out.result(summary(Entry.value().Value));
  }
  return ExitCode::Ok;
}

} // namespace borageridge::operators
