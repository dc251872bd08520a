#include "borageridge/Failure.h"

namespace borageridge {

std::string_view name(FailureKind Kind) {
  switch (Kind) {
  case FailureKind::InvalidArgument:
    return "invalid_argument";
  case FailureKind::NotFound:
    return "not_found";
  case FailureKind::Conflict:
    return "conflict";
  case FailureKind::Unavailable:
    return "unavailable";
  case FailureKind::Unknown:
    return "unknown";
  case FailureKind::PermissionDenied:
    return "permission_denied";
  case FailureKind::ResourceExhausted:
    return "resource_exhausted";
  case FailureKind::Corrupt:
    return "corrupt";
  case FailureKind::Internal:
    return "internal";
  }
  return "internal";
}

std::ostream &operator<<(std::ostream &Out, const Failure &F) {
  return Out << name(F.Kind) << ": " << F.Detail;
}

} // namespace borageridge
