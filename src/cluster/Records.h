#ifndef BORAGERIDGE_CLUSTER_RECORDS_H
#define BORAGERIDGE_CLUSTER_RECORDS_H

#include "borageridge/Failure.h"
#include "borageridge/Types.h"
#include "cluster/Epoch.h"
#include "keyvalue/KeyValue.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace borageridge::cluster {

/// Keys that the daemons use in the key-value store.
constexpr std::string_view KeyPrefix = "borageridge/";
constexpr std::string_view GroupPrefix = "borageridge/groups/";
constexpr std::string_view DaemonPrefix = "borageridge/daemons/";
constexpr std::string_view PromoterKey = "borageridge/promoter";
constexpr std::string_view CounterPrefix = "borageridge/counters/";

/// A process of a member. One that starts again under the same id has another
/// incarnation.
struct Receiver {
  std::string Member;
  std::int64_t Incarnation = 0;

  friend bool operator==(const Receiver &, const Receiver &) = default;
  friend bool operator<(const Receiver &A, const Receiver &B) {
    return std::tie(A.Member, A.Incarnation) <
           std::tie(B.Member, B.Incarnation);
  }
};

/// The primary of a service, as agreed through the key-value store.
struct GroupRecord {
  /// The write of this record to the store. 0 if no record is known.
  cluster::Epoch Epoch = 0;
  Term PrimaryTerm = 0;
  std::string Primary;
  /// A primary change is in progress; no daemon may use the primary.
  bool Changing = false;
  /// Incarnation of the primary. Changes when it restarts without its log.
  std::int64_t PrimaryIncarnation = 0;
  /// The member for which a promotion was last called in the change in
  /// progress, or is about to be; empty if none. Its promotion may still take
  /// effect.
  std::string Candidate = {};
  /// Members whose promotion was called for, now or in an earlier change, and
  /// may still take effect although it was given up. While there are any other
  /// than the primary, its writes are acknowledged only once it is confirmed
  /// that none of them had taken over.
  std::vector<std::string> Unsettled = {};
  /// The coordinator that wrote this record, and its fencing token; for the log
  /// only. Empty and 0 in records of earlier versions.
  std::string Writer = {};
  cluster::Epoch WriterToken = 0;
  /// The processes that may have received commits of the primary which were
  /// acknowledged once enough replicas had received them; see
  /// docs/design/successor.md. Empty without synchronous replicas, and in
  /// records of earlier versions.
  std::vector<Receiver> Receivers = {};

  friend bool operator==(const GroupRecord &, const GroupRecord &) = default;
};

/// Encodes the era of the epoch, but not its revision, which is assigned when
/// the record is written.
std::string encode(const GroupRecord &Record);
/// A restored store still holds records of earlier eras, with the revisions
/// that they had, so their epochs do not change by the restore.
Expected<GroupRecord> decodeGroup(std::string_view Json,
                                  keyvalue::Revision Changed);

/// A daemon, which may use primaries while its entry exists.
struct DaemonRecord {
  std::string Name;
  std::string Ip;
  std::uint16_t PeerPort = 0;
  std::string AvailabilityZone;
  /// Unique for each start of the daemon.
  std::uint64_t Incarnation = 0;
  /// Processor share of the daemon in thousandths of a core.
  std::uint32_t ProcessorShare = DefaultProcessorShare;

  /// Of daemons whose entry does not state it.
  static constexpr std::uint32_t DefaultProcessorShare = 250;

  friend bool operator==(const DaemonRecord &, const DaemonRecord &) = default;
};

std::string encode(const DaemonRecord &Record);
Expected<DaemonRecord> decodeDaemon(std::string_view Json);

} // namespace borageridge::cluster

#endif // BORAGERIDGE_CLUSTER_RECORDS_H
