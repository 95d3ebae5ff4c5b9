#include "heatherlatch/admission/crash_suspects.h"

#include <algorithm>

namespace heatherlatch {

CrashSuspects::CrashSuspects(CrashSuspectsOptions options)
    : options_(options) {}

SuspectVerdict CrashSuspects::Admit(ContentDigest digest, TimePoint now) {
  const auto found = suspects_.find(digest);
  if (found == suspects_.end() || IsExpired(found->second, now)) {
    CountRunning(digest);
    return SuspectVerdict::kClear;
  }
  Suspect& suspect = found->second;
  if (IsRefused(suspect)) return SuspectVerdict::kRefuse;
  if (running_.count(digest) > 0) return SuspectVerdict::kWait;
  CountRunning(digest);
  suspect.isolated_running = true;
  return SuspectVerdict::kIsolate;
}

SuspectNotice CrashSuspects::OnEnd(const ServiceName& service,
                                   ContentDigest digest, bool server_lost,
                                   TimePoint now) {
  if (!UncountRunning(digest)) return {};
  const auto found = suspects_.find(digest);
  const bool isolated =
      found != suspects_.end() && found->second.isolated_running;
  if (!server_lost) {
    if (isolated) suspects_.erase(found);
    return {};
  }
  Suspect& suspect = FindOrAdd(digest);
  suspect.crashes =
      isolated ? suspect.crashes + 1 : std::max(suspect.crashes, 1);
  suspect.isolated_running = false;
  suspect.last_crash = now;
  return {digest, service, suspect.crashes, Duration::zero()};
}

void CrashSuspects::OnInconclusiveEnd(ContentDigest digest) {
  if (!UncountRunning(digest)) return;
  const auto found = suspects_.find(digest);
  if (found != suspects_.end()) found->second.isolated_running = false;
}

bool CrashSuspects::IsRefused(const Suspect& suspect) const {
  return suspect.crashes >= options_.crashes_before_refusal || suspect.unshared;
}

bool CrashSuspects::IsRefused(ContentDigest digest, TimePoint now) const {
  const auto found = suspects_.find(digest);
  return found != suspects_.end() && !IsExpired(found->second, now) &&
         IsRefused(found->second);
}

std::optional<TimePoint> CrashSuspects::LastCrash(ContentDigest digest) const {
  const auto found = suspects_.find(digest);
  if (found == suspects_.end()) return std::nullopt;
  return found->second.last_crash;
}

void CrashSuspects::Merge(const SuspectNotice& notice, TimePoint now) {
  if (notice.crashes <= 0 || notice.age >= options_.retention) return;
  Suspect& suspect = FindOrAdd(notice.digest);
  suspect.crashes = std::max(suspect.crashes, notice.crashes);
  suspect.last_crash = std::max(suspect.last_crash, now - notice.age);
}

void CrashSuspects::SetShared(ContentDigest digest, bool shared) {
  const auto found = suspects_.find(digest);
  if (found != suspects_.end()) found->second.unshared = !shared;
}

bool CrashSuspects::IsUnshared(ContentDigest digest, TimePoint now) const {
  const auto found = suspects_.find(digest);
  return found != suspects_.end() && found->second.unshared &&
         !IsExpired(found->second, now);
}

void CrashSuspects::Expire(TimePoint now) {
  for (auto it = suspects_.begin(); it != suspects_.end();) {
    const bool is_removable =
        IsExpired(it->second, now) && !it->second.isolated_running;
    it = is_removable ? suspects_.erase(it) : std::next(it);
  }
}

bool CrashSuspects::IsExpired(const Suspect& suspect, TimePoint now) const {
  return now - suspect.last_crash >= options_.retention;
}

void CrashSuspects::CountRunning(ContentDigest digest) { ++running_[digest]; }

bool CrashSuspects::UncountRunning(ContentDigest digest) {
  const auto found = running_.find(digest);
  if (found == running_.end()) return false;
  if (--found->second == 0) running_.erase(found);
  return true;
}

CrashSuspects::Suspect& CrashSuspects::FindOrAdd(ContentDigest digest) {
  const auto found = suspects_.find(digest);
  if (found != suspects_.end()) return found->second;
  if (suspects_.size() >= options_.max_suspects) EvictLeastSuspicious();
  return suspects_[digest];
}

void CrashSuspects::EvictLeastSuspicious() {
  const auto less_suspicious = [](const auto& a, const auto& b) {
    if (a.second.crashes != b.second.crashes) {
      return a.second.crashes < b.second.crashes;
    }
    return a.second.last_crash < b.second.last_crash;
  };
  const auto least_suspicious =
      std::min_element(suspects_.begin(), suspects_.end(), less_suspicious);
  if (least_suspicious != suspects_.end()) suspects_.erase(least_suspicious);
}

}  // namespace heatherlatch
