#include "heatherlatch/entry/probe_runner.h"

#include <set>

namespace heatherlatch {
namespace {

constexpr auto kTick = std::chrono::milliseconds(100);
constexpr auto kProbeTimeout = std::chrono::milliseconds(500);

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

ProbeRunner::ProbeRunner(const SnapshotCell* snapshots, SlotService* slots,
                         BackendClient* backend, Metrics* metrics,
                         EventLog* log)
    : snapshots_(snapshots),
      slots_(slots),
      backend_(backend),
      metrics_(metrics),
      log_(log) {}

ProbeRunner::~ProbeRunner() { Stop(); }

void ProbeRunner::Start() {
  thread_ = std::thread([this] { Run(); });
}

void ProbeRunner::Stop() {
  stopping_ = true;
  if (thread_.joinable()) thread_.join();
}

void ProbeRunner::Run() {
  while (!stopping_) {
    std::this_thread::sleep_for(kTick);
    const auto snapshot = snapshots_->Get();
    if (snapshot->objects == nullptr) continue;
    ProbeDue(*snapshot, SteadyClock::now());
  }
}

void ProbeRunner::ProbeDue(const HostSnapshot& snapshot, TimePoint now) {
  std::set<GroupId> owned;
  for (const GroupId& group : slots_->OwnedGroupIds()) owned.insert(group);
  for (const Service& service : snapshot.objects->services) {
    for (const BackendServer& server : service.servers) {
      const GroupId group{service.name, server.zone};
      if (owned.count(group) == 0) continue;
      ServerRecord* record = RecordFor(service, server.name, now);
      if (now < record->next_probe) continue;
      record->next_probe = now + service.probe_interval;
      const auto responded = slots_->LastResponseTime(group, server.name);
      if (responded && now - *responded < service.probe_interval) continue;
      if (!record->budget.TrySpend(Seconds(service.probe_cost), now)) continue;
      Probe(group, service, server, record);
      if (stopping_) return;
    }
  }
}

void ProbeRunner::Probe(const GroupId& group, const Service& service,
                        const BackendServer& server, ServerRecord* record) {
  const ProbeResult result = backend_->Probe(server.endpoint, kProbeTimeout);
  metrics_->ProbeSent(service.probe_cost);
  // A failed probe changes nothing: the results of calls show whether the
  // server is available.
  if (!result.reachable) return;
  const bool accepts_work = !result.server_status.draining;
  const bool is_same = accepts_work == record->accepted_work &&
                       result.server_status.cold == record->cold &&
                       result.server_status.boot_id == record->boot_id;
  // A health page lags behind the server's state, so an unchanged page must not
  // override newer state from the server's responses.
  if (is_same) return;
  slots_->ReportServer(group, server.name, accepts_work,
                       result.server_status.cold, result.server_status.boot_id);
  record->cold = result.server_status.cold;
  record->boot_id = result.server_status.boot_id;
  if (accepts_work == record->accepted_work) return;
  record->accepted_work = accepts_work;
  log_->Write(accepts_work ? EventId::kServerAcceptingWork
                           : EventId::kServerNotAcceptingWork,
              {{"server", server.name.str()}});
}

ProbeRunner::ServerRecord* ProbeRunner::RecordFor(
    const Service& service, const BackendServerName& server, TimePoint now) {
  const auto found = records_.find(server);
  if (found != records_.end()) return &found->second;
  // A budget of server time: refills at `probe_budget` seconds per second and
  // holds at most the cost of one probe.
  const TokenBucket budget(service.probe_budget, Seconds(service.probe_cost),
                           now);
  ServerRecord record{budget, now, true, false, std::nullopt};
  return &records_.emplace(server, record).first->second;
}

}  // namespace heatherlatch
