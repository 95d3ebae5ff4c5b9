#include "heatherlatch/queueing/return_schedule.h"

#include <algorithm>
#include <limits>

namespace heatherlatch {
namespace {

// Callers follow a Retry-After of up to this share of their time left.
constexpr double kMaxShareOfTimeLeft = 1.0 / 3;

// A caller that may come back after so many latency targets has most of its
// time left.
constexpr double kMaxReturnInLatencyTargets = 2.5;

// Callers that wait for less come back once the queue is drained: room comes
// and goes within this time, as servers slow down and recover.
constexpr Duration kShortPatience = std::chrono::seconds(1);

std::int64_t SlotOf(TimePoint time) {
  return time.time_since_epoch() / ReturnSchedule::kSlot;
}

TimePoint StartOf(std::int64_t slot) {
  return TimePoint(slot * ReturnSchedule::kSlot);
}

double Seconds(Duration duration) { return ToMilliseconds(duration) / 1000; }

}  // namespace

Return ReturnSchedule::Grant(const ExpectedRoom& room, Duration time_left,
                             double sample, TimePoint now) {
  Expire(now);
  const Duration longest =
      std::min(LongestRetryAfter(time_left), kMaxSlots * kSlot);
  const TimePoint latest = now + longest;
  const TimePoint room_from =
      now + std::clamp(room.from, Duration::zero(), longest);
  const std::int64_t first = SlotOf(room_from);
  // The last one that is over before the caller would no longer wait.
  const std::int64_t last = std::max(SlotOf(latest) - 1, SlotOf(now));
  const auto tell_at = [&](TimePoint at) {
    Slot& slot = slots_[SlotOf(at)];
    ++slot.told;
    ++slot.missing;
    return Return{std::clamp(at - now, Duration::zero(), longest), false};
  };
  const auto tell = [&](std::int64_t slot) {
    return tell_at(StartOf(slot) + Scale(kSlot, sample));
  };
  double told = 0;
  for (std::int64_t slot = first; slot <= last; ++slot) {
    const auto found = slots_.find(slot);
    if (found != slots_.end()) told += found->second.told;
    const double fits =
        room.per_second * Seconds(StartOf(slot + 1) - room_from);
    if (told + 1 > fits) continue;
    ++slots_[slot].kept;
    ++counts_.granted;
    return {tell(slot).after, true};
  }
  if (longest < kShortPatience) {
    const Duration after =
        std::min(Scale(room_from - now, 1 + sample / 2), longest);
    return tell_at(now + after);
  }
  const std::int64_t from = SlotOf(now + longest / 2);
  std::int64_t best = last;
  int fewest = std::numeric_limits<int>::max();
  for (std::int64_t slot = last; slot >= from; --slot) {
    const auto found = slots_.find(slot);
    const int callers = found == slots_.end() ? 0 : found->second.told;
    if (callers < fewest) {
      fewest = callers;
      best = slot;
    }
  }
  return tell(best);
}

ArrivalKind ReturnSchedule::OnArrival(bool may_return, TimePoint now) {
  Expire(now);
  const auto end = slots_.upper_bound(SlotOf(now));
  const auto with_place =
      std::find_if(slots_.begin(), end,
                   [](const auto& slot) { return slot.second.kept > 0; });
  if (with_place != end) {
    --with_place->second.kept;
    --with_place->second.missing;
    ++counts_.used;
    return ArrivalKind::kWithPlace;
  }
  if (!may_return) return ArrivalKind::kNew;
  const auto told = std::find_if(slots_.begin(), end, [](const auto& slot) {
    return slot.second.missing > 0;
  });
  if (told == end) return ArrivalKind::kNew;
  --told->second.missing;
  return ArrivalKind::kReturning;
}

void ReturnSchedule::Expire(TimePoint now) {
  const std::int64_t oldest = SlotOf(now) - kSlotsOfGrace;
  while (!slots_.empty() && slots_.begin()->first < oldest) {
    counts_.expired += static_cast<std::uint64_t>(slots_.begin()->second.kept);
    slots_.erase(slots_.begin());
  }
}

bool MayReturn(Duration time_left, Duration latency_target) {
  return LongestRetryAfter(time_left) <
         Scale(latency_target, kMaxReturnInLatencyTargets);
}

Duration LongestRetryAfter(Duration time_left) {
  return std::max(Duration::zero(), Scale(time_left, kMaxShareOfTimeLeft));
}

}  // namespace heatherlatch
