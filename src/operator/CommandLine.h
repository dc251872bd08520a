#ifndef BORAGERIDGE_OPERATOR_COMMANDLINE_H
#define BORAGERIDGE_OPERATOR_COMMANDLINE_H

#include "operator/ExitCode.h"

#include <ostream>
#include <string>
#include <vector>

namespace borageridge::operators {

/// Runs borageridgectl with its arguments (without the program's name).
/// Results go to one stream, notes and errors to the other.
ExitCode runCommandLine(const std::vector<std::string> &Arguments,
                        std::ostream &Results, std::ostream &Notes);

} // namespace borageridge::operators

#endif // BORAGERIDGE_OPERATOR_COMMANDLINE_H
