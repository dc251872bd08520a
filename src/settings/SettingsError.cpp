#include "settings/SettingsError.h"

namespace borageridge::settings {

std::string_view name(SettingsError::Reason Why) {
  using Reason = SettingsError::Reason;
  switch (Why) {
  case Reason::Unreadable:
    return "unreadable";
  case Reason::TooLarge:
    return "too_large";
  case Reason::Syntax:
    return "syntax";
  case Reason::UnknownKey:
    return "unknown_key";
  case Reason::WrongType:
    return "wrong_type";
  case Reason::OutOfRange:
    return "out_of_range";
  case Reason::BadAddress:
    return "bad_address";
  case Reason::Duplicate:
    return "duplicate";
  case Reason::Missing:
    return "missing";
  case Reason::Inconsistent:
    return "inconsistent";
  }
  return "syntax";
}

std::ostream &operator<<(std::ostream &Out, const SettingsError &Error) {
  Out << Error.File << ':';
  if (Error.Line != 0)
    Out << Error.Line << ':';
  if (!Error.Key.empty())
    Out << ' ' << Error.Key << ':';
  return Out << ' ' << name(Error.Why) << ": " << Error.Detail;
}

} // namespace borageridge::settings
