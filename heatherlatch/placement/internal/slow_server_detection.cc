#include "heatherlatch/placement/internal/slow_server_detection.h"

#include <algorithm>
#include <cmath>

namespace heatherlatch {
namespace {

constexpr double kMinSampleWeight = 1.0 / 64;
constexpr int kMinTrustedSamples = 32;

// Slowdown that the test detects.
constexpr double kSlowFactor = 10;

// Normal share of long requests, and their mean time in base times.
constexpr double kLongShare = 0.02;
constexpr double kLongFactor = 8;

// Mean of the mixture, in base times.
constexpr double kMeanOfMixture = (1 - kLongShare) + kLongShare * kLongFactor;

// Ages below this many base times give almost no evidence and are not counted.
constexpr double kMinAgeBaseTimes = 2;

// Longer times are treated as this many base times.
constexpr double kMaxBaseTimes = 100;

constexpr Duration kEvidenceHalfLife = std::chrono::milliseconds(500);

// A response within this many mean service times is prompt.
constexpr int kPromptFactor = 4;

double InBaseTimes(Duration time, const MovingMean& mean) {
  const double base = mean.ValueInTicks() / kMeanOfMixture;
  if (base <= 0) return 0;
  return std::min(static_cast<double>(time.count()) / base, kMaxBaseTimes);
}

}  // namespace

void MovingMean::Add(double sample) {
  samples_ = std::min(samples_ + 1, kMinTrustedSamples * 2);
  const double weight = std::max(kMinSampleWeight, 1.0 / samples_);
  mean_ += (sample - mean_) * weight;
}

void MovingMean::Add(Duration sample) {
  Add(static_cast<double>(sample.count()));
}

Duration MovingMean::Value() const {
  return Duration(static_cast<Duration::rep>(mean_));
}

bool MovingMean::trusted() const { return samples_ >= kMinTrustedSamples; }

void BaselineTimes::AddServiceTime(Duration service_time) {
  service_time_.Add(service_time);
}

void BaselineTimes::AddSlotTime(Duration slot_time) {
  slot_time_.Add(slot_time);
}

double BaselineTimes::EvidenceOfServiceTime(Duration service_time) const {
  if (!service_time_.trusted()) return 0;
  const double base_times = InBaseTimes(service_time, service_time_);
  const double slow_likelihood =
      std::exp(-base_times / kSlowFactor) / kSlowFactor;
  const double baseline_likelihood =
      (1 - kLongShare) * std::exp(-base_times) +
      kLongShare / kLongFactor * std::exp(-base_times / kLongFactor);
  return std::min(std::log(slow_likelihood / baseline_likelihood),
                  -std::log(kLongShare));
}

double BaselineTimes::EvidenceOfAge(Duration age) const {
  if (!slot_time_.trusted()) return 0;
  const double base_times = InBaseTimes(age, slot_time_);
  if (base_times < kMinAgeBaseTimes) return 0;
  const double slow_likelihood = std::exp(-base_times / kSlowFactor);
  const double baseline_likelihood =
      (1 - kLongShare) * std::exp(-base_times) +
      kLongShare * std::exp(-base_times / kLongFactor);
  return std::min(std::log(slow_likelihood / baseline_likelihood),
                  -std::log(kLongShare));
}

bool BaselineTimes::IsPrompt(Duration service_time) const {
  return !service_time_.trusted() ||
         service_time <= service_time_.Value() * kPromptFactor;
}

double SlowServerScore::At(TimePoint now) const {
  if (score_ <= 0) return 0;
  return score_ * std::exp2(-ToMilliseconds(now - updated_at_) /
                            ToMilliseconds(kEvidenceHalfLife));
}

void SlowServerScore::Add(double evidence, TimePoint now) {
  score_ = std::max(0.0, At(now) + evidence);
  updated_at_ = now;
}

}  // namespace heatherlatch
