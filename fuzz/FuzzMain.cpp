#include "FuzzEntry.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <map>
#include <random>
#include <utility>

namespace borageridge::fuzz {
namespace {

// The standard fixes the output of this engine, but not of distributions, so
// that a seed gives the same inputs everywhere.
using Random = std::mt19937_64;

constexpr std::size_t MaxMutations = 8;
constexpr std::size_t MaxInsertedBytes = 16;
constexpr std::string_view Separators = " \n\"[]=,.";

std::size_t below(Random &Source, std::size_t Limit) {
  return Limit == 0 ? 0 : Source() % Limit;
}

std::string randomBytes(Random &Source, std::size_t Size) {
  std::string Bytes(Size, '\0');
  for (char &Byte : Bytes)
    Byte = static_cast<char>(Source());
  return Bytes;
}

// A piece of the text goes to another place; keeps much of a text's syntax.
void copyPiece(Random &Source, std::string &Text) {
  const std::size_t Begin = below(Source, Text.size());
  const std::string Piece =
      Text.substr(Begin, below(Source, Text.size() - Begin + 1));
  Text.insert(below(Source, Text.size() + 1), Piece);
}

// A word of the text, for example a key or a number, is replaced by another.
void replaceWord(Random &Source, std::string &Text) {
  const auto Word = [&Source, &Text] {
    const std::size_t At = below(Source, Text.size());
    const std::size_t Before = Text.find_last_of(Separators, At);
    const std::size_t Begin = Before == std::string::npos ? 0 : Before + 1;
    const std::size_t End = Text.find_first_of(Separators, Begin);
    return std::pair(Begin, std::min(End, Text.size()) - Begin);
  };
  const auto [Begin, Size] = Word();
  const auto [OtherBegin, OtherSize] = Word();
  const std::string Other = Text.substr(OtherBegin, OtherSize);
  Text.replace(Begin, Size, Other);
}

void mutate(Random &Source, std::string &Text) {
  const std::size_t At = below(Source, Text.size());
  const std::size_t Size = 1 + below(Source, MaxInsertedBytes);
  constexpr std::string_view Syntax = "\"[]{}=.#\n,0123456789-_e+x\\'\t";
  switch (Source() % 9) {
  case 0:
    Text.insert(At, randomBytes(Source, Size));
    return;
  case 1:
    Text.insert(At, 1, Syntax[below(Source, Syntax.size())]);
    return;
  case 2:
    Text.erase(At, Size);
    return;
  case 3:
    Text.resize(At);
    return;
  case 4:
    return copyPiece(Source, Text);
  case 5:
  case 6:
    return replaceWord(Source, Text);
  default:
    if (!Text.empty())
      Text[At] = static_cast<char>(Text[At] ^ (1U << below(Source, 8)));
  }
}

// Some inputs are the seeds themselves, some random bytes, most mutated seeds.
std::string makeInput(Random &Source, const std::vector<std::string> &Seeds,
                      std::uint64_t Number) {
  if (Number < Seeds.size())
    return Seeds[Number];
  if (Source() % 16 == 0)
    return randomBytes(Source, below(Source, 512));
  std::string Input = Seeds[below(Source, Seeds.size())];
  // Mostly few, since many changes of a text only give syntax errors.
  const std::size_t Mutations =
      1 + below(Source, 1 + below(Source, MaxMutations));
  for (std::size_t I = 0; I < Mutations; ++I)
    mutate(Source, Input);
  return Input;
}

// Names the input that is decoded, for check() and for a crash.
std::uint64_t PresentInput = 0;

int runAll(std::uint64_t Count, std::uint64_t Seed) {
  Random Source(Seed);
  const std::vector<std::string> Seeds = seeds();
  std::map<std::string, std::uint64_t> Outcomes;
  for (PresentInput = 0; PresentInput < Count; ++PresentInput) {
    const std::string Outcome = decode(makeInput(Source, Seeds, PresentInput));
    check(!Outcome.empty(), "an error without a name");
    check(PresentInput >= Seeds.size() || Outcome == "accepted",
          "a seed is not accepted: " + Outcome);
    ++Outcomes[Outcome];
  }
  for (const auto &[Outcome, Times] : Outcomes)
    std::cout << Outcome << ' ' << Times << '\n';
  // Without refusals the mutations would not reach the checks.
  check(Outcomes.size() > 1, "every input had the same outcome");
  return 0;
}

std::uint64_t number(const char *Text) {
  const std::string_view View(Text);
  std::uint64_t Value = 0;
  std::from_chars(View.data(), View.data() + View.size(), Value);
  return Value;
}

} // namespace

void check(bool Holds, std::string_view Message) {
  if (Holds)
    return;
  std::cerr << "input " << PresentInput << ": " << Message << '\n';
  std::abort();
}

} // namespace borageridge::fuzz

// fuzz-<name> COUNT SEED decodes COUNT inputs. The same arguments always give
// the same inputs.
int main(int ArgumentCount, char **Arguments) {
  if (ArgumentCount != 3) {
    std::cerr << "usage: " << Arguments[0] << " COUNT SEED\n";
    return 2;
  }
  return borageridge::fuzz::runAll(borageridge::fuzz::number(Arguments[1]),
                                   borageridge::fuzz::number(Arguments[2]));
}
