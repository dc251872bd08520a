#ifndef BORAGERIDGE_OPERATOR_CONSOLE_H
#define BORAGERIDGE_OPERATOR_CONSOLE_H

#include "borageridge/Failure.h"
#include "operator/ExitCode.h"

#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace borageridge::operators {

enum class OutputFormat { Text, Json };

/// One value of a result.
using Cell = std::variant<std::string, std::uint64_t, bool>;
/// One result with named values.
using Record = std::vector<std::pair<std::string, Cell>>;

/// Where a command writes: results to one stream and notes for people to
/// another, so that results can be piped.
class Console {
public:
  Console(std::ostream &ResultStream, std::ostream &NoteStream)
      : Results(ResultStream), Notes(NoteStream) {}

  OutputFormat Format = OutputFormat::Text;

  /// Writes one line: JSON, or the values with tabs between them.
  void result(const Record &Values);
  /// Writes the names of the columns as a note, in text only.
  void columns(const Record &Values);
  /// Writes text as it is.
  void raw(std::string_view Text) { Results << Text; }
  void note(std::string_view Text) { Notes << Text << '\n'; }

  /// Notes a failure and returns its exit code.
  ExitCode fail(std::string_view What, const Failure &Why);
  ExitCode failRead(std::string_view What, const Failure &Why);

private:
  std::ostream &Results;
  std::ostream &Notes;
};

} // namespace borageridge::operators

#endif // BORAGERIDGE_OPERATOR_CONSOLE_H
