#include "benchmarks/experiment/central_policy.h"

namespace heatherlatch::experiment {

CentralPolicy::CentralPolicy(EventLoop* loop, Fleet* fleet)
    : loop_(loop), fleet_(fleet), zone_in_service_(kZones, true) {}

void CentralPolicy::SetZoneInService(int zone, bool in_service) {
  zone_in_service_[zone] = in_service;
  Dispatch();
}

void CentralPolicy::Start(const Work& work, const DoneCallback& done) {
  waiting_.push_back({work, done});
  Dispatch();
}

FakeServer* CentralPolicy::PickFreeServer() {
  FakeServer* best = nullptr;
  for (const auto& server : fleet_->servers) {
    if (!zone_in_service_[server->zone()]) continue;
    if (best == nullptr || granted_[server.get()] < granted_[best]) {
      best = server.get();
    }
  }
  const bool free =
      best != nullptr && granted_[best] < fleet_->service.slots_per_server;
  return free ? best : nullptr;
}

void CentralPolicy::Dispatch() {
  while (!waiting_.empty()) {
    if (waiting_.front().work.deadline <= loop_->Now()) {
      waiting_.front().done(WorkResult::kRefused);
      waiting_.pop_front();
      continue;
    }
    FakeServer* server = PickFreeServer();
    if (server == nullptr) return;
    const WaitingWork next = waiting_.front();
    waiting_.pop_front();
    ++granted_[server];
    loop_->After(kDelayInZone, [this, server, next] {
      server->Call(next.work.service_time,
                   [this, server, next](const CallReport& report) {
                     --granted_[server];
                     loop_->After(kDelayInZone, [next, report] {
                       next.done(ResultOf(report));
                     });
                     Dispatch();
                   });
    });
  }
}

}  // namespace heatherlatch::experiment
