#include "database/ReplicateStream.h"

namespace borageridge::database {

namespace {

constexpr std::size_t EntriesPerRead = 64;

} // namespace

ReplicateStream *
ReplicateStream::open(ServerCore &Core,
                      const endpoint::ReplicateRequest &Request) {
  auto Stream = std::make_shared<ReplicateStream>(Core, Request);
  Stream->Self = Stream;
  ReplicateStream *const Result = Stream.get();
  Core.add(Stream);
  Stream->advance();
  return Result;
}

ReplicateStream::ReplicateStream(ServerCore &StreamCore,
                                 const endpoint::ReplicateRequest &Request)
    : Core(StreamCore), ServedTerm(Request.term()),
      Generation(Core.Switches.generation()), Sent(fromProto(Request.after())) {
}

void ReplicateStream::tick() {
  {
    const absl::MutexLock Lock(&Mutex);
    HeartbeatDue = true;
  }
  advance();
}

void ReplicateStream::OnWriteDone(bool Ok) {
  {
    const absl::MutexLock Lock(&Mutex);
    Writing = false;
    Broken = Broken || !Ok || Queue.front().diverged();
    if (Queue.front().has_position())
      Sent = fromProto(Queue.front().position());
    Queue.pop_front();
  }
  advance();
}

void ReplicateStream::OnCancel() {
  {
    const absl::MutexLock Lock(&Mutex);
    Broken = true;
  }
  advance();
}

void ReplicateStream::advance() {
  std::optional<grpc::Status> End;
  {
    const absl::MutexLock Lock(&Mutex);
    if (Writing || Finished)
      return;
    End = next();
    if (!End)
      return;
    Finished = true;
  }
  Finish(*End);
}

std::optional<grpc::Status> ReplicateStream::next() {
  if (Broken)
    return grpc::Status::OK;
  if (Core.Switches.down())
    return grpc::Status(grpc::StatusCode::UNAVAILABLE, "down");
  if (Core.Switches.cutOffFromMembers() ||
      Core.Switches.generation() != Generation)
    return std::nullopt;
  if (Queue.empty())
    if (auto End = fill())
      return End;
  if (Queue.empty())
    return std::nullopt;
  Writing = true;
  StartWrite(&Queue.front());
  return std::nullopt;
}

std::optional<grpc::Status> ReplicateStream::fill() {
  auto Entries = Core.member().entriesFor(ServedTerm, Sent, EntriesPerRead);
  if (!Entries.has_value())
    return grpc::Status(grpc::StatusCode::FAILED_PRECONDITION,
                        Entries.error().Detail);
  for (auto &Entry : Entries.value())
    Queue.push_back(std::move(Entry));
  if (Queue.empty() && HeartbeatDue)
    Queue.emplace_back().set_term(ServedTerm);
  HeartbeatDue = false;
  return std::nullopt;
}

} // namespace borageridge::database
