// Requests of sessions, and description of the state.

#include "dispatch/testing/GroupSimulation.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace borageridge::dispatch::testing {

std::vector<std::string> GroupSimulation::describe() const {
  std::vector<std::string> Lines{
      absl::StrCat("store: ", StoredRecord.Record.ShortDebugString())};
  for (const FakeMember &Member : Members)
    Lines.push_back(absl::StrCat(
        "member ", Member.Name, ": ", Member.status().ShortDebugString(),
        " follows ", Member.Primary, "@", Member.FollowedTerm));
  for (int P = 0; P < ProxyCount; ++P) {
    if (!Proxies[P].Engine)
      continue;
    admin::GroupStatus Status;
    Proxies[P].Engine->describe(Status, Now);
    Lines.push_back(absl::StrCat(absl::StrCat("proxy-", P), ": in flight ",
                                 Proxies[P].Engine->inFlight(), ", ",
                                 Status.ShortDebugString()));
  }
  return Lines;
}

void GroupSimulation::execute(int Proxy, RequestContext Context,
                              caller::ExecuteRequest Message,
                              ReplyCallback OnReply) {
  Proxies[Proxy].Waiting[Context.Id] = std::move(OnReply);
  atNode(FirstProxy + Proxy, Now + delay(),
         [this, Proxy, Context = std::move(Context),
          Message = std::move(Message)]() {
           post(Proxy, [&](GroupEngine &G, Actions &Out) {
             G.execute(Context, Message, Now, Out);
           });
         });
}

void GroupSimulation::lookUp(int Proxy, RequestContext Context,
                             caller::LookUpRequest Message,
                             ReplyCallback OnReply) {
  Proxies[Proxy].Waiting[Context.Id] = std::move(OnReply);
  atNode(FirstProxy + Proxy, Now + delay(),
         [this, Proxy, Context = std::move(Context),
          Message = std::move(Message)]() {
           post(Proxy, [&](GroupEngine &G, Actions &Out) {
             G.lookUp(Context, Message, Now, Out);
           });
         });
}

void GroupSimulation::begin(int Proxy, RequestContext Context,
                            caller::TransactBegin Message,
                            ReplyCallback OnReply) {
  Proxies[Proxy].Waiting[Context.Id] = std::move(OnReply);
  atNode(FirstProxy + Proxy, Now + delay(),
         [this, Proxy, Context = std::move(Context),
          Message = std::move(Message)]() {
           post(Proxy, [&](GroupEngine &G, Actions &Out) {
             G.beginTransaction(Context, Message, Now, Out);
           });
         });
}

void GroupSimulation::step(int Proxy, RequestId Id,
                           caller::TransactRequest Message) {
  atNode(FirstProxy + Proxy, Now + delay(),
         [this, Proxy, Id, Message = std::move(Message)]() {
           post(Proxy, [&](GroupEngine &G, Actions &Out) {
             G.continueTransaction(Id, Message, Now, Out);
           });
         });
}

int GroupSimulation::randomLiveProxy() {
  const int First = static_cast<int>(randomBelow(ProxyCount));
  for (int I = 0; I < ProxyCount; ++I) {
    const int Proxy = (First + I) % ProxyCount;
    if (Nodes[FirstProxy + Proxy].Up)
      return Proxy;
  }
  return First;
}

} // namespace borageridge::dispatch::testing
