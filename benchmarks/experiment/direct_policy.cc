#include "benchmarks/experiment/direct_policy.h"

#include <algorithm>

namespace heatherlatch::experiment {
namespace {

constexpr Duration kReportInterval = std::chrono::milliseconds(100);
constexpr Duration kRetryDelay = std::chrono::milliseconds(1);
constexpr int kMaxAttempts = 50;

}  // namespace

DirectPolicy::DirectPolicy(EventLoop* loop, Fleet* fleet, Choice choice,
                           std::uint64_t seed)
    : loop_(loop),
      fleet_(fleet),
      choice_(choice),
      random_(seed),
      reported_in_flight_(fleet->servers.size()),
      outstanding_(fleet->service.hosts,
                   std::vector<int>(fleet->servers.size())),
      zone_in_service_(kZones, true) {
  loop_->After(Duration::zero(), [this] { UpdateReportedLoads(); });
}

void DirectPolicy::UpdateReportedLoads() {
  for (std::size_t i = 0; i < fleet_->servers.size(); ++i) {
    reported_in_flight_[i] = fleet_->servers[i]->in_flight();
  }
  loop_->After(kReportInterval, [this] { UpdateReportedLoads(); });
}

void DirectPolicy::SetZoneInService(int zone, bool in_service) {
  zone_in_service_[zone] = in_service;
}

std::size_t DirectPolicy::PickServer(int host) {
  std::vector<std::size_t> servers;
  for (std::size_t i = 0; i < fleet_->servers.size(); ++i) {
    if (zone_in_service_[fleet_->servers[i]->zone()]) servers.push_back(i);
  }
  std::shuffle(servers.begin(), servers.end(), random_);
  const auto& own_outstanding = outstanding_[host];
  switch (choice_) {
    case Choice::kRandom:
      return servers[0];
    case Choice::kTwoChoicesOnReports:
      return reported_in_flight_[servers[0]] <= reported_in_flight_[servers[1]]
                 ? servers[0]
                 : servers[1];
    case Choice::kLeastOwnOutstanding:
      return *std::min_element(
          servers.begin(), servers.end(),
          [&own_outstanding](std::size_t a, std::size_t b) {
            return own_outstanding[a] < own_outstanding[b];
          });
  }
  return servers[0];
}

void DirectPolicy::Start(const Work& work, const DoneCallback& done) {
  TryServer(work, done, 0);
}

void DirectPolicy::TryServer(const Work& work, const DoneCallback& done,
                             int attempt) {
  if (attempt >= kMaxAttempts || loop_->Now() >= work.deadline) {
    done(WorkResult::kRefused);
    return;
  }
  const std::size_t index = PickServer(work.host);
  FakeServer* server = fleet_->servers[index].get();
  const Duration one_way_delay =
      Fleet::OneWayDelay(fleet_->ZoneOfHost(work.host), server->zone());
  ++outstanding_[work.host][index];
  const auto on_response = [=](const CallReport& report) {
    loop_->After(one_way_delay, [=] {
      --outstanding_[work.host][index];
      if (report.end != CallOutcome::kShed) {
        done(ResultOf(report));
        return;
      }
      loop_->After(kRetryDelay, [=] { TryServer(work, done, attempt + 1); });
    });
  };
  loop_->After(one_way_delay,
               [=] { server->Call(work.service_time, on_response); });
}

}  // namespace heatherlatch::experiment
