#include "heatherlatch/placement/internal/server_state.h"

#include <algorithm>

namespace heatherlatch {

ServerState::ServerState(const GroupServer& server, const GroupOptions& options,
                         TimePoint now)
    : name_(server.name),
      endpoint_(server.endpoint),
      cold_limit_(std::min(options.cold_start_slots, options.slots_per_server)),
      published_accepts_(server.accepts_work),
      boot_seen_at_(now),
      evidence_from_(now),
      slow_start_(options.cold_start_slots, options.slots_per_server, now) {}

void ServerState::SetListed(const GroupServer& server, TimePoint now) {
  const bool endpoint_changed = endpoint_ != server.endpoint;
  const bool returned =
      !listed_ || (server.accepts_work && !published_accepts_);
  if (!listed_) reported_accepts_ = true;
  endpoint_ = server.endpoint;
  published_accepts_ = server.accepts_work;
  listed_ = true;
  if (endpoint_changed) {
    boot_id_.reset();
    reported_accepts_ = true;
    reported_cold_ = false;
    slow_start_.SetGrowthPaused(false);
    Recover(now);
  } else if (returned) {
    TurnCold(now);
  }
}

bool ServerState::AcceptsWork() const {
  return listed_ && published_accepts_ && reported_accepts_;
}

bool ServerState::Unreachable() const {
  return BackoffEnd().has_value() &&
         backoff_.reason() == BackoffReason::kConnectFailed;
}

bool ServerState::EjectedAsSlow() const {
  return !backoff_.healthy() && backoff_.reason() == BackoffReason::kSlow;
}

int ServerState::Limit() const {
  if (!AcceptsWork()) return 0;
  if (backoff_.healthy()) return slow_start_.limit();
  return BackoffEnd() ? 0 : 1;
}

bool ServerState::HasFreeSlot() const {
  if (paused_ || reserved_ || runs_isolated_) return false;
  return granted() < Limit();
}

void ServerState::Begin(GrantId grant, bool isolated, TimePoint now) {
  running_.push_back({grant, now});
  runs_isolated_ = isolated;
  if (backoff_.trial_allowed()) backoff_.StartTrial(grant);
}

void ServerState::End(GrantId grant) {
  const auto found = std::find_if(
      running_.begin(), running_.end(),
      [grant](const Running& running) { return running.grant == grant; });
  if (found == running_.end()) return;
  running_.erase(found);
  paused_ = false;
  runs_isolated_ = false;
}

double ServerState::SlowScore(const BaselineTimes& baseline,
                              TimePoint now) const {
  double score = slow_score_.At(now);
  for (const Running& running : running_) {
    score += baseline.EvidenceOfAge(now - running.granted_at);
  }
  return score;
}

bool ServerState::IsProvenSlow(TimePoint now) const {
  if (!backoff_.healthy()) return false;
  const double needed = running_.empty() ? kPauseScore : kEjectScore;
  return slow_score_.At(now) >= needed;
}

void ServerState::EjectAsSlow(TimePoint now) {
  StartBackoff(BackoffReason::kSlow, now);
}

std::optional<TimePoint> ServerState::BackoffEnd() const {
  const auto* delayed = std::get_if<ServerBackoff::Delayed>(&backoff_.state());
  if (delayed == nullptr) return std::nullopt;
  return delayed->until;
}

void ServerState::TurnCold(TimePoint now) {
  slow_start_.TurnCold(now);
  slow_score_.Reset();
  evidence_from_ = now;
}

void ServerState::StartBackoff(BackoffReason reason, TimePoint now) {
  backoff_.RecordFailure(reason, now);
  TurnCold(now);
}

void ServerState::Recover(TimePoint now) {
  backoff_.Recover();
  TurnCold(now);
}

void ServerState::OnBootId(std::uint64_t boot_id, TimePoint seen_at,
                           TimePoint now) {
  if (seen_at < boot_seen_at_) return;
  const bool restarted = boot_id_.has_value() && *boot_id_ != boot_id;
  boot_id_ = boot_id;
  if (!restarted) return;
  boot_seen_at_ = now;
  reported_accepts_ = true;
  Recover(now);
}

void ServerState::OnColdFlag(bool cold, TimePoint now) {
  if (cold && !reported_cold_) TurnCold(now);
  reported_cold_ = cold;
  slow_start_.SetGrowthPaused(cold);
}

void ServerState::OnReportedStatus(bool accepts_work, bool cold,
                                   std::optional<std::uint64_t> boot_id,
                                   TimePoint now) {
  if (boot_id) OnBootId(*boot_id, now, now);
  if (accepts_work && !reported_accepts_) TurnCold(now);
  reported_accepts_ = accepts_work;
  OnColdFlag(cold, now);
}

void ServerState::OnReport(const CallReport& report, bool trial,
                           TimePoint granted_at, const BaselineTimes& baseline,
                           TimePoint now) {
  if (report.boot_id) OnBootId(*report.boot_id, granted_at, now);
  if (report.end == CallOutcome::kDraining) {
    OnDraining(granted_at, now);
    return;
  }
  if (trial && backoff_.healthy()) return;  // A new boot ID ended the backoff.
  if (trial) {
    OnTrialEnd(report, baseline, now);
  } else if (granted_at >= evidence_from_ && backoff_.healthy()) {
    OnCallEnd(report, granted_at, baseline, now);
  }
  const bool has_status = report.boot_id.has_value() || report.cold;
  if (has_status && granted_at >= boot_seen_at_) OnColdFlag(report.cold, now);
}

void ServerState::OnDraining(TimePoint granted_at, TimePoint now) {
  if (granted_at < boot_seen_at_ || !reported_accepts_) return;
  reported_accepts_ = false;
  StartBackoff(BackoffReason::kDraining, now);
}

void ServerState::OnTrialEnd(const CallReport& report,
                             const BaselineTimes& baseline, TimePoint now) {
  switch (report.end) {
    case CallOutcome::kNotUsed:
      backoff_.AllowTrialAgain();
      return;
    case CallOutcome::kResponseReceived:
      if (!EjectedAsSlow() || baseline.IsPrompt(report.service_time)) {
        Recover(now);
      } else {
        StartBackoff(BackoffReason::kSlow, now);
      }
      return;
    case CallOutcome::kShed:
      StartBackoff(BackoffReason::kShed, now);
      return;
    case CallOutcome::kTimedOut:
      StartBackoff(BackoffReason::kSlow, now);
      return;
    case CallOutcome::kDraining:
    case CallOutcome::kConnectFailed:
    case CallOutcome::kFailed:
      StartBackoff(BackoffReason::kConnectFailed, now);
      return;
  }
}

void ServerState::OnCallEnd(const CallReport& report, TimePoint granted_at,
                            const BaselineTimes& baseline, TimePoint now) {
  switch (report.end) {
    case CallOutcome::kNotUsed:
    case CallOutcome::kDraining:
      return;
    case CallOutcome::kResponseReceived:
      OnResponse(report, granted_at, baseline, now);
      return;
    case CallOutcome::kTimedOut:
      slow_score_.Add(baseline.EvidenceOfServiceTime(Duration::max()), now);
      return;
    case CallOutcome::kShed:
      OnShed(now);
      return;
    case CallOutcome::kConnectFailed:
      StartBackoff(BackoffReason::kConnectFailed, now);
      return;
    case CallOutcome::kFailed:
      TurnCold(now);
      return;
  }
}

void ServerState::OnResponse(const CallReport& report, TimePoint granted_at,
                             const BaselineTimes& baseline, TimePoint now) {
  slow_score_.Add(baseline.EvidenceOfServiceTime(report.service_time), now);
  // More requests in progress than were granted here: another owner uses the
  // server too, so its limit must not grow.
  const bool serves_others = report.reported_in_flight > granted() + 1;
  if (serves_others || !baseline.IsPrompt(report.service_time)) return;
  slow_start_.OnPromptResponse(granted_at, now);
}

void ServerState::OnShed(TimePoint now) {
  const bool was_cold = slow_start_.limit() <= cold_limit_;
  slow_start_.OnShed(now);
  slow_score_.Reset();
  evidence_from_ = now;
  if (was_cold) backoff_.RecordFailure(BackoffReason::kShed, now);
}

void ServerState::OnLeaseEnd(bool trial, TimePoint now) {
  if (trial) StartBackoff(backoff_.reason(), now);
}

}  // namespace heatherlatch
