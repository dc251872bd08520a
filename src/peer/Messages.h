#ifndef BORAGERIDGE_PEER_MESSAGES_H
#define BORAGERIDGE_PEER_MESSAGES_H

#include "borageridge/Failure.h"
#include "borageridge/Types.h"
#include "peer/Frame.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace borageridge::peer {

/// Asks for a report of the peer's state.
struct ExchangeRequest {
  /// Name of the daemon that asks.
  std::string From;
};

/// The record of a service as it is stored, and its store revision.
struct EncodedRecord {
  std::string Service;
  std::uint64_t Epoch = 0;
  std::string Record;
};

/// Tells of a new record.
struct RecordNotice {
  EncodedRecord Newer;
};

/// Asks to end the use of the primary of an epoch.
struct RelinquishRequest {
  EncodedRecord Newer;
  std::uint64_t EndsEpoch = 0;
};

/// A request to the store on behalf of the sender.
struct RelayRequest {
  std::string Method;
  std::string Target;
  std::string Body;
  Duration Limit{};
};

/// Asks the holder of a counter for operations of an organisation.
struct QuotaRequest {
  std::uint64_t Counter = 0;
  std::string Organisation;
  std::uint32_t Wanted = 0;
};

using Request = std::variant<ExchangeRequest, RecordNotice, RelinquishRequest,
                             RelayRequest, QuotaRequest>;

/// How long a primary has not answered.
struct Silence {
  Duration Elapsed{};
  /// Whether it refuses connections rather than being silent.
  bool Refused = false;
};

/// A position that a primary is known to have had.
struct PositionSample {
  std::uint64_t LogEpoch = 0;
  /// Time between the question that the primary answered and the report.
  Duration Age{};
  Term EntryTerm{};
  LogIndex Index{};
};

/// What a connection holder knows of one service.
struct GroupReport {
  EncodedRecord Record;
  std::string Primary;
  std::optional<Silence> PrimarySilence;
  std::optional<PositionSample> Sample;
};

/// The reply to an ExchangeRequest.
struct StateReport {
  std::vector<GroupReport> Groups;
  /// Number of statements in flight, by member.
  std::map<std::string, std::uint32_t> InFlight;
  /// Members at which the peer lacks connections of its share.
  std::vector<std::string> StarvedMembers;
  std::uint64_t ConfigVersion = 0;
  /// How long before the report that version is known to have been the newest.
  /// Stated only if keys can be revoked.
  std::optional<Duration> ConfigAge;
  bool ReachesStore = false;
};

/// The reply to a RelayRequest.
struct RelayReply {
  /// Status of the store's response; empty if there was none.
  std::optional<unsigned> Status;
  std::string Body;
  /// Without a response: whether the store has certainly not executed the
  /// request.
  bool NotExecuted = false;
  /// Era in which the store answered; 0 if it did not state it.
  std::uint64_t StoreEra = 0;
};

/// The reply to a QuotaRequest.
struct QuotaReply {
  /// Whether the sender holds the counter and knows the organisation's limit.
  bool IsHolder = false;
  std::uint32_t Granted = 0;
};

/// Messages that are not decodable return Corrupt and name the field. Fields
/// that are absent have the value zero; unknown fields are ignored. Durations
/// outside of zero to one hour are not accepted.
Expected<Request> decodeRequest(const Message &Content);
Expected<StateReport> decodeReport(const Message &Content);
Expected<RelayReply> decodeRelayReply(const Message &Content);
Expected<QuotaReply> decodeQuotaReply(const Message &Content);
/// Whether a peer has ended the use of a primary.
bool decodeRelinquished(const Message &Content);

Message encode(const ExchangeRequest &Asked);
Message encode(const RecordNotice &Notice);
Message encode(const RelinquishRequest &Asked);
Message encode(const RelayRequest &Asked);
Message encode(const QuotaRequest &Asked);
Message encode(const QuotaReply &Reply);
Message encode(const StateReport &Report);
Message encode(const RelayReply &Reply);
Message encodeRelinquished();

} // namespace borageridge::peer

#endif // BORAGERIDGE_PEER_MESSAGES_H
