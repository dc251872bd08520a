#ifndef BORAGERIDGE_STANDINS_INSTANCES_INSTANCESERVER_H
#define BORAGERIDGE_STANDINS_INSTANCES_INSTANCESERVER_H

#include "borageridge/Types.h"
#include "standins/support/FaultSwitch.h"

#include "control.pb.h"
#include "instances.pb.h"

#include <grpcpp/impl/service_type.h>

#include <chrono>
#include <deque>
#include <memory>
#include <mutex>

namespace borageridge::standins {

/// A list whose changes become visible after a lag. Not thread-safe.
class LaggingList {
public:
  /// The first list is visible at once.
  explicit LaggingList(const control::InstanceSet &Initial);

  void set(const control::InstanceSet &Instances, Duration Lag, Time Now);
  const instances::ListReply &visible(Time Now);

private:
  struct Change {
    Time VisibleAt;
    instances::ListReply List;
  };

  instances::ListReply Visible;
  std::uint64_t LastVersion = 1;
  std::deque<Change> Pending;
};

/// The InstanceListService and the ControlService over one LaggingList. Must
/// outlive the servers that use the services. Counter: list.
class InstanceServer {
public:
  explicit InstanceServer(const control::InstanceSet &Initial);
  ~InstanceServer();

  grpc::Service &list() { return *List; }
  grpc::Service &control() { return *Control; }

  /// For tests in the same process.
  void setFaults(const control::Faults &Change) { Faults.set(Change); }
  void setInstances(const control::InstanceSet &Instances);
  control::Counters counters() const { return Faults.counters(); }
  instances::ListReply visible();
  FaultSwitch &faults() { return Faults; }

private:
  FaultSwitch Faults;
  std::mutex Mutex;
  LaggingList Instances;
  std::unique_ptr<grpc::Service> List;
  std::unique_ptr<grpc::Service> Control;
};

} // namespace borageridge::standins

#endif // BORAGERIDGE_STANDINS_INSTANCES_INSTANCESERVER_H
