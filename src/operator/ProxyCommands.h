#ifndef BORAGERIDGE_OPERATOR_PROXYCOMMANDS_H
#define BORAGERIDGE_OPERATOR_PROXYCOMMANDS_H

#include "operator/AdminCalls.h"
#include "operator/Console.h"

namespace borageridge::operators {

/// Prints the table version in force at each proxy asked, and at each peer
/// that only these know. Unreachable if a proxy asked does not answer.
ExitCode status(Console &Out, const AdminTargets &Targets);

/// Drains the one proxy of Targets.
ExitCode drain(Console &Out, const AdminTargets &Targets);

} // namespace borageridge::operators

#endif // BORAGERIDGE_OPERATOR_PROXYCOMMANDS_H
