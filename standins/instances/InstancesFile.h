#ifndef BORAGERIDGE_STANDINS_INSTANCES_INSTANCESFILE_H
#define BORAGERIDGE_STANDINS_INSTANCES_INSTANCESFILE_H

#include "borageridge/Failure.h"

#include "control.pb.h"

#include <string_view>

namespace borageridge::standins {

/// Parses an initial list: one [[instance]] row with name, address,
/// availability_zone, kind ("proxy" or "endpoint"), and optionally state
/// ("live" or "leaving") and database. Errors name the line.
Expected<control::InstanceSet> parseInstances(std::string_view Text);

} // namespace borageridge::standins

#endif // BORAGERIDGE_STANDINS_INSTANCES_INSTANCESFILE_H
