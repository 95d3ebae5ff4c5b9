// The scenarios of the cases. Each returns whether the rule was broken, or
// nothing if it could not run.
#ifndef REVIEW_LAB_SCENARIOS_H_
#define REVIEW_LAB_SCENARIOS_H_

#include <optional>

#include "review/lab/deployment.h"

namespace review {

// MIXED: a consumer sends further safe requests before the first is answered,
// and then an unsafe one on the same connection.
std::optional<bool> PipelineRequests(bool trouble, Record* record);
// TWICE: the same, with an unsafe request in front of the safe ones, and before
// it one with a header of 12,000 bytes.
std::optional<bool> PipelineBehindPost(bool trouble, Record* record);
// MIXED: a route is removed, and its HEAD requests are refused.
std::optional<bool> RefuseHead(bool trouble, Record* record);
// LOST: a host is stopped while requests wait for a worker.
std::optional<bool> StopWhileWaiting(bool trouble, Record* record);
// DRAIN: a worker leaves while another host is partitioned from the store.
std::optional<bool> LeaveDuringCut(bool trouble, Record* record);
// LOST: consumers pause before they read their answers.
std::optional<bool> PauseReading(bool trouble, Record* record);
// BUDGET: a request crashes workers while the seeds are cut off.
std::optional<bool> CrashWorkers(bool trouble, Record* record);

}  // namespace review

#endif  // REVIEW_LAB_SCENARIOS_H_
