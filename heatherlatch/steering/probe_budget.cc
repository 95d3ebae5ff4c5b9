#include "heatherlatch/steering/probe_budget.h"

#include <algorithm>
#include <cmath>

namespace heatherlatch {
namespace {

// The time constant of the mean of the host's own outstanding requests.
constexpr Duration kOwnMeanTime = std::chrono::seconds(1);
// The least mean of the outstanding requests of a server. Servers that refuse
// everything report none, and a share cannot be told from that.
constexpr double kMinServerOutstanding = 0.1;

// What a host may always send, so that it finds servers for its first requests:
// one round of three probes a second.
constexpr double kMinRatePerSecond = 3;
// The budget holds at most what is added in this time, and at least the probes
// of a few requests.
constexpr double kBurstSeconds = 1;
constexpr double kMinBurst = 12;
// At the start, when the host's share is not known yet, it holds the probes of
// the requests that come at once after a restart of all hosts.
constexpr double kProbesAtStart = 60;
// The part of the probes that are left which one request may take.
constexpr double kPart = 1.0 / 4;
constexpr double kPressedPart = 1.0 / 2;

}  // namespace

ProbeBudget::ProbeBudget(double per_server_second, TimePoint now)
    : per_server_second_(per_server_second),
      available_(kProbesAtStart),
      advanced_at_(now) {}

void ProbeBudget::SetServers(std::size_t servers,
                             std::optional<double> mean_outstanding) {
  servers_ = servers;
  if (mean_outstanding) mean_server_outstanding_ = *mean_outstanding;
}

void ProbeBudget::OnSent(TimePoint now) {
  Advance(now);
  ++own_outstanding_;
}

void ProbeBudget::OnEnded(TimePoint now) {
  Advance(now);
  own_outstanding_ = std::max(0, own_outstanding_ - 1);
}

std::size_t ProbeBudget::Take(std::size_t wanted, bool is_pressed,
                              TimePoint now) {
  Advance(now);
  const double part = is_pressed ? kPressedPart : kPart;
  const auto granted = static_cast<std::size_t>(
      std::max(0.0, std::ceil((available_ - 1) * part)));
  const std::size_t taken = std::min(wanted, granted);
  available_ -= static_cast<double>(taken);
  return taken;
}

double ProbeBudget::RatePerSecond() const {
  const double of_all = per_server_second_ * static_cast<double>(servers_);
  const double share_of_one_server =
      mean_own_outstanding_ /
      std::max(mean_server_outstanding_, kMinServerOutstanding);
  return std::max(std::min(of_all, per_server_second_ * share_of_one_server),
                  std::min(of_all, kMinRatePerSecond));
}

void ProbeBudget::Advance(TimePoint now) {
  const double seconds =
      std::max(0.0, ToMilliseconds(now - advanced_at_) / 1000);
  advanced_at_ = now;
  // Until the host has run for a while, the mean is that since its start.
  observed_seconds_ += seconds;
  const double mean_seconds =
      std::min(observed_seconds_, ToMilliseconds(kOwnMeanTime) / 1000);
  const double weight =
      mean_seconds > 0 ? 1 - std::exp(-seconds / mean_seconds) : 0;
  mean_own_outstanding_ += weight * (own_outstanding_ - mean_own_outstanding_);
  const double rate = RatePerSecond();
  const double most = std::max(kMinBurst, rate * kBurstSeconds);
  available_ = std::max(std::min(available_ + rate * seconds, most),
                        std::min(available_, kProbesAtStart));
}

}  // namespace heatherlatch
