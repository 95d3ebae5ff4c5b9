#include "heatherlatch/traffic/load_prober.h"

#include <utility>

#include "heatherlatch/traffic/http_status.h"
#include "platform/server_fields.h"

namespace heatherlatch {
namespace {

// Several times the longest specified response time of a health path, plus the
// latency between regions.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(800);

// The most bytes of the body of a response to a probe. Everything that is read
// of it is in the head.
constexpr std::uint64_t kMaxProbeBodyBytes = 16u << 10;

}  // namespace

void LoadProber::Probe(const ServerRecord& server,
                       std::function<void(LoadReply)> done) {
  ProbeOver(context_->connections.Acquire(server.endpoint, false, "",
                                          SteadyClock::now()),
            server, std::move(done));
}

void LoadProber::ProbeOverNewConnection(const ServerRecord& server,
                                        std::function<void(LoadReply)> done) {
  context_->metrics.Count("server_connections", "opened");
  ProbeOver(context_->connections.Open(server.endpoint), server,
            std::move(done));
}

void LoadProber::ProbeOver(std::shared_ptr<ClientConnection> connection,
                           const ServerRecord& server,
                           std::function<void(LoadReply)> done) {
  std::string path = "/";
  if (context_->routes) {
    const auto traits = context_->routes->services.find(server.service);
    if (traits != context_->routes->services.end()) {
      path = traits->second.health_path;
    }
  }
  const auto probe = pending_.insert(
      pending_.end(),
      {server, std::move(connection), std::move(done), SteadyClock::now()});
  context_->metrics.Count("probes", "sent");
  ResponseBounds bounds;
  bounds.max_body_bytes = kMaxProbeBodyBytes;
  probe->connection->Call(
      {wire::HealthRequest(ToString(server.endpoint), path)}, bounds,
      [this, probe](const CallResult& result) { OnResult(probe, result); });
}

void LoadProber::OnResult(ProbeList::iterator probe, const CallResult& result) {
  const PendingProbe finished = std::move(*probe);
  pending_.erase(probe);
  context_->RecordCut(result, "", finished.server.name.str());
  const LoadReply reply = ReadReply(finished, result);
  context_->connections.Release(finished.server.endpoint, finished.connection);
  finished.done(reply);
}

LoadReply LoadProber::ReadReply(const PendingProbe& probe,
                                const CallResult& result) {
  const TimePoint now = SteadyClock::now();
  const BackendServerName& name = probe.server.name;
  const auto* response = std::get_if<ServerResponse>(&result);
  if (response == nullptr) {
    context_->observations.OnFailure(name, now);
    const auto* not_sent = std::get_if<NotSent>(&result);
    const bool not_listening = not_sent != nullptr && not_sent->refused;
    return {not_listening ? Health::kNotListening : Health::kUnhealthy,
            std::nullopt, false};
  }
  const unsigned status = response->message.result_int();
  const auto fields = wire::ReadServerResponse(status, response->message);
  // A late response to an earlier request on this connection.
  if (!fields.request_id.empty() || fields.server.empty()) {
    probe.connection->Cancel();
    return {};
  }
  if (!IsFinalStatus(status)) {
    OnUndefinedStatus(probe, status);
    return {};
  }
  probe.connection->idle_limit = fields.idle_timeout;
  if (fields.server != name) {
    return {Health::kAddressReused, std::nullopt, false};
  }
  context_->RecordServerStatement(probe.server, fields, "probe", now);
  context_->observations.OnProbeDuration(name, now - probe.sent_at, now);
  LoadReply reply;
  reply.health = status == kOk ? Health::kHealthy : Health::kUnhealthy;
  reply.reading = fields.load;
  if (fields.load) context_->RecordReading(probe.server, *fields.load, now);
  context_->observations.OnColdRemaining(name, fields.cold_remaining, now);
  reply.cold = fields.cold_remaining > Duration::zero();
  if (!reply.cold && context_->cold_permits.EndColdStart(name)) {
    context_->metrics.Count("cold_permits", "cold-start-ended");
    context_->log.Write("cold-start-ended", {{"server", name.str()}});
  }
  return reply;
}

void LoadProber::OnUndefinedStatus(const PendingProbe& probe, unsigned status) {
  const BackendServerName& name = probe.server.name;
  probe.connection->Cancel();
  context_->observations.OnFailure(name, SteadyClock::now());
  context_->metrics.Count("probes", "undefined-status");
  context_->log.Write(
      "probe-not-accepted",
      {{"server", name.str()}, {"status", static_cast<double>(status)}});
}

void LoadProber::CancelOverdueProbes(TimePoint now) {
  for (auto probe = pending_.begin(); probe != pending_.end();) {
    const auto current = probe++;
    if (now - current->sent_at < kProbeTimeout) continue;
    current->connection->Cancel();
    OnResult(current, NoResponse{"no response within the probe timeout"});
  }
}

}  // namespace heatherlatch
