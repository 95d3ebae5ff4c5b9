#include "heatherlatch/placement/internal/slowness.h"

#include <algorithm>
#include <cmath>

namespace heatherlatch {
namespace {

constexpr double kNewSampleWeight = 1.0 / 64;
constexpr int kSamplesUntilTrusted = 32;

// Slowdown that the test looks for.
constexpr double kSlowFactor = 10;

// Usual share of long requests, and how much longer they are.
constexpr double kLongShare = 0.02;
constexpr double kLongFactor = 8;

// Mean of the mixture in units of its base time.
constexpr double kMeanOfMixture = (1 - kLongShare) + kLongShare * kLongFactor;

// Ages below this many base times say nearly nothing, so they are not counted.
constexpr double kLeastAge = 2;

// Times above this many base times are all alike.
constexpr double kMostBaseTimes = 100;

constexpr Duration kEvidenceHalfLife = std::chrono::milliseconds(500);

// Answers within this many mean times count as prompt.
constexpr int kPromptFactor = 4;

double InBaseTimes(Duration time, const MovingMean& mean) {
  const double base = mean.Raw() / kMeanOfMixture;
  if (base <= 0) return 0;
  return std::min(static_cast<double>(time.count()) / base, kMostBaseTimes);
}

}  // namespace

void MovingMean::Add(double sample) {
  samples_ = std::min(samples_ + 1, kSamplesUntilTrusted * 2);
  const double weight = std::max(kNewSampleWeight, 1.0 / samples_);
  mean_ += (sample - mean_) * weight;
}

void MovingMean::Add(Duration sample) {
  Add(static_cast<double>(sample.count()));
}

Duration MovingMean::Value() const {
  return Duration(static_cast<Duration::rep>(mean_));
}

bool MovingMean::trusted() const { return samples_ >= kSamplesUntilTrusted; }

void UsualTimes::AddAnswer(Duration service_time) {
  service_time_.Add(service_time);
}

void UsualTimes::AddHeld(Duration held) { held_.Add(held); }

double UsualTimes::EvidenceOfAnswer(Duration service_time) const {
  if (!service_time_.trusted()) return 0;
  const double x = InBaseTimes(service_time, service_time_);
  const double slow = std::exp(-x / kSlowFactor) / kSlowFactor;
  const double usual = (1 - kLongShare) * std::exp(-x) +
                       kLongShare / kLongFactor * std::exp(-x / kLongFactor);
  return std::min(std::log(slow / usual), -std::log(kLongShare));
}

double UsualTimes::EvidenceOfAge(Duration age) const {
  if (!held_.trusted()) return 0;
  const double x = InBaseTimes(age, held_);
  if (x < kLeastAge) return 0;
  const double slow = std::exp(-x / kSlowFactor);
  const double usual =
      (1 - kLongShare) * std::exp(-x) + kLongShare * std::exp(-x / kLongFactor);
  return std::min(std::log(slow / usual), -std::log(kLongShare));
}

bool UsualTimes::IsPrompt(Duration service_time) const {
  return !service_time_.trusted() ||
         service_time <= service_time_.Value() * kPromptFactor;
}

double SlownessScore::At(TimePoint now) const {
  if (score_ <= 0) return 0;
  return score_ * std::exp2(-ToMilliseconds(now - updated_at_) /
                            ToMilliseconds(kEvidenceHalfLife));
}

void SlownessScore::Add(double evidence, TimePoint now) {
  score_ = std::max(0.0, At(now) + evidence);
  updated_at_ = now;
}

}  // namespace heatherlatch
