#ifndef BORAGERIDGE_CLUSTER_EPOCH_H
#define BORAGERIDGE_CLUSTER_EPOCH_H

#include "keyvalue/KeyValue.h"

#include <cstdint>

namespace borageridge::cluster {

/// Orders writes to the store, also across restores of the store: a write of a
/// later era has the higher epoch, whatever its revision. 0 means no write.
using Epoch = std::uint64_t;

/// Revisions use the lower bits.
constexpr unsigned RevisionBits = 40;
static_assert(keyvalue::LastRevision == (Epoch(1) << RevisionBits) - 1);
static_assert(keyvalue::LastEra <= keyvalue::Era(1) << (64 - RevisionBits));

/// Equals the revision in the first era.
constexpr Epoch makeEpoch(keyvalue::Era Era, keyvalue::Revision Revision) {
  return ((Era - keyvalue::FirstEra) << RevisionBits) + Revision;
}

constexpr keyvalue::Era eraOf(Epoch E) {
  return (E >> RevisionBits) + keyvalue::FirstEra;
}

constexpr keyvalue::Revision revisionOf(Epoch E) {
  return E & ((Epoch(1) << RevisionBits) - 1);
}

/// Whether the write was made in this era of the store.
constexpr bool isOfEra(Epoch E, keyvalue::Era Era) { return eraOf(E) == Era; }

} // namespace borageridge::cluster

#endif // BORAGERIDGE_CLUSTER_EPOCH_H
