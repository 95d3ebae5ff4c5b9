// The placement policies that the experiment compares. Each has `Start(work,
// done)`, which calls `done` once, and `SetZoneInService`.
//
// Thread safety: none.
#ifndef HEATHERLATCH_BENCHMARKS_EXPERIMENT_POLICIES_H_
#define HEATHERLATCH_BENCHMARKS_EXPERIMENT_POLICIES_H_

#include <variant>

#include "benchmarks/experiment/central_policy.h"
#include "benchmarks/experiment/direct_policy.h"
#include "benchmarks/experiment/owner_policy.h"

namespace heatherlatch::experiment {

using Policy = std::variant<DirectPolicy, CentralPolicy, OwnerPolicy>;

}  // namespace heatherlatch::experiment

#endif  // HEATHERLATCH_BENCHMARKS_EXPERIMENT_POLICIES_H_
