#include "database/Replicator.h"

#include "endpoint.grpc.pb.h"

namespace borageridge::database {

namespace {

constexpr std::chrono::milliseconds RetryInterval{50};
constexpr std::chrono::milliseconds LagPoll{2};
constexpr std::chrono::milliseconds IdlePoll{100};
// The primary sends a heartbeat every 200 ms.
constexpr std::chrono::milliseconds SilenceLimit{1000};
constexpr std::size_t AppendBatch = 64;
constexpr std::size_t MaxQueuedEntries = 10000;

Time now() { return std::chrono::steady_clock::now(); }

std::shared_ptr<grpc::Channel>
openChannel(const std::string &Address,
            const std::shared_ptr<grpc::ChannelCredentials> &Credentials) {
  grpc::ChannelArguments Arguments;
  Arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  Arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  Arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  return grpc::CreateCustomChannel(Address, Credentials, Arguments);
}

} // namespace

Replicator::Replicator(
    ServerCore &MemberCore,
    std::shared_ptr<grpc::ChannelCredentials> PrimaryCredentials)
    : Core(MemberCore), Credentials(std::move(PrimaryCredentials)),
      FetchThread([this] { runFetch(); }),
      AppendThread([this] { runAppend(); }) {}

Replicator::~Replicator() {
  {
    const absl::MutexLock Lock(&Mutex);
    Stopping = true;
    Wake = true;
    if (Active != nullptr)
      Active->TryCancel();
  }
  FetchThread.join();
  AppendThread.join();
}

void Replicator::changed() {
  const auto Primary = Core.member().followed();
  const absl::MutexLock Lock(&Mutex);
  Wake = true;
  if (Active == nullptr)
    return;
  if (Primary != ActivePrimary || Core.Switches.cutOffFromMembers() ||
      now() - LastHeard > SilenceLimit)
    Active->TryCancel();
}

void Replicator::runFetch() {
  while (true) {
    const auto Primary = Core.member().followed();
    if (Primary && !Core.Switches.cutOffFromMembers())
      fetchFrom(*Primary);
    const absl::MutexLock Lock(&Mutex);
    Mutex.AwaitWithTimeout(absl::Condition(&Wake),
                           absl::FromChrono(RetryInterval));
    Wake = false;
    if (Stopping)
      return;
  }
}

void Replicator::fetchFrom(const FollowedPrimary &Primary) {
  grpc::ClientContext Context;
  endpoint::ReplicateRequest Request;
  Request.set_term(Primary.ServedTerm);
  {
    const absl::MutexLock Lock(&Mutex);
    if (Stopping)
      return;
    const auto Idle = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex) {
      return !Appending;
    };
    Mutex.Await(absl::Condition(&Idle));
    Queue.clear();
    Active = &Context;
    ActivePrimary = Primary;
    LastHeard = now();
  }
  *Request.mutable_after() = toProto(Core.member().received());
  const auto Stub = endpoint::EndpointService::NewStub(
      openChannel(Primary.Address, Credentials));
  const auto Reader = Stub->Replicate(&Context, Request);
  endpoint::LogEntry Entry;
  while (Reader->Read(&Entry))
    if (!accept(Primary, std::move(Entry)))
      break;
  {
    const absl::MutexLock Lock(&Mutex);
    Active = nullptr;
  }
  Context.TryCancel();
  Reader->Finish();
}

bool Replicator::accept(const FollowedPrimary &Primary,
                        endpoint::LogEntry Entry) {
  if (Entry.term() != Primary.ServedTerm || Core.Switches.cutOffFromMembers())
    return false;
  if (Entry.diverged()) {
    Core.member().discardAfter(Primary.ServedTerm, fromProto(Entry.position()));
    return false;
  }
  const absl::MutexLock Lock(&Mutex);
  LastHeard = now();
  if (Entry.has_position())
    Queue.emplace_back(std::move(Entry), LastHeard);
  const auto Room = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex) {
    return Stopping || Queue.size() < MaxQueuedEntries;
  };
  Mutex.Await(absl::Condition(&Room));
  return !Stopping;
}

bool Replicator::due() const {
  return !Queue.empty() &&
         Queue.front().second + Core.Switches.receiveLag() <= now();
}

void Replicator::runAppend() {
  while (true) {
    std::vector<endpoint::LogEntry> Entries;
    Term ServedTerm = 0;
    {
      const absl::MutexLock Lock(&Mutex);
      const auto Ready = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(Mutex) {
        return Stopping || due();
      };
      while (!Ready())
        Mutex.AwaitWithTimeout(
            absl::Condition(&Ready),
            absl::FromChrono(Queue.empty() ? IdlePoll : LagPoll));
      if (Stopping)
        return;
      while (due() && Entries.size() < AppendBatch) {
        Entries.push_back(std::move(Queue.front().first));
        Queue.pop_front();
      }
      ServedTerm = ActivePrimary.ServedTerm;
      Appending = true;
    }
    const bool Accepted = Core.member().receive(ServedTerm, Entries, now());
    const absl::MutexLock Lock(&Mutex);
    Appending = false;
    // After a refusal the stream starts again from the last entry here.
    if (!Accepted && Active != nullptr)
      Active->TryCancel();
  }
}

} // namespace borageridge::database
