#include "operator/StoreClient.h"

#include <absl/random/random.h>
#include <absl/strings/str_format.h>

#include <future>

namespace borageridge::operators {

Expected<StoreValue> StoreClient::readValue(std::string_view Key) {
  std::promise<Expected<StoreValue>> Result;
  Service.read(Key, Timeout, [&Result](Expected<StoreValue> Answer) {
    Result.set_value(std::move(Answer));
  });
  return Result.get_future().get();
}

Expected<std::int64_t> StoreClient::swap(store::SwapPlan Plan) {
  Plan.Timeout = Timeout;
  std::promise<Expected<std::int64_t>> Result;
  store::confirmSwap(Service, std::move(Plan),
                     [&Result](Expected<std::int64_t> Answer) {
                       Result.set_value(std::move(Answer));
                     });
  return Result.get_future().get();
}

std::string newAttempt() {
  absl::BitGen Random;
  return absl::StrFormat("%016x%016x", absl::Uniform<std::uint64_t>(Random),
                         absl::Uniform<std::uint64_t>(Random));
}

} // namespace borageridge::operators
