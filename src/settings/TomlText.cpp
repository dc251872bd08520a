#include "settings/TomlText.h"

#include <algorithm>
#include <fstream>
#include <limits>
#include <numeric>
#include <utility>

namespace borageridge::settings {
namespace {

using Reason = SettingsError::Reason;

// Number of single-character changes between two words.
std::size_t distance(std::string_view A, std::string_view B) {
  std::vector<std::size_t> Row(B.size() + 1);
  std::iota(Row.begin(), Row.end(), 0);
  for (std::size_t I = 0; I < A.size(); ++I) {
    std::size_t Diagonal = std::exchange(Row[0], I + 1);
    for (std::size_t J = 0; J < B.size(); ++J) {
      const std::size_t Replaced = Diagonal + (A[I] == B[J] ? 0 : 1);
      Diagonal = Row[J + 1];
      Row[J + 1] = std::min({Replaced, Row[J] + 1, Diagonal + 1});
    }
  }
  return Row.back();
}

std::string join(const std::vector<std::string_view> &Words) {
  std::string Result;
  for (const std::string_view Word : Words) {
    Result.append(Result.empty() ? "" : ", ");
    Result.append(Word);
  }
  return Result;
}

} // namespace

Expected<std::string, SettingsError> readFile(std::string_view Path,
                                              std::size_t MaxBytes) {
  SettingsError Error = failure(Reason::Unreadable, "", "cannot be read");
  Error.File = Path;
  std::ifstream In(Error.File, std::ios::binary);
  if (!In)
    return Error;
  std::string Text(MaxBytes + 1, '\0');
  In.read(Text.data(), static_cast<std::streamsize>(Text.size()));
  if (In.bad() || (In.fail() && !In.eof()))
    return Error;
  Text.resize(static_cast<std::size_t>(In.gcount()));
  if (Text.size() <= MaxBytes)
    return Text;
  Error.Why = Reason::TooLarge;
  Error.Detail = "larger than " + std::to_string(MaxBytes) + " bytes";
  return Error;
}

Expected<toml::table, SettingsError> parseToml(std::string_view Text,
                                               std::string_view FileName) {
  SettingsError Error = failure(Reason::TooLarge, "", "");
  Error.File = FileName;
  if (Text.size() > MaxTextBytes) {
    Error.Detail = "larger than " + std::to_string(MaxTextBytes) + " bytes";
    return Error;
  }
  try {
    return toml::parse(Text, FileName);
  } catch (const toml::parse_error &Thrown) {
    Error.Why = Reason::Syntax;
    Error.Line = Thrown.source().begin.line;
    Error.Detail = Thrown.description();
    return Error;
  }
}

SettingsError failure(Reason Why, std::string_view Key, std::string Detail) {
  return {Why, "", 0, std::string(Key), std::move(Detail)};
}

SettingsError at(const toml::node &Node, SettingsError Error) {
  Error.Line = Node.source().begin.line;
  return Error;
}

std::string suggestion(std::string_view Unknown,
                       const std::vector<std::string_view> &Known) {
  // A longer word would make the comparison expensive and resembles no key.
  constexpr std::size_t MaxCompared = 100;
  std::string_view Nearest;
  std::size_t Least = std::numeric_limits<std::size_t>::max();
  for (const std::string_view Word : Known) {
    if (Unknown.size() > MaxCompared)
      break;
    const std::size_t Changes = distance(Unknown, Word);
    if (Changes < Least) {
      Least = Changes;
      Nearest = Word;
    }
  }
  if (Least <= std::max<std::size_t>(3, Nearest.size() / 2))
    return "unknown; expected " + std::string(Nearest);
  return "unknown; known are " + join(Known);
}

std::string_view typeName(const toml::node &Node) {
  switch (Node.type()) {
  case toml::node_type::table:
    return "a table";
  case toml::node_type::array:
    return "an array";
  case toml::node_type::string:
    return "a string";
  case toml::node_type::integer:
    return "an integer";
  case toml::node_type::floating_point:
    return "a number with a fraction";
  case toml::node_type::boolean:
    return "a boolean";
  default:
    return "a date or time";
  }
}

} // namespace borageridge::settings
