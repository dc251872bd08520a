#include "store/StoreFixture.h"

#include <condition_variable>
#include <mutex>

namespace borageridge::store {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Collects the changes of one watch.
class Collector {
public:
  WatchCallback callback() {
    return [this](Expected<StoreChange> Change) {
      const std::lock_guard Lock(Mutex);
      if (Change.has_value())
        Changes.push_back(Change.value());
      else
        ++Failures;
      Arrived.notify_all();
    };
  }

  // Waits until the last value is Value; returns all values so far.
  std::vector<std::string> until(const std::string &Value,
                                 Duration Limit = seconds(10)) {
    std::unique_lock Lock(Mutex);
    const bool Reached = Arrived.wait_for(Lock, Limit, [&] {
      return !Changes.empty() && Changes.back().Value.Value == Value;
    });
    CPPUNIT_ASSERT_MESSAGE("no change to " + Value, Reached);
    std::vector<std::string> Values;
    for (const StoreChange &Change : Changes)
      Values.push_back(Change.Value.Value);
    return Values;
  }

  bool ordered() {
    const std::lock_guard Lock(Mutex);
    for (std::size_t I = 1; I < Changes.size(); ++I)
      if (Changes[I].Value.Revision <= Changes[I - 1].Value.Revision)
        return false;
    return true;
  }

  std::size_t size() {
    const std::lock_guard Lock(Mutex);
    return Changes.size();
  }

  std::vector<StoreChange> Changes;
  int Failures = 0;

private:
  std::mutex Mutex;
  std::condition_variable Arrived;
};

class EtcdWatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EtcdWatchTest);
  CPPUNIT_TEST(watchFromZeroReportsThePresentValueAndThenChanges);
  CPPUNIT_TEST(watchFromARevisionReportsOnlyLaterChanges);
  CPPUNIT_TEST(watchOfAPrefixReportsAllKeysBelowIt);
  CPPUNIT_TEST(watchResumesAfterAnOutageWithoutLosingChanges);
  CPPUNIT_TEST(watchFindsChangesThatASilentStreamHides);
  CPPUNIT_TEST(watchReadsAgainAfterACompaction);
  CPPUNIT_TEST(replacedStreamsNeitherRepeatNorReorderChanges);
  CPPUNIT_TEST(noCallbackRunsAfterTheHandleIsDestroyed);
  CPPUNIT_TEST(handleMayBeDestroyedInItsOwnCallback);
  CPPUNIT_TEST(watchOutlivesItsStoreWithoutCallbacks);
  CPPUNIT_TEST_SUITE_END();

  StoreFixture Server;
  EtcdStore Store{fastOptions(Server.address())};
  Collector Seen;

  static EtcdStoreOptions fastOptions(const std::string &Address) {
    EtcdStoreOptions Options = optionsFor({Address});
    Options.Watches.Lifetime = milliseconds(300);
    Options.Watches.CallTimeout = milliseconds(200);
    Options.Watches.MinBackoff = milliseconds(10);
    Options.Watches.MaxBackoff = milliseconds(100);
    return Options;
  }

  std::int64_t put(const std::string &Key, const std::string &Value) {
    const auto Present = readNow(Store, Key, seconds(2));
    CPPUNIT_ASSERT(Present.has_value());
    const auto Done =
        swapNow(Store, Key, Present.value().Revision, Value, seconds(2));
    CPPUNIT_ASSERT(Done.has_value());
    return Done.value();
  }

  void watchFromZeroReportsThePresentValueAndThenChanges() {
    put("k", "1");
    const auto Watch = Store.watch("k", 0, Seen.callback());
    Seen.until("1");
    put("k", "2");
    const auto Values = Seen.until("2");
    CPPUNIT_ASSERT((Values == std::vector<std::string>{"1", "2"}));
    CPPUNIT_ASSERT_EQUAL(std::string("k"), Seen.Changes[0].Key);
  }

  void watchFromARevisionReportsOnlyLaterChanges() {
    put("k", "1");
    const std::int64_t Second = put("k", "2");
    put("k", "3");
    const auto Watch = Store.watch("k", Second, Seen.callback());
    const auto Values = Seen.until("3");
    CPPUNIT_ASSERT((Values == std::vector<std::string>{"3"}));
  }

  void watchOfAPrefixReportsAllKeysBelowIt() {
    put("group/a", "1");
    const auto Watch = Store.watch("group/", 0, Seen.callback());
    Seen.until("1");
    put("other", "2");
    put("group/b", "3");
    const auto Values = Seen.until("3");
    CPPUNIT_ASSERT((Values == std::vector<std::string>{"1", "3"}));
  }

  void watchResumesAfterAnOutageWithoutLosingChanges() {
    const auto Watch = Store.watch("k", 0, Seen.callback());
    put("k", "1");
    Seen.until("1");
    Server.set([](control::Faults &F) { F.set_down(true); });
    std::this_thread::sleep_for(milliseconds(300));
    Server.set([](control::Faults &F) { F.set_down(false); });
    put("k", "2");
    put("k", "3");
    const auto Values = Seen.until("3");
    CPPUNIT_ASSERT((Values == std::vector<std::string>{"1", "2", "3"}));
  }

  // Guards against a table change that stays unseen on a dead TCP path.
  void watchFindsChangesThatASilentStreamHides() {
    const auto Watch = Store.watch("k", 0, Seen.callback());
    put("k", "1");
    Seen.until("1");
    Server.set(
        [](control::Faults &F) { F.set_silence_open_connections(true); });
    put("k", "2");
    const auto Values = Seen.until("2", seconds(3));
    CPPUNIT_ASSERT((Values == std::vector<std::string>{"1", "2"}));
  }

  void watchReadsAgainAfterACompaction() {
    const std::int64_t First = put("k", "1");
    put("k", "2");
    put("k", "3");
    Server.Service.compact();
    const auto Watch = Store.watch("k", First, Seen.callback());
    const auto Values = Seen.until("3");
    CPPUNIT_ASSERT((Values == std::vector<std::string>{"3"}));
    put("k", "4");
    Seen.until("4");
  }

  void replacedStreamsNeitherRepeatNorReorderChanges() {
    const auto Watch = Store.watch("k", 0, Seen.callback());
    for (int I = 0; I < 40; ++I) {
      put("k", std::to_string(I));
      std::this_thread::sleep_for(milliseconds(25));
      if (I % 10 == 5)
        Server.Service.compact();
    }
    Seen.until("39");
    CPPUNIT_ASSERT(Seen.ordered());
    CPPUNIT_ASSERT(Server.counter("watch") > 2);
    CPPUNIT_ASSERT_EQUAL(0, Seen.Failures);
  }

  void noCallbackRunsAfterTheHandleIsDestroyed() {
    auto Watch = Store.watch("k", 0, Seen.callback());
    put("k", "1");
    Seen.until("1");
    Watch.reset();
    put("k", "2");
    std::this_thread::sleep_for(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Seen.size());
  }

  void handleMayBeDestroyedInItsOwnCallback() {
    put("group/a", "1");
    put("group/b", "2");
    std::promise<void> Ready;
    const std::shared_future<void> IsReady = Ready.get_future().share();
    std::unique_ptr<EtcdStore::Watch> Watch;
    std::promise<void> Destroyed;
    int Calls = 0;
    Watch = Store.watch("group/", 0, [&](Expected<StoreChange>) {
      IsReady.wait();
      ++Calls;
      Watch.reset();
      Destroyed.set_value();
    });
    Ready.set_value();
    Destroyed.get_future().wait();
    std::this_thread::sleep_for(milliseconds(50));
    CPPUNIT_ASSERT_EQUAL(1, Calls);
  }

  void watchOutlivesItsStoreWithoutCallbacks() {
    std::unique_ptr<EtcdStore::Watch> Watch;
    {
      EtcdStore Short(fastOptions(Server.address()));
      Watch = Short.watch("k", 0, Seen.callback());
      put("k", "1");
      Seen.until("1");
    }
    put("k", "2");
    std::this_thread::sleep_for(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Seen.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EtcdWatchTest);

} // namespace
} // namespace borageridge::store
