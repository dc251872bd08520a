#include "proxy/CallMetrics.h"

namespace borageridge::proxy {

namespace {

constexpr std::string_view DefaultClass = "default";

} // namespace

void CallMetrics::finished(const FinishedCall &Call) {
  const double Seconds = std::chrono::duration<double>(Call.Latency).count();
  Metrics.caller(Call.Caller).Observe(Seconds);
  Metrics.requestClass(Call.Class.empty() ? DefaultClass : Call.Class)
      .Observe(Seconds);
  if (Call.Refused != caller::REFUSAL_REASON_UNSPECIFIED)
    return Metrics.addRefusal(Call.Refused);
  if (Call.Kind == CallKind::Read)
    Metrics.database(Call.Database)
        .addRead(Call.Replica ? telemetry::ServedBy::Replica
                              : telemetry::ServedBy::Primary);
}

void CallMetrics::publish(const ControlPlane &Control) {
  Metrics.setTableVersion(Control.tableVersion());
  for (const auto &[Database, Figures] : Control.figures()) {
    telemetry::DatabaseMetrics &Group = Metrics.database(Database);
    Published &Before = Last[Database];
    Group.ServingTerm.Set(static_cast<double>(Figures.Term));
    Group.QueuedRequests.Set(static_cast<double>(Figures.Queued));
    Group.Retries.Increment(
        static_cast<double>(Figures.Retries - Before.Retries));
    Group.FailureChanges.Increment(
        static_cast<double>(Figures.Promotions - Before.Promotions));
    Before = {Figures.Retries, Figures.Promotions};
    for (const GroupFigures::Member &M : Figures.Members) {
      telemetry::MemberMetrics &Member = Metrics.member(Database, M.Name);
      Member.ConnectionsOpen.Set(M.Open);
      Member.ConnectionsInUse.Set(M.InUse);
    }
  }
}

} // namespace borageridge::proxy
