#ifndef BORAGERIDGE_LOAD_HISTORYWRITER_H
#define BORAGERIDGE_LOAD_HISTORYWRITER_H

#include "load/Runner.h"
#include "load/Scenario.h"

#include <ostream>

namespace borageridge::load {

/// Writes one JSON object a line for each request, for the analysis of a
/// violation. Times are milliseconds since the start of the run.
void writeHistory(std::ostream &Out, const Scenario &S, const RunHistory &Run);

} // namespace borageridge::load

#endif // BORAGERIDGE_LOAD_HISTORYWRITER_H
