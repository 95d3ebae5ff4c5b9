// What a group's scheduler knows of one backend server.
//
// Evidence counts only from grants that were made since the server last changed
// its state: the answers to three requests that a restart cut off are one
// event, not three.
//
// Thread safety: none.
#ifndef HEATHERLATCH_PLACEMENT_INTERNAL_SERVER_RECORD_H_
#define HEATHERLATCH_PLACEMENT_INTERNAL_SERVER_RECORD_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "heatherlatch/base/time.h"
#include "heatherlatch/placement/group_scheduler.h"
#include "heatherlatch/placement/internal/back_off.h"
#include "heatherlatch/placement/internal/server_ramp.h"
#include "heatherlatch/placement/internal/slowness.h"

namespace heatherlatch {

class ServerRecord {
 public:
  ServerRecord(const GroupServer& server, const GroupOptions& options,
               TimePoint now);

  const BackendServerName& name() const { return name_; }
  const Endpoint& endpoint() const { return endpoint_; }

  // Takes over the published description; another endpoint is another server.
  void SetListed(const GroupServer& server, TimePoint now);
  // Records that the server is no longer in the group.
  void Unlist() { listed_ = false; }
  bool listed() const { return listed_; }

  // @return whether published state and the server's own signs allow new work
  bool AcceptsWork() const;
  // @return whether the server is out of use because it cannot be reached
  bool Unreachable() const;
  // @return whether the server is out of use because it is slow
  bool LeftAsSlow() const;
  // @return the most grants the server may have now
  int Limit() const;
  // @return whether one more grant may be made now
  bool HasFreeSlot() const;
  int granted() const { return static_cast<int>(running_.size()); }

  void Begin(GrantId grant, bool isolated, TimePoint now);
  void End(GrantId grant);
  bool IsTrial(GrantId grant) const { return back_off_.IsTrial(grant); }

  // Keeps new work away so that an isolated request can have the server.
  void SetReserved(bool reserved) { reserved_ = reserved; }

  // Keeps new work away until a grant of the server ends.
  void Hold() { held_ = true; }
  bool held() const { return held_; }
  // @return the evidence that the server is slow, with unfinished requests
  double SlowScore(const UsualTimes& usual, TimePoint now) const;
  // @return whether finished requests alone prove that the server is slow
  bool ProvenSlow(TimePoint now) const;
  void LeaveAsSlow(TimePoint now);

  // Takes the report on a grant as evidence.
  // @param trial       the grant was the trial of a server in back-off
  // @param granted_at  when the grant was made
  void OnReport(const CallReport& report, bool trial, TimePoint granted_at,
                const UsualTimes& usual, TimePoint now);
  // Records that the holder of a grant was lost.
  void OnLeaseEnd(bool trial, TimePoint now);
  // Takes over what a probe or a list says.
  void OnSigns(bool accepts_work, bool cold,
               std::optional<std::uint64_t> boot_id, TimePoint now);

  // Opens the trial of a server whose back-off is over.
  bool Advance(TimePoint now) { return back_off_.Advance(now); }
  // @return when the back-off is over, if one runs
  std::optional<TimePoint> BackOffEnd() const;

 private:
  struct Running {
    GrantId grant;
    TimePoint granted_at;
  };

  void TurnCold(TimePoint now);
  void Fail(BackOffReason reason, TimePoint now);
  void Recover(TimePoint now);
  void OnBootId(std::uint64_t boot_id, TimePoint seen_at, TimePoint now);
  void OnColdSign(bool cold, TimePoint now);
  void OnDraining(TimePoint granted_at, TimePoint now);
  void OnTrialEnd(const CallReport& report, const UsualTimes& usual,
                  TimePoint now);
  void OnEnd(const CallReport& report, TimePoint granted_at,
             const UsualTimes& usual, TimePoint now);
  void OnAnswer(const CallReport& report, TimePoint granted_at,
                const UsualTimes& usual, TimePoint now);
  void OnShed(TimePoint now);

  BackendServerName name_;
  Endpoint endpoint_;
  int cold_limit_;
  bool listed_ = true;
  bool published_accepts_;
  bool reported_accepts_ = true;
  bool cold_sign_ = false;
  bool held_ = false;
  bool reserved_ = false;
  bool runs_isolated_ = false;
  std::optional<std::uint64_t> boot_id_;
  TimePoint boot_seen_at_;
  // Grants made before this time tell nothing about the present state.
  TimePoint evidence_from_;
  ServerRamp ramp_;
  BackOff back_off_;
  SlownessScore slowness_;
  std::vector<Running> running_;
};

}  // namespace heatherlatch

#endif  // HEATHERLATCH_PLACEMENT_INTERNAL_SERVER_RECORD_H_
