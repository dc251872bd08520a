#ifndef BORAGERIDGE_STORE_STOREFIXTURE_H
#define BORAGERIDGE_STORE_STOREFIXTURE_H

#include "standins/store/StoreServer.h"
#include "standins/support/ServerOptions.h"
#include "store/EtcdStore.h"

#include <cppunit/extensions/HelperMacros.h>
#include <grpcpp/security/credentials.h>

#include <future>
#include <string>
#include <vector>

namespace borageridge::store {

/// A stand-in store in this process, on a free port of the loopback.
struct StoreFixture {
  explicit StoreFixture(const standins::StoreLimits &Limits = {})
      : Service(Limits) {
    auto Started =
        standins::startServer("127.0.0.1:0", grpc::InsecureServerCredentials(),
                              {&Service.keyValue(), &Service.watch()});
    CPPUNIT_ASSERT(Started.has_value());
    Running = std::move(Started).value();
  }
  ~StoreFixture() {
    Running.Server->Shutdown(std::chrono::system_clock::now());
  }
  StoreFixture(const StoreFixture &) = delete;
  StoreFixture &operator=(const StoreFixture &) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Running.Port);
  }

  void set(const std::function<void(control::Faults &)> &Change) {
    control::Faults Faults;
    Change(Faults);
    Service.setFaults(Faults);
  }

  std::uint64_t counter(const std::string &Name) {
    const control::Counters All = Service.counters();
    const auto Found = All.counters().find(Name);
    return Found == All.counters().end() ? 0 : Found->second;
  }

  standins::StoreServer Service;
  standins::RunningServer Running;
};

inline EtcdStoreOptions optionsFor(std::vector<std::string> Addresses) {
  EtcdStoreOptions Options;
  Options.Addresses = std::move(Addresses);
  Options.Prefix = "/test/";
  Options.Credentials = grpc::InsecureChannelCredentials();
  return Options;
}

constexpr Duration CallTimeout = std::chrono::milliseconds(500);

inline Expected<StoreValue> readNow(EtcdStore &Store, std::string_view Key,
                                    Duration Timeout = CallTimeout) {
  std::promise<Expected<StoreValue>> Result;
  Store.read(Key, Timeout, [&](Expected<StoreValue> Answer) {
    Result.set_value(std::move(Answer));
  });
  return Result.get_future().get();
}

inline Expected<std::int64_t> swapNow(EtcdStore &Store, std::string_view Key,
                                      std::int64_t Revision,
                                      const std::string &Value,
                                      Duration Timeout = CallTimeout) {
  std::promise<Expected<std::int64_t>> Result;
  const std::vector<StoreWrite> Writes = {{std::string(Key), Value}};
  Store.compareAndSwap(Key, Revision, Writes, Timeout,
                       [&](Expected<std::int64_t> Answer) {
                         Result.set_value(std::move(Answer));
                       });
  return Result.get_future().get();
}

} // namespace borageridge::store

#endif // BORAGERIDGE_STORE_STOREFIXTURE_H
