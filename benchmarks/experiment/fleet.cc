#include "benchmarks/experiment/fleet.h"

namespace heatherlatch::experiment {

FakeServer::FakeServer(EventLoop* loop, const ServiceConfig& service, int index)
    : loop_(loop),
      name_("server-" + std::to_string(index)),
      zone_(index % kZones),
      slots_(service.slots_per_server),
      cold_slots_(service.cold_slots_per_server) {}

GroupServer FakeServer::ToGroupServer(bool accepts_work) const {
  return {name_, Endpoint{"127.0.0.1", 9000}, accepts_work};
}

CallReport FakeServer::Report(CallOutcome end) const {
  CallReport report;
  report.end = end;
  report.boot_id = boot_id_;
  report.reported_in_flight = in_flight_;
  report.cold = reports_cold_ && cold();
  return report;
}

void FakeServer::Call(Duration service_time,
                      const ResponseCallback& on_response) {
  ++calls_;
  last_call_ = loop_->Now();
  if (in_flight_ >= (cold() ? cold_slots_ : slots_)) {
    ++overruns_;
    on_response(Report(CallOutcome::kShed));
    return;
  }
  ++in_flight_;
  const auto run_time = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::nano>(
          static_cast<double>(service_time.count()) * slowdown_));
  loop_->After(run_time, [this, run_time, on_response, boot_id = boot_id_] {
    if (boot_id != boot_id_) {
      CallReport lost;
      lost.end = CallOutcome::kFailed;
      on_response(lost);
      return;
    }
    busy_time_ += run_time;
    CallReport report = Report(CallOutcome::kResponseReceived);
    report.service_time = run_time;
    --in_flight_;
    on_response(report);
  });
}

void FakeServer::Restart(Duration cold_duration, bool reports_cold) {
  ++boot_id_;
  in_flight_ = 0;
  reports_cold_ = reports_cold;
  cold_until_ = loop_->Now() + cold_duration;
}

Fleet::Fleet(EventLoop* loop, const ServiceConfig& service_config)
    : service(service_config) {
  for (int i = 0; i < service.servers; ++i) {
    servers.push_back(std::make_unique<FakeServer>(loop, service, i));
  }
}

}  // namespace heatherlatch::experiment
