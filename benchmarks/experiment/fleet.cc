#include "benchmarks/experiment/fleet.h"

namespace heatherlatch::experiment {

FakeServer::FakeServer(EventLoop* loop, const ServiceShape& shape, int index)
    : loop_(loop),
      name_("server-" + std::to_string(index)),
      zone_(index % kZones),
      slots_(shape.slots),
      cold_slots_(shape.cold_slots) {}

GroupServer FakeServer::Described(bool accepts_work) const {
  return {name_, Endpoint{"127.0.0.1", 9000}, accepts_work};
}

CallReport FakeServer::Report(CallOutcome end) const {
  CallReport report;
  report.end = end;
  report.boot_id = boot_id_;
  report.reported_in_flight = in_flight_;
  report.cold = signs_ && cold();
  return report;
}

void FakeServer::Call(Duration service_time, const Answer& answer) {
  ++calls_;
  last_call_ = loop_->Now();
  if (in_flight_ >= (cold() ? cold_slots_ : slots_)) {
    ++overruns_;
    answer(Report(CallOutcome::kShed));
    return;
  }
  ++in_flight_;
  const auto taken = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::nano>(
          static_cast<double>(service_time.count()) * slow_factor_));
  loop_->After(taken, [this, taken, answer, boot_id = boot_id_] {
    if (boot_id != boot_id_) {
      CallReport lost;
      lost.end = CallOutcome::kFailed;
      answer(lost);
      return;
    }
    busy_ += taken;
    CallReport report = Report(CallOutcome::kResponseReceived);
    report.service_time = taken;
    --in_flight_;
    answer(report);
  });
}

void FakeServer::Restart(Duration cold_for, bool signs) {
  ++boot_id_;
  in_flight_ = 0;
  signs_ = signs;
  cold_until_ = loop_->Now() + cold_for;
}

Fleet::Fleet(EventLoop* loop, const ServiceShape& service_shape)
    : shape(service_shape) {
  for (int i = 0; i < shape.servers; ++i) {
    servers.push_back(std::make_unique<FakeServer>(loop, shape, i));
  }
}

}  // namespace heatherlatch::experiment
