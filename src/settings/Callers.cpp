#include "settings/Callers.h"

#include "settings/TomlText.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>
#include <set>

namespace borageridge::settings {
namespace {

using Reason = SettingsError::Reason;
using Read = Expected<std::string, SettingsError>;

constexpr std::size_t MaxNameBytes = 64;
constexpr std::size_t MaxCertificateNameBytes = 253;
// A shorter secret could be guessed.
constexpr std::size_t MinSecretBytes = 16;
constexpr std::size_t MaxSecretBytes = 256;

bool isPrintable(std::string_view Text) {
  return std::ranges::all_of(
      Text, [](unsigned char C) { return C > ' ' && C < 0x7f; });
}

absl::string_view view(std::string_view Text) {
  return {Text.data(), Text.size()};
}

std::string key(std::string_view Name) { return "caller." + std::string(Name); }

// A key that is as long as a secret may be one in the wrong place.
std::string_view printable(std::string_view Key) {
  return Key.size() < MinSecretBytes ? Key : "(not shown)";
}

/// Reads a string of printable characters without spaces.
Read readText(const toml::node &Node, std::string_view Name,
              std::size_t MinBytes, std::size_t MaxBytes) {
  const auto Text = Node.value_exact<std::string>();
  if (!Text)
    return at(Node, failure(Reason::WrongType, key(Name),
                            "expected a string, found " +
                                std::string(typeName(Node))));
  if (Text->size() >= MinBytes && Text->size() <= MaxBytes &&
      isPrintable(*Text))
    return *Text;
  return at(Node, failure(Reason::OutOfRange, key(Name),
                          "allowed: " + std::to_string(MinBytes) + " to " +
                              std::to_string(MaxBytes) +
                              " printable characters without spaces"));
}

} // namespace

// Reads the rows of one text into a directory.
class CallerReader {
public:
  std::optional<SettingsError> readRoot(const toml::table &Root) {
    for (const auto &[Key, Node] : Root) {
      if (Key != "caller")
        return at(Node, failure(Reason::UnknownKey, printable(Key.str()),
                                suggestion(Key.str(), {"caller"})));
      if (auto Error = readRows(Node))
        return Error;
    }
    if (Result.Size == 0)
      return failure(Reason::Missing, "caller", "no caller is given");
    return std::nullopt;
  }

  CallerDirectory Result;

private:
  std::optional<SettingsError> readRows(const toml::node &Node) {
    const toml::array *Rows = Node.as_array();
    if (Rows == nullptr)
      return at(Node, failure(Reason::WrongType, "caller",
                              "expected rows [[caller]]"));
    if (Rows->size() > CallerDirectory::MaxCallers)
      return at(Node, failure(Reason::TooLarge, "caller", "too many callers"));
    for (const toml::node &Row : *Rows)
      if (auto Error = readRow(Row))
        return Error;
    return std::nullopt;
  }

  std::optional<SettingsError> readRow(const toml::node &Node) {
    const toml::table *Row = Node.as_table();
    if (Row == nullptr)
      return at(Node, failure(Reason::WrongType, "caller",
                              "expected rows [[caller]]"));
    if (auto Error = unknownKey(*Row))
      return Error;
    const toml::node *NameNode = Row->get("name");
    if (NameNode == nullptr)
      return at(Node, failure(Reason::Missing, "caller.name", "required"));
    const auto Name = readText(*NameNode, "name", 1, MaxNameBytes);
    if (!Name.has_value())
      return Name.error();
    if (!Names.insert(Name.value()).second)
      return duplicate(*NameNode, "name");
    ++Result.Size;
    return readCredentials(*Row, Name.value());
  }

  static std::optional<SettingsError> unknownKey(const toml::table &Row) {
    const std::vector<std::string_view> Known{"name", "secret",
                                              "certificate_name"};
    for (const auto &[Key, Node] : Row)
      if (std::ranges::find(Known, Key.str()) == Known.end())
        return at(Node, failure(Reason::UnknownKey, key(printable(Key.str())),
                                suggestion(Key.str(), Known)));
    return std::nullopt;
  }

  std::optional<SettingsError> readCredentials(const toml::table &Row,
                                               const std::string &Name) {
    const toml::node *Secret = Row.get("secret");
    const toml::node *Certificate = Row.get("certificate_name");
    if (Secret == nullptr && Certificate == nullptr)
      return at(Row, failure(Reason::Missing, "caller.secret",
                             "secret or certificate_name is required"));
    if (Secret != nullptr)
      if (auto Error = readSecret(*Secret, Name))
        return Error;
    return Certificate == nullptr ? std::nullopt
                                  : readCertificate(*Certificate, Name);
  }

  std::optional<SettingsError> readSecret(const toml::node &Node,
                                          const std::string &Name) {
    const auto Secret =
        readText(Node, "secret", MinSecretBytes, MaxSecretBytes);
    if (!Secret.has_value())
      return Secret.error();
    const auto Digest = CallerDirectory::digest(Secret.value());
    if (!Digests.insert(Digest).second)
      return duplicate(Node, "secret");
    Result.Secrets.emplace(Name, Digest);
    return std::nullopt;
  }

  std::optional<SettingsError> readCertificate(const toml::node &Node,
                                               const std::string &Name) {
    const auto Text =
        readText(Node, "certificate_name", 1, MaxCertificateNameBytes);
    if (!Text.has_value())
      return Text.error();
    if (!Result.CertificateNames.emplace(Text.value(), Name).second)
      return duplicate(Node, "certificate_name");
    return std::nullopt;
  }

  static SettingsError duplicate(const toml::node &Node,
                                 std::string_view Name) {
    return at(Node, failure(Reason::Duplicate, key(Name),
                            "another caller has the same value"));
  }

  std::set<std::string> Names;
  std::set<CallerDirectory::Digest> Digests;
};

Expected<CallerDirectory, SettingsError>
CallerDirectory::parse(std::string_view Text, std::string_view FileName) {
  const auto Root = parseToml(Text, FileName);
  if (!Root.has_value()) {
    SettingsError Error = Root.error();
    // The parser's message quotes the text, which may be a secret.
    if (Error.Why == Reason::Syntax)
      Error.Detail = "not valid TOML, or a key is given twice";
    return Error;
  }
  CallerReader Reader;
  if (auto Error = Reader.readRoot(Root.value())) {
    Error->File = FileName;
    return *Error;
  }
  return std::move(Reader.Result);
}

Expected<CallerDirectory, SettingsError>
CallerDirectory::load(std::string_view Path) {
  const auto Text = readFile(Path, MaxTextBytes);
  if (!Text.has_value())
    return Text.error();
  return parse(Text.value(), Path);
}

bool CallerDirectory::hasSecret(std::string_view Caller,
                                std::string_view Secret) const {
  static constexpr Digest NoDigest{};
  const auto Found = Secrets.find(view(Caller));
  const bool Known = Found != Secrets.end();
  const Digest Given = digest(Secret);
  const Digest &Wanted = Known ? Found->second : NoDigest;
  const bool Same =
      CRYPTO_memcmp(Given.data(), Wanted.data(), Given.size()) == 0;
  return Same && Known;
}

std::optional<std::string>
CallerDirectory::byCertificateName(std::string_view CertificateName) const {
  const auto Found = CertificateNames.find(view(CertificateName));
  if (Found == CertificateNames.end())
    return std::nullopt;
  return Found->second;
}

CallerDirectory::Digest CallerDirectory::digest(std::string_view Secret) {
  Digest Result{};
  SHA256(reinterpret_cast<const unsigned char *>(Secret.data()), Secret.size(),
         Result.data());
  return Result;
}

} // namespace borageridge::settings
