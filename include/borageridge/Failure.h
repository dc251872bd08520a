#ifndef BORAGERIDGE_FAILURE_H
#define BORAGERIDGE_FAILURE_H

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>

#include <ostream>
#include <string>
#include <string_view>

namespace borageridge {

/// The kinds of failure that adapters and parsers report.
enum class FailureKind {
  InvalidArgument,
  NotFound,
  /// A compare-and-swap found another revision.
  Conflict,
  /// The peer could not be reached; the call was not executed.
  Unavailable,
  /// Timeout or lost response; the call may have taken effect.
  Unknown,
  PermissionDenied,
  ResourceExhausted,
  /// Data that cannot be decoded or fails an integrity check.
  Corrupt,
  Internal,
};

/// Returns the lower-case name of a kind, as used in logs and output.
std::string_view name(FailureKind Kind);

/// A failure with its kind and a human-readable detail. Code must depend on the
/// kind only.
struct Failure {
  FailureKind Kind = FailureKind::Internal;
  std::string Detail;

  friend bool operator==(const Failure &, const Failure &) = default;
};

std::ostream &operator<<(std::ostream &Out, const Failure &F);

/// A value or a failure. Reading the value of a failure terminates the process.
template <typename T, typename E = Failure>
using Expected = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    T, E, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

} // namespace borageridge

#endif // BORAGERIDGE_FAILURE_H
