#include "standins/store/MemoryStore.h"

#include <algorithm>
#include <optional>
#include <set>

namespace borageridge::standins {

using etcdserverpb::Compare;
using etcdserverpb::DeleteRangeRequest;
using etcdserverpb::DeleteRangeResponse;
using etcdserverpb::Event;
using etcdserverpb::KeyValue;
using etcdserverpb::PutRequest;
using etcdserverpb::PutResponse;
using etcdserverpb::RangeRequest;
using etcdserverpb::RangeResponse;
using etcdserverpb::RequestOp;
using etcdserverpb::TxnRequest;
using etcdserverpb::TxnResponse;

std::string_view name(StoreError Error) {
  switch (Error) {
  case StoreError::Compacted:
    return "required revision has been compacted";
  case StoreError::FutureRevision:
    return "required revision is a future revision";
  case StoreError::TooLarge:
    return "request is too large";
  case StoreError::DuplicateKey:
    return "duplicate key given in txn request";
  }
  return "unknown";
}

bool inRange(std::string_view Key, std::string_view RangeKey,
             std::string_view RangeEnd) {
  if (RangeEnd.empty())
    return Key == RangeKey;
  const bool Unbounded = RangeEnd == std::string_view("\0", 1);
  return Key >= RangeKey && (Unbounded || Key < RangeEnd);
}

Expected<RangeResponse, StoreError>
MemoryStore::range(const RangeRequest &Request) const {
  if (Request.revision() > Revision)
    return StoreError::FutureRevision;
  if (Request.revision() > 0 && Request.revision() < Compacted)
    return StoreError::Compacted;
  RangeResponse Reply;
  Reply.mutable_header()->set_revision(Revision);
  const bool Past = Request.revision() > 0 && Request.revision() < Revision;
  const auto Old =
      Past ? stateAt(Request.revision()) : std::map<std::string, KeyValue>();
  for (const auto &[Key, Entry] : Past ? Old : Live) {
    if (!inRange(Key, Request.key(), Request.range_end()))
      continue;
    Reply.set_count(Reply.count() + 1);
    const bool Full =
        Request.limit() > 0 && Reply.kvs_size() >= Request.limit();
    Reply.set_more(Reply.more() || Full);
    if (Full || Request.count_only())
      continue;
    KeyValue *Out = Reply.add_kvs();
    *Out = Entry;
    if (Request.keys_only())
      Out->clear_value();
  }
  return Reply;
}

// Undoes the changes after the given revision, newest first.
std::map<std::string, KeyValue> MemoryStore::stateAt(std::int64_t At) const {
  std::map<std::string, KeyValue> State = Live;
  for (auto C = Log.rbegin();
       C != Log.rend() && C->Now.kv().mod_revision() > At; ++C) {
    if (C->Before.mod_revision() == 0)
      State.erase(C->Now.kv().key());
    else
      State[C->Now.kv().key()] = C->Before;
  }
  return State;
}

Expected<PutResponse, StoreError> MemoryStore::put(const PutRequest &Request) {
  if (Request.value().size() > MaxValueBytes)
    return StoreError::TooLarge;
  PutResponse Reply;
  const auto Present = Live.find(Request.key());
  if (Request.prev_kv() && Present != Live.end())
    *Reply.mutable_prev_kv() = Present->second;
  putAt(Request, Revision + 1);
  finishRevision(Revision + 1);
  Reply.mutable_header()->set_revision(Revision);
  return Reply;
}

DeleteRangeResponse
MemoryStore::deleteRange(const DeleteRangeRequest &Request) {
  DeleteRangeResponse Reply;
  Reply.set_deleted(deleteAt(Request, Revision + 1));
  if (Reply.deleted() > 0)
    finishRevision(Revision + 1);
  Reply.mutable_header()->set_revision(Revision);
  return Reply;
}

Expected<TxnResponse, StoreError> MemoryStore::txn(const TxnRequest &Request) {
  if (const auto Error = check(Request.success()))
    return *Error;
  if (const auto Error = check(Request.failure()))
    return *Error;
  TxnResponse Reply;
  Reply.set_succeeded(
      std::all_of(Request.compare().begin(), Request.compare().end(),
                  [this](const Compare &C) { return holds(C); }));
  run(Reply.succeeded() ? Request.success() : Request.failure(), Reply);
  Reply.mutable_header()->set_revision(Revision);
  return Reply;
}

std::optional<StoreError> MemoryStore::check(const Operations &Steps) const {
  std::set<std::string> Keys;
  for (const RequestOp &Step : Steps) {
    if (!Step.has_request_put())
      continue;
    if (Step.request_put().value().size() > MaxValueBytes)
      return StoreError::TooLarge;
    if (!Keys.insert(Step.request_put().key()).second)
      return StoreError::DuplicateKey;
  }
  return std::nullopt;
}

void MemoryStore::run(const Operations &Steps, TxnResponse &Reply) {
  const std::int64_t Next = Revision + 1;
  bool Changed = false;
  for (const RequestOp &Step : Steps) {
    auto *Out = Reply.add_responses();
    if (Step.has_request_put()) {
      putAt(Step.request_put(), Next);
      Out->mutable_response_put();
      Changed = true;
    } else if (Step.has_request_delete_range()) {
      const std::int64_t Deleted = deleteAt(Step.request_delete_range(), Next);
      Out->mutable_response_delete_range()->set_deleted(Deleted);
      Changed = Changed || Deleted > 0;
    } else {
      const auto Result = range(Step.request_range());
      if (Result.has_value())
        *Out->mutable_response_range() = Result.value();
    }
  }
  if (Changed)
    finishRevision(Next);
}

template <typename Value>
static bool compare(Compare::CompareResult Wanted, const Value &A,
                    const Value &B) {
  switch (Wanted) {
  case Compare::EQUAL:
    return A == B;
  case Compare::GREATER:
    return A > B;
  case Compare::LESS:
    return A < B;
  default:
    return A != B;
  }
}

bool MemoryStore::holds(const Compare &Condition) const {
  const auto Found = Live.find(Condition.key());
  const KeyValue Entry = Found == Live.end() ? KeyValue() : Found->second;
  switch (Condition.target()) {
  case Compare::VERSION:
    return compare(Condition.result(), Entry.version(), Condition.version());
  case Compare::CREATE:
    return compare(Condition.result(), Entry.create_revision(),
                   Condition.create_revision());
  case Compare::MOD:
    return compare(Condition.result(), Entry.mod_revision(),
                   Condition.mod_revision());
  case Compare::VALUE:
    return Found != Live.end() &&
           compare(Condition.result(), Entry.value(), Condition.value());
  default:
    return compare(Condition.result(), Entry.lease(), Condition.lease());
  }
}

void MemoryStore::putAt(const PutRequest &Request, std::int64_t At) {
  KeyValue &Entry = Live[Request.key()];
  Change Done;
  Done.Before = Entry;
  Entry.set_key(Request.key());
  Entry.set_value(Request.value());
  Entry.set_mod_revision(At);
  Entry.set_version(Entry.version() + 1);
  if (Entry.create_revision() == 0)
    Entry.set_create_revision(At);
  *Done.Now.mutable_kv() = Entry;
  Log.push_back(std::move(Done));
}

std::int64_t MemoryStore::deleteAt(const DeleteRangeRequest &Request,
                                   std::int64_t At) {
  std::int64_t Deleted = 0;
  for (auto Entry = Live.begin(); Entry != Live.end();) {
    if (!inRange(Entry->first, Request.key(), Request.range_end())) {
      ++Entry;
      continue;
    }
    Change Done;
    Done.Before = Entry->second;
    Done.Now.set_type(Event::DELETE);
    Done.Now.mutable_kv()->set_key(Entry->first);
    Done.Now.mutable_kv()->set_mod_revision(At);
    Log.push_back(std::move(Done));
    Entry = Live.erase(Entry);
    ++Deleted;
  }
  return Deleted;
}

void MemoryStore::finishRevision(std::int64_t At) {
  Revision = At;
  if (Revision - Keep > Compacted)
    compact(Revision - Keep);
}

void MemoryStore::compact(std::int64_t UpTo) {
  Compacted = std::max(Compacted, std::min(UpTo, Revision));
  while (!Log.empty() && Log.front().Now.kv().mod_revision() <= Compacted)
    Log.pop_front();
}

Expected<std::vector<Event>, StoreError>
MemoryStore::changes(std::string_view Key, std::string_view End,
                     std::int64_t From) const {
  if (From <= Compacted)
    return StoreError::Compacted;
  std::vector<Event> Found;
  for (const Change &C : Log)
    if (C.Now.kv().mod_revision() >= From &&
        inRange(C.Now.kv().key(), Key, End))
      Found.push_back(C.Now);
  return Found;
}

} // namespace borageridge::standins
