// Accepted ranges of the fields of published objects, as listed in
// docs/CONFIGURATION.md.
#ifndef HEATHERLATCH_OBJECTS_INTERNAL_FIELD_LIMITS_H_
#define HEATHERLATCH_OBJECTS_INTERNAL_FIELD_LIMITS_H_

#include <cstdint>

#include "heatherlatch/base/time.h"
#include "heatherlatch/yaml/mapping_reader.h"

namespace heatherlatch::internal {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr Range<int> kSlotsRange{1, 10000};
inline constexpr Range<int> kConnectionsRange{1, 100000};
inline constexpr Range<Duration> kProbeIntervalRange{milliseconds(100),
                                                     seconds(60)};
inline constexpr Range<Duration> kProbeCostRange{milliseconds(0), seconds(10)};
inline constexpr Range<double> kProbeBudgetRange{0.0001, 0.1};
inline constexpr Range<Duration> kDeadlineRange{milliseconds(10), hours(1)};
// A request body is sent between entry hosts in one frame of at most 4 MB.
inline constexpr Range<std::uint64_t> kRequestBytesRange{0, 2ULL * 1024 * 1024};
inline constexpr Range<int> kWeightRange{1, 1000};
inline constexpr Range<Duration> kResendWindowRange{seconds(1), seconds(38)};
inline constexpr Range<double> kRetryShareRange{0, 1};
inline constexpr Range<double> kCrossRegionMegabitsPerSecondRange{0, 1000000};

}  // namespace heatherlatch::internal

#endif  // HEATHERLATCH_OBJECTS_INTERNAL_FIELD_LIMITS_H_
