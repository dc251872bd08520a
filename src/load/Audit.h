#ifndef BORAGERIDGE_LOAD_AUDIT_H
#define BORAGERIDGE_LOAD_AUDIT_H

#include "borageridge/Failure.h"
#include "load/CallerClient.h"
#include "load/History.h"
#include "load/Scenario.h"

#include <string>

namespace borageridge::load {

/// Creates the tables and registers of a run in every database. Returns the
/// session token that covers these writes; a session that starts with it sees
/// all registers.
Expected<std::string> prepareDatabases(CallerClient &Client, const Scenario &S,
                                       const std::string &Run);

/// Reads all registers and job counts of a run back from the primaries.
Expected<FinalState> readFinalState(CallerClient &Client, const Scenario &S,
                                    const std::string &Run);

} // namespace borageridge::load

#endif // BORAGERIDGE_LOAD_AUDIT_H
