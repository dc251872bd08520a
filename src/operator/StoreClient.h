#ifndef BORAGERIDGE_OPERATOR_STORECLIENT_H
#define BORAGERIDGE_OPERATOR_STORECLIENT_H

#include "store/EtcdStore.h"
#include "store/SwapConfirmation.h"

#include "record.pb.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace borageridge::operators {

/// A record of the store with its revision; revision 0 means absent.
template <typename Message> struct Stored {
  Message Value;
  std::int64_t Revision = 0;
};

/// Blocking calls of the store, for one command.
class StoreClient {
public:
  StoreClient(store::EtcdStoreOptions Options, Duration CallTimeout)
      : Service(std::move(Options)), Timeout(CallTimeout) {}

  /// Corrupt if the value is not a Message.
  template <typename Message> Expected<Stored<Message>> read(std::string Key);

  /// Recognises its own success after a lost answer.
  Expected<std::int64_t> swap(store::SwapPlan Plan);

private:
  Expected<StoreValue> readValue(std::string_view Key);

  store::EtcdStore Service;
  Duration Timeout;
};

template <typename Message>
Expected<Stored<Message>> StoreClient::read(std::string Key) {
  const Expected<StoreValue> Answer = readValue(Key);
  if (!Answer.has_value())
    return Answer.error();
  Stored<Message> Result;
  Result.Revision = Answer.value().Revision;
  if (!Result.Value.ParseFromString(Answer.value().Value))
    return Failure{FailureKind::Corrupt, "cannot decode " + Key};
  return Result;
}

/// An identifier that no other attempt has.
std::string newAttempt();

/// Whether an encoded Message carries an attempt identifier.
template <typename Message>
std::function<bool(std::string_view)> carriesAttempt(std::string Attempt) {
  return [Attempt = std::move(Attempt)](std::string_view Value) {
    Message Decoded;
    return Decoded.ParseFromArray(Value.data(),
                                  static_cast<int>(Value.size())) &&
           Decoded.attempt() == Attempt;
  };
}

} // namespace borageridge::operators

#endif // BORAGERIDGE_OPERATOR_STORECLIENT_H
