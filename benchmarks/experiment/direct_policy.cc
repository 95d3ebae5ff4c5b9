#include "benchmarks/experiment/direct_policy.h"

#include <algorithm>

namespace heatherlatch::experiment {
namespace {

constexpr Duration kReportInterval = std::chrono::milliseconds(100);
constexpr Duration kRetryDelay = std::chrono::milliseconds(1);
constexpr int kMostDirectAttempts = 50;

}  // namespace

DirectPolicy::DirectPolicy(EventLoop* loop, Fleet* fleet, Choice choice,
                           std::uint64_t seed)
    : loop_(loop),
      fleet_(fleet),
      choice_(choice),
      random_(seed),
      reported_(fleet->servers.size()),
      outstanding_(fleet->shape.hosts, std::vector<int>(fleet->servers.size())),
      zone_in_service_(kZones, true) {
  loop_->After(Duration::zero(), [this] { TakeReports(); });
}

void DirectPolicy::TakeReports() {
  for (std::size_t i = 0; i < fleet_->servers.size(); ++i) {
    reported_[i] = fleet_->servers[i]->in_flight();
  }
  loop_->After(kReportInterval, [this] { TakeReports(); });
}

void DirectPolicy::SetZoneInService(int zone, bool in_service) {
  zone_in_service_[zone] = in_service;
}

std::size_t DirectPolicy::Pick(int host) {
  std::vector<std::size_t> servers;
  for (std::size_t i = 0; i < fleet_->servers.size(); ++i) {
    if (zone_in_service_[fleet_->servers[i]->zone()]) servers.push_back(i);
  }
  std::shuffle(servers.begin(), servers.end(), random_);
  const auto& own = outstanding_[host];
  switch (choice_) {
    case Choice::kRandom:
      return servers[0];
    case Choice::kTwoChoicesOnReports:
      return reported_[servers[0]] <= reported_[servers[1]] ? servers[0]
                                                            : servers[1];
    case Choice::kLeastOwnOutstanding:
      return *std::min_element(
          servers.begin(), servers.end(),
          [&own](std::size_t a, std::size_t b) { return own[a] < own[b]; });
  }
  return servers[0];
}

void DirectPolicy::Start(const Work& work, const Done& done) {
  Try(work, done, 0);
}

void DirectPolicy::Try(const Work& work, const Done& done, int attempt) {
  if (attempt >= kMostDirectAttempts || loop_->Now() >= work.deadline) {
    done(WorkEnd::kRefused);
    return;
  }
  const std::size_t index = Pick(work.host);
  FakeServer* server = fleet_->servers[index].get();
  const Duration hop =
      Fleet::Hop(fleet_->ZoneOfHost(work.host), server->zone());
  ++outstanding_[work.host][index];
  const auto on_answer = [=](const CallReport& report) {
    loop_->After(hop, [=] {
      --outstanding_[work.host][index];
      if (report.end != CallOutcome::kShed) {
        done(EndOf(report));
        return;
      }
      loop_->After(kRetryDelay, [=] { Try(work, done, attempt + 1); });
    });
  };
  loop_->After(hop, [=] { server->Call(work.service_time, on_answer); });
}

}  // namespace heatherlatch::experiment
