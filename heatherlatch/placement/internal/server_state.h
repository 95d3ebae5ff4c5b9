// The state that a group's scheduler keeps for one backend server: its status,
// running grants, current limit, backoff and slow-server score.
//
// A report counts as evidence only if its grant was made after the last change
// of the server's state. Otherwise a restart that aborts three requests would
// be counted as three failures.
//
// Thread safety: none.
#ifndef HEATHERLATCH_PLACEMENT_INTERNAL_SERVER_STATE_H_
#define HEATHERLATCH_PLACEMENT_INTERNAL_SERVER_STATE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "heatherlatch/base/time.h"
#include "heatherlatch/placement/group_scheduler.h"
#include "heatherlatch/placement/internal/server_backoff.h"
#include "heatherlatch/placement/internal/slow_server_detection.h"
#include "heatherlatch/placement/internal/slow_start.h"

namespace heatherlatch {

class ServerState {
 public:
  ServerState(const GroupServer& server, const GroupOptions& options,
              TimePoint now);

  const BackendServerName& name() const { return name_; }
  const Endpoint& endpoint() const { return endpoint_; }

  // Updates the published description. A different endpoint means a different
  // server: its backoff, status and evidence are reset and it starts cold.
  void SetListed(const GroupServer& server, TimePoint now);
  // Marks the server as removed from the group.
  void Unlist() { listed_ = false; }
  bool listed() const { return listed_; }

  // @return whether the published status and the server's own status both allow
  //     new requests
  bool AcceptsWork() const;
  // @return whether the server is in a backoff delay because it could not be
  //     reached
  bool Unreachable() const;
  // @return whether the server is ejected as slow and has not recovered yet
  bool EjectedAsSlow() const;
  // @return the maximum number of concurrent grants
  int Limit() const;
  // @return whether one more grant may be made now
  bool HasFreeSlot() const;
  int granted() const { return static_cast<int>(running_.size()); }

  void Begin(GrantId grant, bool isolated, TimePoint now);
  void End(GrantId grant);
  bool IsTrial(GrantId grant) const { return backoff_.IsTrial(grant); }

  // A reserved server gets no new grants, so that an isolated request can run
  // on it alone.
  void SetReserved(bool reserved) { reserved_ = reserved; }

  // Stops new grants until a grant of the server ends.
  void Pause() { paused_ = true; }
  bool paused() const { return paused_; }
  // @return the evidence that the server is slow, from finished and unfinished
  //     requests (see slow_server_detection.h)
  double SlowScore(const BaselineTimes& baseline, TimePoint now) const;
  // @return whether finished requests alone give enough evidence to eject the
  //     server; less is needed if no request is running
  bool IsProvenSlow(TimePoint now) const;
  // Starts a backoff because the server is slow.
  void EjectAsSlow(TimePoint now);

  // Applies the report on a grant.
  // @param trial       the grant was the trial of a server in backoff
  // @param granted_at  when the grant was made
  void OnReport(const CallReport& report, bool trial, TimePoint granted_at,
                const BaselineTimes& baseline, TimePoint now);
  // Records that the lease of a grant expired without a report.
  // @param trial  the grant was the trial of a server in backoff
  void OnLeaseEnd(bool trial, TimePoint now);
  // Applies the status reported by a health probe or the platform's list.
  void OnReportedStatus(bool accepts_work, bool cold,
                        std::optional<std::uint64_t> boot_id, TimePoint now);

  // Allows the trial of a server whose backoff delay has passed.
  bool Advance(TimePoint now) { return backoff_.Advance(now); }
  // @return when the backoff delay ends, if the server is in one
  std::optional<TimePoint> BackoffEnd() const;

 private:
  struct Running {
    GrantId grant;
    TimePoint granted_at;
  };

  void TurnCold(TimePoint now);
  void StartBackoff(BackoffReason reason, TimePoint now);
  void Recover(TimePoint now);
  void OnBootId(std::uint64_t boot_id, TimePoint seen_at, TimePoint now);
  void OnColdFlag(bool cold, TimePoint now);
  void OnDraining(TimePoint granted_at, TimePoint now);
  void OnTrialEnd(const CallReport& report, const BaselineTimes& baseline,
                  TimePoint now);
  void OnCallEnd(const CallReport& report, TimePoint granted_at,
                 const BaselineTimes& baseline, TimePoint now);
  void OnResponse(const CallReport& report, TimePoint granted_at,
                  const BaselineTimes& baseline, TimePoint now);
  void OnShed(TimePoint now);

  BackendServerName name_;
  Endpoint endpoint_;
  int cold_limit_;
  bool listed_ = true;
  bool published_accepts_;
  bool reported_accepts_ = true;
  bool reported_cold_ = false;
  bool paused_ = false;
  bool reserved_ = false;
  bool runs_isolated_ = false;
  std::optional<std::uint64_t> boot_id_;
  // When the current server process was first seen, or the creation time.
  TimePoint boot_seen_at_;
  // Reports on grants made before this time are not counted as evidence.
  TimePoint evidence_from_;
  SlowStart slow_start_;
  ServerBackoff backoff_;
  SlowServerScore slow_score_;
  std::vector<Running> running_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_PLACEMENT_INTERNAL_SERVER_STATE_H_
