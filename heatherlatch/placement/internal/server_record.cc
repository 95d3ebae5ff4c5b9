#include "heatherlatch/placement/internal/server_record.h"

#include <algorithm>

namespace heatherlatch {

ServerRecord::ServerRecord(const GroupServer& server,
                           const GroupOptions& options, TimePoint now)
    : name_(server.name),
      endpoint_(server.endpoint),
      cold_limit_(std::min(options.cold_start_slots, options.slots_per_server)),
      published_accepts_(server.accepts_work),
      boot_seen_at_(now),
      evidence_from_(now),
      ramp_(options.cold_start_slots, options.slots_per_server, now) {}

void ServerRecord::SetListed(const GroupServer& server, TimePoint now) {
  const bool other_server = endpoint_ != server.endpoint;
  const bool returns = !listed_ || (server.accepts_work && !published_accepts_);
  if (!listed_) reported_accepts_ = true;
  endpoint_ = server.endpoint;
  published_accepts_ = server.accepts_work;
  listed_ = true;
  if (other_server) {
    boot_id_.reset();
    reported_accepts_ = true;
    cold_sign_ = false;
    ramp_.Hold(false);
    Recover(now);
  } else if (returns) {
    TurnCold(now);
  }
}

bool ServerRecord::AcceptsWork() const {
  return listed_ && published_accepts_ && reported_accepts_;
}

bool ServerRecord::Unreachable() const {
  return BackOffEnd().has_value() &&
         back_off_.reason() == BackOffReason::kConnectFailed;
}

bool ServerRecord::LeftAsSlow() const {
  return !back_off_.working() && back_off_.reason() == BackOffReason::kSlow;
}

int ServerRecord::Limit() const {
  if (!AcceptsWork()) return 0;
  if (back_off_.working()) return ramp_.limit();
  return BackOffEnd() ? 0 : 1;
}

bool ServerRecord::HasFreeSlot() const {
  if (held_ || reserved_ || runs_isolated_) return false;
  return granted() < Limit();
}

void ServerRecord::Begin(GrantId grant, bool isolated, TimePoint now) {
  running_.push_back({grant, now});
  runs_isolated_ = isolated;
  if (back_off_.trial_open()) back_off_.StartTrial(grant);
}

void ServerRecord::End(GrantId grant) {
  const auto found = std::find_if(
      running_.begin(), running_.end(),
      [grant](const Running& running) { return running.grant == grant; });
  if (found == running_.end()) return;
  running_.erase(found);
  held_ = false;
  runs_isolated_ = false;
}

double ServerRecord::SlowScore(const UsualTimes& usual, TimePoint now) const {
  double score = slowness_.At(now);
  for (const Running& running : running_) {
    score += usual.EvidenceOfAge(now - running.granted_at);
  }
  return score;
}

bool ServerRecord::ProvenSlow(TimePoint now) const {
  if (!back_off_.working()) return false;
  const double needed = running_.empty() ? kHoldScore : kLeaveScore;
  return slowness_.At(now) >= needed;
}

void ServerRecord::LeaveAsSlow(TimePoint now) {
  Fail(BackOffReason::kSlow, now);
}

std::optional<TimePoint> ServerRecord::BackOffEnd() const {
  const auto* delayed = std::get_if<BackOff::Delayed>(&back_off_.state());
  if (delayed == nullptr) return std::nullopt;
  return delayed->until;
}

void ServerRecord::TurnCold(TimePoint now) {
  ramp_.TurnCold(now);
  slowness_.Reset();
  evidence_from_ = now;
}

void ServerRecord::Fail(BackOffReason reason, TimePoint now) {
  back_off_.Fail(reason, now);
  TurnCold(now);
}

void ServerRecord::Recover(TimePoint now) {
  back_off_.Recover();
  TurnCold(now);
}

void ServerRecord::OnBootId(std::uint64_t boot_id, TimePoint seen_at,
                            TimePoint now) {
  if (seen_at < boot_seen_at_) return;
  const bool restarted = boot_id_.has_value() && *boot_id_ != boot_id;
  boot_id_ = boot_id;
  if (!restarted) return;
  boot_seen_at_ = now;
  reported_accepts_ = true;
  Recover(now);
}

void ServerRecord::OnColdSign(bool cold, TimePoint now) {
  if (cold && !cold_sign_) TurnCold(now);
  cold_sign_ = cold;
  ramp_.Hold(cold);
}

void ServerRecord::OnSigns(bool accepts_work, bool cold,
                           std::optional<std::uint64_t> boot_id,
                           TimePoint now) {
  if (boot_id) OnBootId(*boot_id, now, now);
  if (accepts_work && !reported_accepts_) TurnCold(now);
  reported_accepts_ = accepts_work;
  OnColdSign(cold, now);
}

void ServerRecord::OnReport(const CallReport& report, bool trial,
                            TimePoint granted_at, const UsualTimes& usual,
                            TimePoint now) {
  if (report.boot_id) OnBootId(*report.boot_id, granted_at, now);
  if (report.end == CallEnd::kDraining) {
    OnDraining(granted_at, now);
    return;
  }
  if (trial && back_off_.working()) return;  // Ended by a new boot identity.
  if (trial) {
    OnTrialEnd(report, usual, now);
  } else if (granted_at >= evidence_from_ && back_off_.working()) {
    OnEnd(report, granted_at, usual, now);
  }
  const bool has_signs = report.boot_id.has_value() || report.cold;
  if (has_signs && granted_at >= boot_seen_at_) OnColdSign(report.cold, now);
}

void ServerRecord::OnDraining(TimePoint granted_at, TimePoint now) {
  if (granted_at < boot_seen_at_ || !reported_accepts_) return;
  reported_accepts_ = false;
  Fail(BackOffReason::kDraining, now);
}

void ServerRecord::OnTrialEnd(const CallReport& report, const UsualTimes& usual,
                              TimePoint now) {
  switch (report.end) {
    case CallEnd::kNotUsed:
      back_off_.ReopenTrial();
      return;
    case CallEnd::kAnswered:
      if (!LeftAsSlow() || usual.IsPrompt(report.service_time)) {
        Recover(now);
      } else {
        Fail(BackOffReason::kSlow, now);
      }
      return;
    case CallEnd::kShed:
      Fail(BackOffReason::kShed, now);
      return;
    case CallEnd::kTimedOut:
      Fail(BackOffReason::kSlow, now);
      return;
    case CallEnd::kDraining:
    case CallEnd::kConnectFailed:
    case CallEnd::kFailed:
      Fail(BackOffReason::kConnectFailed, now);
      return;
  }
}

void ServerRecord::OnEnd(const CallReport& report, TimePoint granted_at,
                         const UsualTimes& usual, TimePoint now) {
  switch (report.end) {
    case CallEnd::kNotUsed:
    case CallEnd::kDraining:
      return;
    case CallEnd::kAnswered:
      OnAnswer(report, granted_at, usual, now);
      return;
    case CallEnd::kTimedOut:
      slowness_.Add(usual.EvidenceOfAnswer(Duration::max()), now);
      return;
    case CallEnd::kShed:
      OnShed(now);
      return;
    case CallEnd::kConnectFailed:
      Fail(BackOffReason::kConnectFailed, now);
      return;
    case CallEnd::kFailed:
      TurnCold(now);
      return;
  }
}

void ServerRecord::OnAnswer(const CallReport& report, TimePoint granted_at,
                            const UsualTimes& usual, TimePoint now) {
  slowness_.Add(usual.EvidenceOfAnswer(report.service_time), now);
  // A server that runs more than was granted here serves another owner too.
  const bool serves_others = report.reported_in_flight > granted() + 1;
  if (serves_others || !usual.IsPrompt(report.service_time)) return;
  ramp_.OnPromptAnswer(granted_at, now);
}

void ServerRecord::OnShed(TimePoint now) {
  const bool was_cold = ramp_.limit() <= cold_limit_;
  ramp_.OnShed(now);
  slowness_.Reset();
  evidence_from_ = now;
  if (was_cold) back_off_.Fail(BackOffReason::kShed, now);
}

void ServerRecord::OnLeaseEnd(bool trial, TimePoint now) {
  if (trial) Fail(back_off_.reason(), now);
}

}  // namespace heatherlatch
